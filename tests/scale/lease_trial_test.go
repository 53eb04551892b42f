package main

import "testing"

// TestLeaseTrial: while no task's percentage changes, the trial itself leaves no heartbeat
// without a lease, so that what it counts elsewhere comes from the agent.
func TestLeaseTrial(t *testing.T) {
	polls, withoutLease, heartbeats := leaseTrial(14, 1<<40)
	if withoutLease != 0 || heartbeats < 800 || polls < 100 || polls > 300 {
		t.Errorf("%d polls, %d of %d heartbeats without a lease", polls, withoutLease, heartbeats)
	}
}
