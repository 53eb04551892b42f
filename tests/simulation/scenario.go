package simulation

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
)

// Scenario defines one run, which is fully determined by its fields.
type Scenario struct {
	Seed int64
	Spec ClusterSpec
	// Window is the time until which clients submit jobs and faults begin; then all
	// faults end.
	Window int64
	// Recovery is how long after the window accepted jobs may take to end; values below
	// minRecovery count as minRecovery.
	Recovery int64
	Faults   []Fault
	// Trace keeps a log of the run.
	Trace bool
	// Setup, if set, prepares the cluster beyond what the list of faults can express.
	Setup func(cluster *Cluster)
}

const (
	// setUpAt is when the clients first try to create their rows of the limits table.
	setUpAt = 2500
	// minLoadStart is the earliest start of the load, loadAfterSetUp the delay of the
	// load after the rows exist.
	minLoadStart   = 4000
	loadAfterSetUp = 2000
	// minRecovery is long enough for the longest work to run twice over.
	minRecovery = 70000
	// minObservation is the least time for which a cluster is observed after the window,
	// and observationAfterDone the time for which it is observed once every job has
	// ended: a task that starts in that time is a violation.
	minObservation       = 16000
	observationAfterDone = 4000
	// observationStep is the interval at which the run checks whether every job has
	// ended.
	observationStep = 1000
	// neverDisturbed is the value of faultsOverAt for a run without faults.
	neverDisturbed = 1
)

// Run runs a scenario and returns the cluster in its final state.
func Run(scenario Scenario) *Cluster {
	c := NewCluster(scenario.Seed, scenario.Spec)
	c.Trace = scenario.Trace
	if scenario.Setup != nil {
		scenario.Setup(c)
	}
	if len(scenario.Faults) == 0 {
		c.faultsOverAt = neverDisturbed
	}
	c.After(setUpAt, func() {
		c.Clients.setUp(func() {
			c.Clients.start(max(minLoadStart, c.Now+loadAfterSetUp), scenario.Window)
		})
	})
	for _, fault := range scenario.Faults {
		c.At(fault.At, func() { c.Inject(fault) })
	}
	c.Run(scenario.Window)
	c.Heal()
	c.runUntilDone(scenario.Window, scenario.Window+max(scenario.Recovery, minRecovery))
	for _, key := range c.Checker.Finish() {
		c.logStuckJob(key)
	}
	return c
}

// runUntilDone advances time until every job has ended, at most to end.
func (c *Cluster) runUntilDone(window, end int64) {
	for c.Now < end {
		c.Run(min(end, c.Now+observationStep))
		if c.Now > window+minObservation && c.Checker.Done() {
			c.Run(min(end, c.Now+observationAfterDone))
			return
		}
	}
}

// Heal ends all faults that are still active, so that the cluster can recover and the
// jobs can end.
func (c *Cluster) Heal() {
	if c.faultsOverAt == 0 {
		c.faultsOverAt = c.Now
	}
	c.repairAll()
}

// Repair ends all active faults. More faults may follow: the cluster does not count as
// quiet.
func (c *Cluster) Repair() {
	c.repairAll()
	c.faultsOverAt = 0
}

func (c *Cluster) repairAll() {
	clear(c.network.blocked)
	for _, server := range c.Servers {
		server.repair()
	}
	for _, gateway := range c.Gateways {
		c.Resume(gateway.Process)
		if !gateway.Up {
			gateway.Start()
		}
	}
	for _, runner := range c.Runners {
		runner.repair()
	}
	for _, one := range c.Agents {
		one.repair()
	}
	for _, domain := range Domains {
		c.Clients.SetDrained(domain, false, c.newDrainOrder(domain))
	}
}

func (s *Server) repair() {
	s.DiskDelay = 0
	s.DiskStalledUntil = 0
	s.ClockSkew = 0
	s.cluster.Resume(s.Process)
	if !s.Up && !s.Removed {
		s.Start()
	}
}

func (r *Runner) repair() {
	r.cluster.Resume(r.Process)
	if r.removed {
		return
	}
	if !r.Up {
		r.start()
	}
	r.extraDefects = 0
	r.Machine.SetFaults(0, 0)
	if r.Machine.Mode() != runnerapi.ModeActive {
		r.CancelDrain()
	}
}

// logStuckJob logs the leader's state of a job that did not end.
func (c *Cluster) logStuckJob(key identifier.JobKey) {
	leader := c.Leader()
	if leader == nil {
		c.Logf("no leader")
		return
	}
	store := leader.Machine.State()
	job := store.Jobs[key]
	if job == nil {
		c.Logf("the leader does not know %s", key)
		return
	}
	c.Logf("%s is %s, now %d start %d", key, job.State(), store.Now-WallClockStart, job.StartAt-WallClockStart)
	for step, tasks := range job.Steps {
		for number, task := range tasks {
			c.Logf("  %d/%d %+v lease %+v", step, number, *task, store.Leases[task.Lease])
		}
	}
}
