package agents

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

const (
	// cutBeforeEnd is how long before the end of a gang's work its machines are cut off,
	// and lateCut how long the cut lasts, in ms: less than a lease before the end, and
	// longer than it takes to count the runners lost.
	cutBeforeEnd = 1500
	lateCut      = 8000
	// crashAfterCut is how long after the start of the cut a runner crashes, in ms, and
	// crashDuration for how long.
	crashAfterCut = 3000
	crashDuration = 1500
	lateGangs     = 8
)

// cutOffNearEnd isolates the agents of a gang shortly before the end of its work, until
// its runners have been counted lost. If crash is set, one of the runners crashes after
// its work has ended, before it can report so.
func (c *agentCluster) cutOffNearEnd(crash bool) {
	c.whenMembersRun(gangMembers, func(member *simulation.AgentRunner) {
		members := c.membersRunning()
		c.After(gangWork-cutBeforeEnd, func() {
			for _, runner := range members {
				c.After(lateCut, c.Isolate(runner.Agent.Process, true, true))
			}
			if crash {
				c.After(crashAfterCut, member.Crash)
				c.After(crashAfterCut+crashDuration, member.Start)
			}
		})
	})
}

// eachGangCutOff submits a gang for each seed, cuts it off near the end of its work as
// prepare says, and checks that the job succeeds nevertheless.
func eachGangCutOff(t *testing.T, prepare func(c *agentCluster, key identifier.JobKey, seed int64)) {
	t.Parallel()
	for seed := int64(1); seed <= lateGangs; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newAgentCluster(t, seed, gangRunners)
			key := c.submit(gang(gangMembers, gangWork), func() {})
			prepare(c, key, seed)
			c.runUntilSucceeded(key, readyAt+recoveryTime)
			c.checkInvariants(seed)
			if got := c.jobState(key); got != string(state.Succeeded) {
				t.Errorf("the job is %s, ends %v", got, c.AgentRuns.Ends)
			}
		})
	}
}

// TestGangEndsWhileCutOff checks that a gang that succeeds while its machines are cut off
// counts as succeeded as a whole, also if only some of the members can still report it.
func TestGangEndsWhileCutOff(t *testing.T) {
	eachGangCutOff(t, func(c *agentCluster, _ identifier.JobKey, seed int64) {
		c.cutOffNearEnd(seed%2 == 0)
	})
}

// TestGangFailsWhileCutOff checks that an attempt of a gang that fails while its machines are
// cut off counts as one failed attempt, however many members report it late.
func TestGangFailsWhileCutOff(t *testing.T) {
	eachGangCutOff(t, func(c *agentCluster, key identifier.JobKey, _ int64) {
		c.AgentRuns.FailFirst(key, queueTries-1)
		c.cutOffNearEnd(false)
	})
}
