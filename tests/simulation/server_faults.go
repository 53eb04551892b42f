package simulation

const (
	// minSlowDisk is the shortest delay of ServerDiskSlow in ms; twice Parameter is
	// added to it.
	minSlowDisk = 200

	// Clocks jump by up to maxClockJumps steps of clockJump ms. A clock that would be
	// within minClocksApart ms of another wrong clock jumps clockJumpApart ms further.
	maxClockJumps  = 100
	clockJump      = 100_000
	clockJumpApart = 120_000
	minClocksApart = 60_000
)

// CrashServer ends a server until undo is called; undo is nil if the server is down.
func (c *Cluster) CrashServer(server *Server) (undo func()) {
	if !server.Up {
		return nil
	}
	server.Crash()
	return func() {
		if !server.Up && !server.Removed {
			server.Start()
		}
	}
}

func (c *Cluster) crashAllServers() func() {
	var undos []func()
	for _, server := range c.Servers {
		undos = append(undos, c.CrashServer(server))
	}
	return UndoAll(undos)
}

func (c *Cluster) halfIsolateServer(f Fault) func() {
	out := f.Parameter%2 == 0
	return c.Isolate(c.targetServer(f).Process, out, !out)
}

func (c *Cluster) blockServerLink(f Fault) func() {
	other := choose(c.Servers, f.Parameter)
	return c.BlockLink(c.targetServer(f).Process, other.Process, false)
}

func (c *Cluster) slowDisk(f Fault) func() {
	server := c.targetServer(f)
	server.DiskDelay = minSlowDisk + int64(f.Parameter)*2
	return func() { server.DiskDelay = 0 }
}

func (c *Cluster) stallDisk(f Fault) func() {
	c.targetServer(f).DiskStalledUntil = c.Now + f.Duration
	return undoNothing
}

// loseServer replaces a server by an empty one. Only one disk may be lost in a run: a
// second loss could destroy an entry that only a minority still stores.
func (c *Cluster) loseServer(f Fault) func() {
	if c.diskLost {
		return nil
	}
	c.diskLost = true
	c.ReplaceServer(c.targetServer(f))
	return undoNothing
}

// jumpClock sets a server's clock back or forward. Several clocks may be wrong at once,
// but no two may agree: agreeing wrong clocks are indistinguishable from correct ones.
func (c *Cluster) jumpClock(f Fault) func() {
	server := c.targetServer(f)
	skew := int64(f.Parameter%(2*maxClockJumps)-maxClockJumps) * clockJump
	for _, other := range c.Servers {
		if other != server && other.ClockSkew != 0 && max(skew-other.ClockSkew, other.ClockSkew-skew) < minClocksApart {
			skew += clockJumpApart
		}
	}
	server.ClockSkew = skew
	return func() { server.ClockSkew = 0 }
}
