package simulation

import (
	"fmt"
	"math/rand"

	"orchidward/internal/invariants"
)

// Cluster is a simulated cluster: its processes, network, disks and clients.
type Cluster struct {
	EventLoop
	Spec ClusterSpec
	// Random is the only source of randomness in the run.
	Random *rand.Rand

	// Servers includes the diskless servers, which come last.
	Servers  []*Server
	Gateways []*Gateway
	Runners  []*Runner
	// Agents represent runners that use another protocol; a cluster has none unless
	// AddAgents is called.
	Agents    []*Agent
	AgentRuns *AgentRuns
	// Seeds are the addresses that processes know when they start.
	Seeds   []string
	Clients *Clients
	Checker *invariants.Checker

	// Trace enables Log, which has one line per event.
	Trace bool
	Log   []string
	// Failpoint, if set, is called before a server sends and writes the output of a
	// step, and returns true if it crashed the server.
	Failpoint func(server *Server) (crashed bool)
	// ClocksStopInSuspend gives every process a monotonic clock that does not advance
	// while the process is suspended, as CLOCK_MONOTONIC does.
	ClocksStopInSuspend bool
	// Injected counts the faults that took effect, by kind.
	Injected map[FaultKind]int
	Traffic  Traffic

	processes map[string]*Process
	network   network
	// faultsOverAt is when the last fault ended, 0 before that.
	faultsOverAt int64
	// drainOrders numbers the orders to drain or reopen each domain.
	drainOrders map[string]int
	// diskLost is set once a server has lost its disk for good; only one per run may.
	diskLost    bool
	runnersLost int
}

// Traffic counts the messages between processes and their bytes.
type Traffic struct {
	// Frames counts the messages between servers and gateways, Bytes estimates
	// their size as encoded.
	Frames int
	Bytes  int64
	// Polls counts the answered polls of runners, PollBytes the size of these polls
	// and their responses.
	Polls     int64
	PollBytes int64
}

// quietAfter is how long after the last fault the cluster counts as recovered, in ms.
const quietAfter = 15000

// Latest times at which processes first start, in ms.
const (
	maxServerStart = 300
	maxRunnerStart = 1000
)

// NewCluster makes a cluster whose processes start at random within the first
// second. Equal seeds and specs give equal runs.
func NewCluster(seed int64, spec ClusterSpec) *Cluster {
	c := &Cluster{
		Spec:        spec,
		Random:      rand.New(rand.NewSource(seed)),
		Injected:    map[FaultKind]int{},
		processes:   map[string]*Process{},
		network:     newNetwork(),
		drainOrders: map[string]int{},
	}
	c.Checker = invariants.New(c)
	c.AgentRuns = newAgentRuns(c)
	c.addProcesses()
	c.Clients = newClients(c)
	for _, server := range c.Servers {
		c.After(c.Random.Int63n(maxServerStart), server.Start)
	}
	for _, gateway := range c.Gateways {
		c.After(c.Random.Int63n(maxServerStart), gateway.Start)
	}
	for _, runner := range c.Runners {
		c.After(c.Random.Int63n(maxRunnerStart), runner.start)
	}
	return c
}

func (c *Cluster) addProcesses() {
	for i := range min(c.Spec.Servers, maxSeeds) {
		c.Seeds = append(c.Seeds, fmt.Sprintf("k%d", i+1))
	}
	domains := c.Spec.ServerDomainNames()
	for i := range c.Spec.Servers {
		c.AddServer(fmt.Sprintf("k%d", i+1), domains[i%len(domains)])
	}
	for i := range c.Spec.DisklessServers {
		c.AddServer(fmt.Sprintf("p%d", i+1), Domains[i%len(Domains)]).Diskless = true
	}
	for i := range c.Spec.Gateways {
		c.AddGateway(fmt.Sprintf("g%d", i+1), Domains[i%len(Domains)])
	}
	for i := range c.Spec.Runners {
		c.addRunner(i)
	}
}

// Logf adds a line to the trace of the run, if Trace is set.
func (c *Cluster) Logf(text string, args ...any) {
	if c.Trace {
		c.Log = append(c.Log, fmt.Sprintf("%7d ", c.Now)+fmt.Sprintf(text, args...))
	}
}

// Time returns the virtual time in milliseconds.
func (c *Cluster) Time() int64 { return c.Now }

// Quiet reports whether all faults ended more than 15 seconds ago.
func (c *Cluster) Quiet() bool {
	return c.faultsOverAt > 0 && c.Now-c.faultsOverAt > quietAfter
}

// Undisturbed reports whether the run has no faults at all, including defective
// attempts.
func (c *Cluster) Undisturbed() bool {
	return c.Spec.DefectPercent == 0 && c.faultsOverAt == neverDisturbed
}

// Runner describes the runner with a name; the view is empty for an unknown name.
func (c *Cluster) Runner(name string) invariants.RunnerView {
	for _, runner := range c.Runners {
		if runner.Name == name {
			return runner.view()
		}
	}
	return invariants.RunnerView{}
}
