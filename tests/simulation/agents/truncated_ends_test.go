package agents

import (
	"fmt"
	"testing"

	"orchidward/internal/api/runnerapi"
	"orchidward/tests/simulation"
)

const (
	// smallTasks run at once, smallWork is how long each runs, in ms.
	smallTasks = 16
	smallWork  = 3000
	// agentDownAt is when an agent is killed, counted from the start of its runner's tasks,
	// agentDownFor for how long, and drainWhileDown when its domain is drained, counted from
	// the kill, in ms.
	agentDownAt    = 2000
	agentDownFor   = 1500
	drainWhileDown = 800
	// smallJobTime is how long after the submission the job must have succeeded, in ms.
	smallJobTime = 20000
	truncations  = 12
)

// killAgentUntilEnds kills the agent of a runner before the runner's tasks end, drains its
// domain, and starts the agent again.
func (c *agentCluster) killAgentUntilEnds(runner *simulation.AgentRunner) {
	c.After(agentDownAt, func() {
		c.Kill(runner.Agent.Process)
		c.After(drainWhileDown, func() { c.drain(runner.Agent.Domain, func() {}) })
		c.After(agentDownFor, runner.Agent.Start)
	})
}

// TestDrainWithTruncatedEnds drains a domain while one of its agents is down and more tasks
// end on the agent's runner than one heartbeat lists. No task may run again.
func TestDrainWithTruncatedEnds(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= truncations; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newAgentCluster(t, seed, gangRunners)
			key := c.submit(tasks(smallTasks, smallWork), func() {})
			c.whenMembersRun(1, c.killAgentUntilEnds)
			c.runUntilSucceeded(key, readyAt+smallJobTime)
			c.checkInvariants(seed)
			if !c.succeeded(key) {
				t.Errorf("the job is %s", c.jobState(key))
			}
			if done := c.AgentRuns.Ends[runnerapi.OutcomeSuccess]; done != smallTasks {
				t.Errorf("%d attempts at %d tasks succeeded: ends %v", done, smallTasks, c.AgentRuns.Ends)
			}
		})
	}
}
