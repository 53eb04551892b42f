package simulation

const (
	// minRackNotice is the shortest notice of RackDrain in ms; Parameter multiplied by
	// rackNoticeStep is added to it.
	minRackNotice  = 500
	rackNoticeStep = 4
	// runnerNoticeStep is multiplied by Parameter for the notice of RunnerDrain in ms.
	runnerNoticeStep = 10
	// drainedRunnerDown is how long a drained runner that crashes is down, in ms.
	drainedRunnerDown = 2000

	// extraDefects is the share of defective attempts that RunnerDefective adds, in
	// percent, and maxSlowPercent bounds how much it slows the runner.
	extraDefects   = 80
	maxSlowPercent = 80

	// maxRunnersLost leaves enough runners to complete all jobs.
	maxRunnersLost = 3
)

func (c *Cluster) crashGateway(gateway *Gateway) func() {
	if !gateway.Up {
		return nil
	}
	c.Kill(gateway.Process)
	return func() {
		if !gateway.Up {
			gateway.Start()
		}
	}
}

func (c *Cluster) blockGatewayLink(f Fault) func() {
	server := choose(c.Servers, f.Parameter)
	return c.BlockLink(c.targetGateway(f).Process, server.Process, true)
}

func (c *Cluster) crashRunner(runner *Runner) func() {
	if !runner.Up {
		return nil
	}
	runner.crash()
	return runner.restart
}

// restart starts a runner that is down and not lost for good.
func (r *Runner) restart() {
	if !r.Up && !r.removed {
		r.start()
	}
}

func (c *Cluster) isolateRunner(f Fault) func() {
	return c.Isolate(c.targetRunner(f).Process, true, f.Parameter%2 == 0)
}

func (c *Cluster) makeDefective(f Fault) func() {
	runner := c.targetRunner(f)
	runner.extraDefects = extraDefects
	runner.Machine.SetFaults(int64(f.Parameter)%maxSlowPercent, runner.Config.DefectPercent+extraDefects)
	return func() {
		runner.extraDefects = 0
		runner.Machine.SetFaults(0, c.Spec.DefectPercent)
	}
}

// LoseRunner ends a runner for good; undo is nil if no more runners may be lost.
func (c *Cluster) LoseRunner(runner *Runner) (undo func()) {
	if runner.removed || c.runnersLost >= maxRunnersLost {
		return nil
	}
	c.runnersLost++
	runner.removed = true
	runner.crash()
	return undoNothing
}

// drainRunner makes a runner announce its departure. At the end of the fault, every third
// runner crashes and restarts; the others withdraw the announcement.
func (c *Cluster) drainRunner(f Fault) func() {
	runner := c.targetRunner(f)
	if !runner.Up || runner.Frozen {
		return nil
	}
	runner.Drain(int64(f.Parameter) * runnerNoticeStep)
	return func() {
		if f.Parameter%3 != 0 {
			runner.CancelDrain()
			return
		}
		runner.crash()
		c.After(drainedRunnerDown, runner.restart)
	}
}

// drainRack makes all runners of a rack announce their departure, and then crash.
func (c *Cluster) drainRack(f Fault) func() {
	rack := c.targetRunner(f).Rack
	notice := minRackNotice + int64(f.Parameter)*rackNoticeStep
	var undos []func()
	for _, runner := range c.Runners {
		if runner.Rack == rack && runner.Up && !runner.Frozen && !runner.removed {
			undos = append(undos, c.drainAndCrash(runner, notice))
		}
	}
	if len(undos) == 0 {
		return nil
	}
	return UndoAll(undos)
}

// drainAndCrash makes a runner announce its departure, and crash after the notice.
func (c *Cluster) drainAndCrash(runner *Runner, notice int64) (undo func()) {
	runner.Drain(notice)
	incarnation := runner.Incarnation
	c.After(notice, func() {
		if runner.Incarnation == incarnation {
			runner.crash()
		}
	})
	return func() {
		if runner.Incarnation == incarnation {
			runner.CancelDrain()
			return
		}
		runner.restart()
	}
}

// restartMany ends all runners, and all gateways but one; undo restarts them at the same
// time.
func (c *Cluster) restartMany() func() {
	var undos []func()
	for _, runner := range c.Runners {
		undos = append(undos, c.crashRunner(runner))
	}
	for _, gateway := range c.Gateways[1:] {
		undos = append(undos, c.crashGateway(gateway))
	}
	return UndoAll(undos)
}

// CrashDomain ends all servers, gateways and runners of a domain until undo is called.
func (c *Cluster) CrashDomain(domain string) (undo func()) {
	var undos []func()
	for _, server := range c.Servers {
		if server.Domain == domain {
			undos = append(undos, c.CrashServer(server))
		}
	}
	for _, gateway := range c.Gateways {
		if gateway.Domain == domain {
			undos = append(undos, c.crashGateway(gateway))
		}
	}
	for _, runner := range c.Runners {
		if runner.Domain == domain {
			undos = append(undos, c.crashRunner(runner))
		}
	}
	return UndoAll(undos)
}

// loseDomain crashes a domain and replaces one of its servers by an empty one.
func (c *Cluster) loseDomain(domain string) func() {
	if c.diskLost {
		return nil
	}
	c.diskLost = true
	undo := c.CrashDomain(domain)
	for _, server := range c.Servers {
		if server.Domain == domain {
			c.ReplaceServer(server)
			break
		}
	}
	return undo
}
