package main

import "testing"

// TestLeaseTrial checks that the trial itself causes no heartbeat without a lease: with
// spans so long that no progress percentage changes, there are none. Those counted with
// shorter spans are therefore caused by the agent.
func TestLeaseTrial(t *testing.T) {
	polls, withoutLease, heartbeats := leaseTrial(14, 1<<40)
	if withoutLease != 0 || heartbeats < 800 || polls < 100 || polls > 300 {
		t.Errorf("%d polls, %d of %d heartbeats without a lease", polls, withoutLease, heartbeats)
	}
}
