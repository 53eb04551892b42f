package agents

import (
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

const (
	// maxTurnToLeader is how long after its election a leader may be unknown to an
	// agent or a gateway, in ms: an announcement, a poll and its response, with 3 ms of
	// delay and a tick of 20 ms each, plus a margin for lost messages.
	maxTurnToLeader = 150
	// leaderProbe is the interval of checks for a new leader, in ms.
	leaderProbe = 1
	// readInterval is the time between two reads of a gateway, in ms.
	readInterval = 10
	newLeaders   = 24
)

// leaderLosses are the ways in which a leader is lost.
var leaderLosses = []func(c *agentCluster, leader *simulation.Server) (undo func()){
	func(c *agentCluster, leader *simulation.Server) func() { return c.CrashServer(leader) },
	func(c *agentCluster, leader *simulation.Server) func() { return c.Freeze(leader.Process) },
	func(c *agentCluster, leader *simulation.Server) func() {
		return c.Isolate(leader.Process, true, true)
	},
}

// nextLeader calls found as soon as a server other than the former leader leads and holds
// the leader lease.
func (c *agentCluster) nextLeader(former *simulation.Server, found func(leader *simulation.Server)) {
	c.Poll(leaderProbe, func() (again bool) {
		for _, server := range c.Servers {
			if server != former && server.IsLeader() && server.Machine.Raft().HasLease(c.Monotonic(server.Process)) {
				found(server)
				return false
			}
		}
		return true
	})
}

// measureAgents measures how long each agent takes to get a response from a new leader,
// by the fencing token that only this leader's responses carry.
func (c *agentCluster) measureAgents(leader *simulation.Server, spans *[]int64) {
	since := c.Now
	term := uint64(leader.Machine.Raft().Term())
	for _, agent := range c.Agents {
		c.Poll(leaderProbe, func() (again bool) {
			if agent.Machine.FencingToken() < term {
				return true
			}
			*spans = append(*spans, c.Now-since)
			return false
		})
	}
}

// measureGateways measures how long after the election of a leader each gateway first
// answers a read. A gateway without contact rejects the read at once, and the read is
// repeated.
func (c *agentCluster) measureGateways(spans *[]int64) {
	since := c.Now
	for _, gateway := range c.Gateways {
		answered := false
		c.Poll(readInterval, func() (again bool) {
			c.Request(c.Clients.Process, gateway.Addr, http.MethodGet, endpoint.CatalogPath, nil, orderTimeout, func(status int, _ []byte) {
				if status == http.StatusOK && !answered {
					answered = true
					*spans = append(*spans, c.Now-since)
				}
			})
			return !answered
		})
	}
}

// TestNewLeaderIsAnnounced loses leaders in different ways. Every agent and every gateway
// must switch to the next leader as soon as it is elected, as a new leader announces
// itself to all of them.
func TestNewLeaderIsAnnounced(t *testing.T) {
	t.Parallel()
	var agents, gateways []int64
	for i := range newLeaders {
		c := newAgentCluster(t, int64(i+1), 5)
		c.At(readyAt+int64(i)*41, func() {
			former := c.Leader()
			c.After(8000, leaderLosses[i%len(leaderLosses)](c, former))
			c.nextLeader(former, func(leader *simulation.Server) {
				c.measureAgents(leader, &agents)
				c.measureGateways(&gateways)
			})
		})
		c.Run(readyAt + 6000)
		c.checkInvariants(int64(i + 1))
	}
	if len(agents) != newLeaders*5 || len(gateways) != newLeaders*3 {
		t.Errorf("%d of %d agents and %d of %d gateways switched to the new leader", len(agents), newLeaders*5, len(gateways), newLeaders*3)
	}
	for name, spans := range map[string][]int64{"agents": agents, "gateways": gateways} {
		t.Logf("%s: p50 %d ms, worst %d ms", name, simulationtest.Median(spans), simulationtest.Longest(spans))
		if worst := simulationtest.Longest(spans); worst > maxTurnToLeader {
			t.Errorf("%s switched to a new leader after %d ms, want at most %d", name, worst, maxTurnToLeader)
		}
	}
}
