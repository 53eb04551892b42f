package scheduler

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
)

// TestRunnerTasksFitPoll guards against a runner that is counted lost since it has more
// attempts than a poll may list: such a poll is refused.
func TestRunnerTasksFitPoll(t *testing.T) {
	store := newQueueStore(t, 1)
	for _, id := range []string{"a", "b"} {
		submitToQueue(t, store, id, "q0", 1, job.Step{Tasks: 4000, Demand: job.Demand{MilliCores: 1}})
	}
	for range 2 * runnerapi.MaxItems / maxPlacedTasks {
		scheduleAndPlace(t, store)
	}
	if open := store.Runners["r00"].OpenLeases(); open < maxRunnerTasks || open > runnerapi.MaxItems {
		t.Errorf("%d tasks on one runner, want %d to %d", open, maxRunnerTasks, runnerapi.MaxItems)
	}
}
