package scheduler

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// deferralView returns a view in which all runners are alike, every run takes remaining
// longer, and every task has been deferred for deferredFor.
func deferralView(remaining, deferredFor clock.Millis) RunnerView {
	view := newHealthyView()
	view.Remaining = func(*state.Lease) (clock.Millis, bool) { return remaining, true }
	view.DeferredFor = func(identifier.TaskRef) clock.Millis { return deferredFor }
	return view
}

// TestWaitForNearRunner checks that a task whose preferred rack is full waits for it while
// that is expected to finish earlier than running elsewhere, but never longer than the worse
// placement costs, and that no more tasks wait than the rack will have resources for.
func TestWaitForNearRunner(t *testing.T) {
	for _, c := range []struct {
		name                        string
		run, remaining, deferredFor clock.Millis
		tasks                       int64
		wantPlaced                  int
	}{
		{"room soon", 1000, 300, 0, 1, 0},
		{"room too late", 1000, 1200, 0, 1, 1},
		{"waited too long", 1000, 300, 1000, 1, 1},
		{"more tasks than room", 1000, 300, 0, 5, 2},
		{"immediate placement elsewhere is as good", 1000, 970, 0, 1, 1},
		{"a long run waits for room soon", 20_000, 300, 0, 1, 0},
		{"a long run does not wait for seconds", 20_000, 1600, 0, 1, 1},
		{"a long run has waited for seconds", 20_000, 300, 1500, 1, 1},
	} {
		store := newQueueStore(t, 6)
		full := job.Step{Tasks: 3, PreferredRack: "k1", Demand: job.Demand{MilliCores: 8000, Mem: 1}}
		submitToQueue(t, store, "full", "q0", 10, full)
		scheduleAndPlace(t, store)
		step := job.Step{Tasks: c.tasks, PreferredRack: "k1", Demand: job.Demand{MilliCores: 8000, Mem: 1}, ExpectedRun: c.run}
		submitToQueue(t, store, "j", "q0", 20, step)
		plan := Schedule(store, deferralView(c.remaining, c.deferredFor), policy.NewCache())
		if len(plan.Placements) != c.wantPlaced || len(plan.Deferred)+c.wantPlaced != int(c.tasks) {
			t.Errorf("%s: %d placed, %d deferred, want %d placed", c.name, len(plan.Placements), len(plan.Deferred), c.wantPlaced)
		}
	}
}

// TestServicesAreNotDeferred checks that services, which run until they are cancelled, and
// gangs are placed without deferral.
func TestServicesAreNotDeferred(t *testing.T) {
	for _, step := range []job.Step{
		{Tasks: 1, Service: true},
		{Tasks: 2, Gang: true},
	} {
		store := newQueueStore(t, 6)
		demand := job.Demand{MilliCores: 8000, Mem: 1}
		submitToQueue(t, store, "full", "q0", 10, job.Step{Tasks: 3, PreferredRack: "k1", Demand: demand})
		scheduleAndPlace(t, store)
		step.PreferredRack = "k1"
		step.Demand = demand
		submitToQueue(t, store, "j", "q0", 20, step)
		plan := Schedule(store, deferralView(300, 0), policy.NewCache())
		if len(plan.Placements) != 1 || len(plan.Deferred) != 0 {
			t.Errorf("%+v: %d placed, %d deferred", step, len(plan.Placements), len(plan.Deferred))
		}
	}
}

// TestDeferredTasks checks that a task counts as deferred from the first of a series of
// cycles that deferred it, and that a gap longer than deferralRetention ends the series.
func TestDeferredTasks(t *testing.T) {
	deferred := NewDeferredTasks()
	ref := identifier.TaskRef{Job: "q/j"}
	deferred.Update([]identifier.TaskRef{ref}, 1000)
	deferred.Update(nil, 1500)
	deferred.Update([]identifier.TaskRef{ref}, 1900)
	if span := deferred.For(ref, 2000); span != 1000 {
		t.Errorf("deferred for %d ms, want 1000", span)
	}
	deferred.Update(nil, 3000)
	if deferred.Any() || deferred.For(ref, 3000) != 0 {
		t.Error("still deferred 1.1 s after the last cycle that deferred it")
	}
}
