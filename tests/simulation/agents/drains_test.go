package agents

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

const (
	drainedDomain = "north"
	unseenDomain  = "south"
	drainRunners  = 6
	// drainAt is when the drain is ordered, reopenAfter how long after its
	// acknowledgement the domain is reopened, in ms.
	drainAt     = readyAt + 2000
	reopenAfter = 12000
	drainJobs   = 100
)

// drainFaults are injected around the time of the drain order.
var drainFaults = []struct {
	name   string
	inject func(c *agentCluster) (undo func())
}{
	{"nothing", func(*agentCluster) func() { return func() {} }},
	{"leader crashes", func(c *agentCluster) func() { return c.CrashServer(c.Leader()) }},
	{"leader is isolated", func(c *agentCluster) func() { return c.Isolate(c.Leader().Process, true, true) }},
	{"leader freezes", func(c *agentCluster) func() { return c.Freeze(c.Leader().Process) }},
	{"an agent in the domain is isolated", func(c *agentCluster) func() {
		return c.Isolate(c.firstAgentIn(drainedDomain).Process, true, true)
	}},
	{"an agent in the domain restarts", func(c *agentCluster) func() {
		agent := c.firstAgentIn(drainedDomain)
		c.Kill(agent.Process)
		return agent.Start
	}},
}

func (c *agentCluster) firstAgentIn(domain string) *simulation.Agent {
	for _, agent := range c.Agents {
		if agent.Domain == domain {
			return agent
		}
	}
	return nil
}

// drain drains a domain, even if no runner has reported from it, and calls acked once the
// order is acknowledged.
func (c *agentCluster) drain(domain string, acked func()) {
	c.order(http.MethodPut, endpoint.DrainPath(domain), []byte(`{"unseen":true}`), func() {
		c.Checker.DrainAcked(domain)
		acked()
	})
}

func (c *agentCluster) reopen(domain string) {
	c.Checker.ReopenRequested(domain)
	c.order(http.MethodDelete, endpoint.DrainPath(domain), nil, func() {})
}

// runsIn counts the attempts running in a domain.
func (c *agentCluster) runsIn(domain string) (count int) {
	for _, agent := range c.Agents {
		if agent.Domain == domain {
			count += len(agent.Runner.Runs())
		}
	}
	return count
}

// TestDrainWithAgents drains a domain under load while the leader or an agent fails
// before, at or after the order. From 5 s after the acknowledgement until the reopening,
// no task may start in the domain, and all jobs must succeed.
func TestDrainWithAgents(t *testing.T) {
	t.Parallel()
	for _, fault := range drainFaults {
		for _, offset := range []int64{-300, 0, 20, 600} {
			t.Run(fmt.Sprintf("%s/%d", fault.name, offset), func(t *testing.T) {
				t.Parallel()
				testDrainWithAgents(t, 1, offset, fault.inject)
			})
		}
	}
}

func testDrainWithAgents(t *testing.T, seed, offset int64, inject func(c *agentCluster) func()) {
	t.Helper()
	c := newAgentCluster(t, seed, drainRunners)
	for i := range drainJobs {
		c.At(readyAt+int64(i)*jobInterval, func() { c.submit(tasks(2, 400+int64(i%4)*200), func() {}) })
	}
	c.At(drainAt+offset, func() { c.After(3000, inject(c)) })
	reopened := false
	c.At(drainAt, func() {
		c.drain(drainedDomain, func() {
			c.After(reopenAfter, func() {
				if runs := c.runsIn(drainedDomain); runs > 0 {
					t.Errorf("%d attempts run in a drained domain", runs)
				}
				reopened = true
				c.reopen(drainedDomain)
			})
		})
	})
	c.Run(drainAt + reopenAfter + 16000)
	c.checkInvariants(seed)
	if !reopened {
		t.Error("the drain was not acknowledged")
	}
	for _, key := range c.keys {
		if got := c.jobState(key); got != string(state.Succeeded) {
			t.Errorf("job %s is %s", key, got)
		}
	}
}

// TestDrainOfUnseenDomain drains a domain before any runner has reported from it, and
// crashes the leader. A runner that starts there later must get no task until the domain
// is reopened, and tasks after that.
func TestDrainOfUnseenDomain(t *testing.T) {
	t.Parallel()
	c := newAgentCluster(t, 1, 2)
	c.drain(unseenDomain, func() {})
	c.At(readyAt+500, func() { c.crashLeader() })
	c.At(readyAt+3000, func() { c.AddAgentIn(unseenDomain, runnerCapacity) })
	for i := range drainJobs {
		c.At(readyAt+4000+int64(i)*jobInterval, func() { c.submit(tasks(3, 800), func() {}) })
	}
	c.Run(readyAt + 14000)
	if runs := c.runsIn(unseenDomain); runs > 0 {
		t.Errorf("%d attempts run in a domain that was drained before any runner reported from it", runs)
	}
	c.reopen(unseenDomain)
	c.Run(c.Now + 4000)
	if c.runsIn(unseenDomain) == 0 {
		t.Error("too little evidence: nothing runs in the reopened domain")
	}
	c.checkInvariants(1)
}
