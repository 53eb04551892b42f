package simulation

import (
	"fmt"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Agent is a process that represents one runner of another protocol to the control
// plane. The runner is a separate process in the same domain.
type Agent struct {
	*Process
	// Machine is the state machine that runs in the process.
	Machine *agent.Agent
	Runner  *AgentRunner

	cluster *Cluster
	// seed increases with each start, as an agent's poll numbers must.
	seed int64
}

// Leases and intervals of the agents and their runners, in ms.
const (
	agentMaxLease          clock.Millis = 6000
	agentUsualLease        clock.Millis = 3500
	agentHeartbeatInterval clock.Millis = 100
	agentDepartureNotice   clock.Millis = 2000
	// agentSeedStep is how much the first poll number increases with each start.
	agentSeedStep = 1_000_000
)

// AgentPool is the pool of all runners that agents represent.
const AgentPool = "agents"

// agentsPerRack is how many of these runners share a rack.
const agentsPerRack = 3

// AddAgents adds agents, each with a runner of the given capacity, and starts them. They
// are spread over the domains, and know the seed servers.
func (c *Cluster) AddAgents(count int, capacity job.Demand) {
	for i := range count {
		c.AddAgentIn(Domains[i%len(Domains)], capacity)
	}
}

// AddAgentIn adds one agent in a domain, with a runner of the given capacity, and starts
// both.
func (c *Cluster) AddAgentIn(domain string, capacity job.Demand) *Agent {
	number := len(c.Agents) + 1
	rack := (number - 1) / (len(Domains) * agentsPerRack)
	a := &Agent{
		Process: c.addProcess(fmt.Sprintf("a%d", number), domain),
		cluster: c,
	}
	a.Runner = &AgentRunner{
		Process:  c.addProcess(fmt.Sprintf("f%d", number), domain),
		Agent:    a,
		Capacity: capacity,
		rack:     identifier.Rack(fmt.Sprintf("%s-%d", domain, rack)),
		cluster:  c,
	}
	c.Agents = append(c.Agents, a)
	c.After(c.Random.Int63n(maxRunnerStart), a.Start)
	c.After(c.Random.Int63n(maxRunnerStart), a.Runner.Start)
	return a
}

// Start starts the agent's process.
func (a *Agent) Start() {
	a.begin(a.cluster.Now)
	a.seed += agentSeedStep
	a.Machine = agent.New(agent.Config{
		Name:              identifier.Runner(a.Runner.Name),
		Addr:              a.Addr,
		Domain:            identifier.Domain(a.Domain),
		Seeds:             a.cluster.Seeds,
		Seed:              a.seed + a.cluster.Random.Int63n(agentSeedStep/2),
		MaxLease:          agentMaxLease,
		UsualLease:        agentUsualLease,
		DepartureNotice:   agentDepartureNotice,
		HeartbeatInterval: agentHeartbeatInterval,
	}, 0)
	a.cluster.tickWhileUp(a.Process, agent.TickInterval, a.tick)
}

func (a *Agent) tick() {
	a.Machine.Tick(a.cluster.Monotonic(a.Process))
	a.flush()
}

// flush sends the output of the state machine.
func (a *Agent) flush() {
	output := a.Machine.TakeOutput()
	for _, e := range output.Events {
		a.cluster.Logf("%s %s %v", a.Name, e.Name, e.Fields)
	}
	a.cluster.sendFrames(a.Process, output.Messages)
}

// handleHeartbeat handles a heartbeat of the runner and sends the response.
func (a *Agent) handleHeartbeat(heartbeat agent.Heartbeat) {
	orders := a.Machine.HandleHeartbeat(heartbeat, a.cluster.Monotonic(a.Process))
	a.flush()
	a.cluster.transmit(a.Process, a.Runner.Process, func() { a.Runner.handleOrders(heartbeat.Seq, orders) })
}
