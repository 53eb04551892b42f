package simulation

// faultActions inject each kind of fault. An action returns the function that ends the
// fault, or nil if the fault cannot take effect in the cluster's current state.
var faultActions = map[FaultKind]func(c *Cluster, f Fault) (undo func()){
	ServerCrash:        func(c *Cluster, f Fault) func() { return c.CrashServer(c.targetServer(f)) },
	LeaderCrash:        func(c *Cluster, f Fault) func() { return c.CrashServer(c.targetLeader(f)) },
	ServerFreeze:       func(c *Cluster, f Fault) func() { return c.Freeze(c.targetServer(f).Process) },
	LeaderFreeze:       func(c *Cluster, f Fault) func() { return c.Freeze(c.targetLeader(f).Process) },
	ServerIsolated:     func(c *Cluster, f Fault) func() { return c.Isolate(c.targetServer(f).Process, true, true) },
	LeaderIsolated:     func(c *Cluster, f Fault) func() { return c.Isolate(c.targetLeader(f).Process, true, true) },
	ServerHalfIsolated: (*Cluster).halfIsolateServer,
	ServerLinkBlocked:  (*Cluster).blockServerLink,
	ServerDiskSlow:     (*Cluster).slowDisk,
	ServerDiskStalled:  (*Cluster).stallDisk,
	ServerLost:         (*Cluster).loseServer,
	ServerClockJump:    (*Cluster).jumpClock,
	AllServersCrash:    func(c *Cluster, _ Fault) func() { return c.crashAllServers() },

	GatewayCrash:       func(c *Cluster, f Fault) func() { return c.crashGateway(c.targetGateway(f)) },
	GatewayFreeze:      func(c *Cluster, f Fault) func() { return c.Freeze(c.targetGateway(f).Process) },
	GatewayIsolated:    func(c *Cluster, f Fault) func() { return c.Isolate(c.targetGateway(f).Process, true, true) },
	GatewayLinkBlocked: (*Cluster).blockGatewayLink,

	RunnerCrash:     func(c *Cluster, f Fault) func() { return c.crashRunner(c.targetRunner(f)) },
	RunnerFreeze:    func(c *Cluster, f Fault) func() { return c.Freeze(c.targetRunner(f).Process) },
	RunnerIsolated:  (*Cluster).isolateRunner,
	RunnerDrain:     (*Cluster).drainRunner,
	RunnerDefective: (*Cluster).makeDefective,
	RunnerLost:      func(c *Cluster, f Fault) func() { return c.LoseRunner(c.targetRunner(f)) },
	RackDrain:       (*Cluster).drainRack,

	DomainCrash:     func(c *Cluster, f Fault) func() { return c.CrashDomain(choose(Domains, f.Target)) },
	DomainPartition: func(c *Cluster, f Fault) func() { return c.partitionDomain(choose(Domains, f.Target)) },
	DomainLost:      func(c *Cluster, f Fault) func() { return c.loseDomain(choose(Domains, f.Target)) },
	DomainDrain:     func(c *Cluster, f Fault) func() { return c.drainDomain(choose(Domains, f.Parameter)) },
	DrainRace:       func(c *Cluster, f Fault) func() { return c.raceDrains(choose(Domains, f.Parameter)) },

	LimitsStorm: func(c *Cluster, _ Fault) func() { return c.stormLimits() },
	LimitsRace:  func(c *Cluster, _ Fault) func() { return c.raceLimits() },
	LimitsFlood: (*Cluster).floodLimits,
	PacketLoss:  func(c *Cluster, _ Fault) func() { return c.losePackets() },
	LoadSpike:   func(c *Cluster, _ Fault) func() { return c.spikeLoad() },
	MassRestart: func(c *Cluster, _ Fault) func() { return c.restartMany() },
}

// Inject injects a fault and ends it after its duration.
func (c *Cluster) Inject(fault Fault) {
	c.Logf("FAULT %v", fault)
	action := faultActions[fault.Kind]
	if action == nil {
		panic("simulation: unknown fault kind: " + string(fault.Kind))
	}
	undo := action(c, fault)
	if undo != nil {
		c.Injected[fault.Kind]++
	}
	c.After(fault.Duration, func() {
		c.Logf("heal %s", fault.Kind)
		if undo != nil {
			undo()
		}
	})
}

// UndoAll returns a function that ends several faults. It skips nil functions.
func UndoAll(undos []func()) func() {
	return func() {
		for _, undo := range undos {
			if undo != nil {
				undo()
			}
		}
	}
}

// undoNothing ends a fault that needs no undo.
func undoNothing() {}

func choose[T any](list []T, choice int) T { return list[choice%len(list)] }

func (c *Cluster) targetServer(f Fault) *Server { return choose(c.Servers, f.Target) }

// targetLeader is the leader, or the server chosen by Target if there is no leader.
func (c *Cluster) targetLeader(f Fault) *Server {
	if leader := c.Leader(); leader != nil {
		return leader
	}
	return c.targetServer(f)
}

func (c *Cluster) targetGateway(f Fault) *Gateway { return choose(c.Gateways, f.Target) }

func (c *Cluster) targetRunner(f Fault) *Runner { return choose(c.Runners, f.Target) }
