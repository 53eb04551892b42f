package scheduler

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/prediction"
	"orchidward/internal/scheduler/policy"
)

// TestTrialEndsWithSuccesses checks that a runner on trial is given one task at a time at
// first, and that its task limit grows with consecutive successes.
func TestTrialEndsWithSuccesses(t *testing.T) {
	for _, c := range []struct{ streak, want int }{{0, 1}, {1, 1}, {4, 4}, {100, 8}} {
		store := newQueueStore(t, 9)
		for _, runner := range store.Runners {
			runner.Successes = 60
		}
		store.Runners["r00"].Successes = 0
		store.Runners["r00"].Defects = 20
		view := newView(
			func(name identifier.Runner) bool { return name == "r00" },
			func(identifier.Runner) int64 { return prediction.NominalRate },
		)
		view.SuccessStreak = func(identifier.Runner) int { return c.streak }
		submitToQueue(t, store, "j", "q0", 10, job.Step{Tasks: 8, Demand: job.Demand{MilliCores: 1000, Mem: 1}})
		for range 8 {
			place(t, store, Schedule(store, view, policy.NewCache()).Placements...)
		}
		if have := len(store.Leases); have != c.want {
			t.Errorf("after %d successes %d tasks are placed there, want %d", c.streak, have, c.want)
		}
	}
}
