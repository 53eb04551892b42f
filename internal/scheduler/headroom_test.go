package scheduler

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// TestHeadroomForUrgentWork: in a pool that is mostly in use, work of a lower priority leaves
// free what urgent work lately had in use, until that has faded; urgent work takes it.
func TestHeadroomForUrgentWork(t *testing.T) {
	store := newQueueStore(t, 5)
	history := NewUsageHistory()
	view := newSoundView()
	view.Usage = history
	step := func(tasks int64) job.Step {
		return job.Step{Tasks: tasks, Demand: job.Demand{MilliCores: 2000, Mem: 1}}
	}
	submitToQueue(t, store, "urgent", "q0", 10, step(4))
	scheduleAndPlace(t, store)
	history.Update(store, view.Predict, 1000)
	endLeases(t, store, state.OutcomeSuccess, keepNone)

	wide := step(30)
	wide.ExpectedRun = 8000
	submitToQueue(t, store, "wide", "q2", 20, wide)
	history.Update(store, view.Predict, 1001)
	plan := Schedule(store, view, policy.NewCache())
	if len(plan.Placements) != 16 {
		t.Fatalf("%d tasks of a low priority are placed, want 16 of 20 with 4 left free", len(plan.Placements))
	}
	place(t, store, plan.Placements...)
	submitToQueue(t, store, "urgent2", "q0", 30, step(4))
	history.Update(store, view.Predict, 1002)
	plan = Schedule(store, view, policy.NewCache())
	if len(plan.Placements) != 4 || plan.Placements[0].Job != "q/urgent2" {
		t.Fatalf("urgent work is not placed at once: %+v", plan.Placements)
	}
	history.Update(store, view.Predict, 60_000)
	if plan = Schedule(store, view, policy.NewCache()); len(plan.Placements) != 4 {
		t.Errorf("a minute later %d tasks are placed, want 4", len(plan.Placements))
	}
}

// TestHeadroomNeedsPressure: in a pool with much free room nothing is held back, however much
// urgent work there lately was: a job that could run must not wait.
func TestHeadroomNeedsPressure(t *testing.T) {
	store := newQueueStore(t, 5)
	history := NewUsageHistory()
	view := newSoundView()
	view.Usage = history
	submitToQueue(t, store, "urgent", "q0", 10, job.Step{Tasks: 5, Demand: job.Demand{MilliCores: 8000, Mem: 1}})
	scheduleAndPlace(t, store)
	history.Update(store, view.Predict, 1000)
	endLeases(t, store, state.OutcomeSuccess, keepNone)
	history.Update(store, view.Predict, 1001)
	low := job.Step{Tasks: 3, Demand: job.Demand{MilliCores: 8000, Mem: 1}, ExpectedRun: 8000}
	submitToQueue(t, store, "low", "q2", 20, low)
	if plan := Schedule(store, view, policy.NewCache()); len(plan.Placements) != 3 {
		t.Errorf("%d tasks are placed in an empty pool, want 3", len(plan.Placements))
	}
}

// TestHeadroomForShortWorkOnly: nothing is kept free for urgent work that runs about as long,
// and services are not held back for any.
func TestHeadroomForShortWorkOnly(t *testing.T) {
	testNothingHeldBack(t, 5000, job.Step{ExpectedRun: 8000})
	testNothingHeldBack(t, 500, job.Step{ExpectedRun: 8000, Service: true})
}

// testNothingHeldBack has urgent work of the given run end, and wants all room to be given to
// the other step at once.
func testNothingHeldBack(t *testing.T, urgentRun clock.Millis, wide job.Step) {
	t.Helper()
	store := newQueueStore(t, 5)
	view := newSoundView()
	urgent := job.Step{Tasks: 4, Demand: job.Demand{MilliCores: 2000, Mem: 1}, ExpectedRun: urgentRun}
	submitToQueue(t, store, "urgent", "q0", 10, urgent)
	scheduleAndPlace(t, store)
	view.Usage.Update(store, view.Predict, 1000)
	endLeases(t, store, state.OutcomeSuccess, keepNone)
	wide.Tasks = 30
	wide.Demand = urgent.Demand
	submitToQueue(t, store, "wide", "q2", 20, wide)
	view.Usage.Update(store, view.Predict, 1001)
	if plan := Schedule(store, view, policy.NewCache()); len(plan.Placements) != 20 {
		t.Errorf("%d tasks are placed, want all 20 that fit", len(plan.Placements))
	}
}

// TestServiceBesideHeldBackWork: that other work of the same queue and size is held back does
// not hold a service back.
func TestServiceBesideHeldBackWork(t *testing.T) {
	store := newQueueStore(t, 5)
	view := newSoundView()
	demand := job.Demand{MilliCores: 2000, Mem: 1}
	submitToQueue(t, store, "urgent", "q0", 10, job.Step{Tasks: 4, Demand: demand})
	scheduleAndPlace(t, store)
	view.Usage.Update(store, view.Predict, 1000)
	endLeases(t, store, state.OutcomeSuccess, keepNone)
	submitToQueue(t, store, "wide", "q2", 20, job.Step{Tasks: 30, Demand: demand, ExpectedRun: 8000})
	submitToQueue(t, store, "service", "q2", 21, job.Step{Tasks: 1, Demand: demand, ExpectedRun: 8000, Service: true})
	view.Usage.Update(store, view.Predict, 1001)
	for _, placement := range Schedule(store, view, policy.NewCache()).Placements {
		if placement.Job == "q/service" {
			return
		}
	}
	t.Error("the service is not placed, though there is room that is kept from others")
}
