package scheduler

import (
	"math"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
)

// TestOrderByPredictedRuns checks that a job with a far too low estimate is not classified as
// too late: its due time and its timeliness are computed from the predicted run time.
func TestOrderByPredictedRuns(t *testing.T) {
	store := newQueueStore(t, 1)
	view := newHealthyView()
	// Tasks are predicted to run for one second, whatever the estimate.
	view.Predict = func(string, clock.Millis) PredictedRun { return PredictedRun{Run: 1000} }
	step := job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 8000, Mem: 1}}
	low, high := step, step
	low.ExpectedRun = 1
	high.ExpectedRun = 20_000
	submitToQueue(t, store, "low", "q0", 1000, low)
	submitToQueue(t, store, "high", "q0", 1100, high)
	// By the estimates, low is due 1002 ms after its submission, and high after 41 s.
	submitToQueue(t, store, "newest", "q0", 2800, step)
	for _, want := range []identifier.JobKey{"q/low", "q/high", "q/newest"} {
		plan := Schedule(store, view, policy.NewCache())
		if len(plan.Placements) != 1 || plan.Placements[0].Job != want {
			t.Fatalf("want %s, placed %+v", want, plan.Placements)
		}
		place(t, store, plan.Placements...)
		endLeases(t, store, "well", keepNone)
	}
}

// TestExpectedMaxDeviation checks that the expected maximum grows with the number of runs, and
// is 0 for a single run.
func TestExpectedMaxDeviation(t *testing.T) {
	if longest := expectedMaxDeviation(1); longest != 0 {
		t.Errorf("of 1 run: %f, want 0", longest)
	}
	// The means of the largest of 10 and 100 normal values are 1.54 and 2.51.
	for count, want := range map[int64]float64{10: 1.54, 100: 2.51} {
		if have := expectedMaxDeviation(count); math.Abs(have-want) > 0.25 {
			t.Errorf("of %d runs: %f, want about %f", count, have, want)
		}
	}
}
