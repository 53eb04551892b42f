package agents

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

const (
	textRunners = 4
	textJobs    = 40
	// jobInterval is the time between two jobs, in ms.
	jobInterval = 150
	// maxStray is how long an attempt that the control plane does not know may run on a
	// runner that has contact with its agent, in ms.
	maxStray = 1500
)

// payloadFaults are injected while jobs are submitted, resent and cancelled.
var payloadFaults = []struct {
	name   string
	inject func(c *agentCluster) (undo func())
}{
	{"nothing", func(*agentCluster) func() { return func() {} }},
	{"leader crashes", func(c *agentCluster) func() { return c.CrashServer(c.Leader()) }},
	{"leader is isolated", func(c *agentCluster) func() { return c.Isolate(c.Leader().Process, true, true) }},
	{"all servers crash", func(c *agentCluster) func() {
		var undos []func()
		for _, server := range c.Servers {
			undos = append(undos, c.CrashServer(server))
		}
		return simulation.UndoAll(undos)
	}},
	{"agent restarts", func(c *agentCluster) func() {
		c.Kill(c.Agents[0].Process)
		return c.Agents[0].Start
	}},
	{"runner restarts", func(c *agentCluster) func() {
		c.Agents[0].Runner.Crash()
		return c.Agents[0].Runner.Start
	}},
	{"agent freezes", func(c *agentCluster) func() { return c.Freeze(c.Agents[0].Process) }},
}

// sendOtherPayload submits another payload under the ID of an accepted job: it must be
// rejected, and never reach a runner.
func (c *agentCluster) sendOtherPayload(key identifier.JobKey) {
	body := jobText("another text", tasks(2, 300))
	c.Request(c.Clients.Process, c.Clients.RandomGateway(), http.MethodPut, endpoint.JobPath(key), body, orderTimeout, func(status int, _ []byte) {
		if status == http.StatusOK || status == http.StatusCreated {
			c.t.Errorf("another text under the id of %s is answered %d", key, status)
		}
	})
}

// TestRunnersGetTheirText submits jobs with unique payloads, sends other payloads under
// their IDs, and cancels some of them, while servers, agents and runners fail. No runner
// may be ordered to start a task that was not submitted, with another payload, or after
// its job was cancelled.
func TestRunnersGetTheirText(t *testing.T) {
	t.Parallel()
	for _, fault := range payloadFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 2; seed++ {
				testPayloads(t, seed, fault.inject)
			}
		})
	}
}

func testPayloads(t *testing.T, seed int64, inject func(c *agentCluster) func()) {
	t.Helper()
	c := newAgentCluster(t, seed, textRunners)
	cancelled := map[identifier.JobKey]bool{}
	for i := range textJobs {
		c.At(readyAt+int64(i)*jobInterval, func() {
			var key identifier.JobKey
			key = c.submit(tasks(1+int64(i%3), 200+int64(i%5)*200), func() {
				if i%4 == 0 {
					cancelled[key] = true
					c.After(int64(i)*7, func() { c.cancel(key) })
				}
				c.sendOtherPayload(key)
			})
		})
	}
	c.At(readyAt+textJobs*jobInterval/2, func() { c.After(2500, inject(c)) })
	c.Run(readyAt + textJobs*jobInterval + 20000)
	c.checkInvariants(seed)
	for _, key := range c.keys {
		got := c.jobState(key)
		if got != string(state.Succeeded) && !(cancelled[key] && got == string(state.Cancelled)) {
			t.Errorf("seed %d: job %s is %s", seed, key, got)
		}
	}
	if c.AgentRuns.Starts < textJobs {
		t.Errorf("seed %d: too little evidence: %d starts", seed, c.AgentRuns.Starts)
	}
}

// TestUnknownRunsAreStopped has a runner run attempts that the control plane does not
// know: of jobs that were never submitted, and of a known job with an unknown attempt
// number. All must be stopped, and the job must succeed in a regular attempt.
func TestUnknownRunsAreStopped(t *testing.T) {
	t.Parallel()
	c := newAgentCluster(t, 1, 2)
	key := c.submit(tasks(1, 600), func() {})
	runner := c.Agents[0].Runner
	for i, job := range []identifier.JobKey{"q/00000000000000ff.0", "nobody/1.0", key + ".0"} {
		c.At(readyAt+2000, func() {
			runner.Adopt(runnerapi.Start{Task: identifier.TaskRef{Job: job}, Attempt: uint64(40 + i), ExpectedRun: 60000})
		})
	}
	c.Run(readyAt + 2000 + maxStray)
	for _, run := range runner.Runs() {
		t.Errorf("%s attempt %d runs although the control plane does not know it", run.Task, run.Attempt)
	}
	c.Run(c.Now + 3000)
	c.checkInvariants(1)
	if !c.succeeded(key) {
		t.Errorf("the job is %s", c.jobState(key))
	}
	if stopped := c.AgentRuns.Ends[runnerapi.OutcomeStopped]; stopped != 3 {
		t.Errorf("%d attempts were stopped: %s", stopped, fmt.Sprint(c.AgentRuns.Ends))
	}
}
