package main

import "testing"

// TestLeaseTrial: where no percentage moves the trial itself loses no hold, so
// that what it counts elsewhere comes from the agent.
func TestLeaseTrial(t *testing.T) {
	polls, bare, beats := leaseTrial(14, 1<<40)
	if bare != 0 || beats < 800 || polls < 100 || polls > 300 {
		t.Errorf("%d polls, %d of %d beats without a hold", polls, bare, beats)
	}
}
