package scheduler

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// TestHeadroomForUrgentWork checks that in a mostly used pool, low-priority work leaves free
// what urgent work has recently used, until that peak has decayed, and that urgent work may
// use the headroom.
func TestHeadroomForUrgentWork(t *testing.T) {
	store := newQueueStore(t, 5)
	history := NewUsageHistory()
	view := newHealthyView()
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
		t.Fatalf("urgent work is not placed immediately: %+v", plan.Placements)
	}
	history.Update(store, view.Predict, 60_000)
	if plan = Schedule(store, view, policy.NewCache()); len(plan.Placements) != 4 {
		t.Errorf("a minute later %d tasks are placed, want 4", len(plan.Placements))
	}
}

// TestHeadroomNeedsPressure checks that in a mostly free pool nothing is held back, however
// much urgent work has run recently: a job that fits must not wait.
func TestHeadroomNeedsPressure(t *testing.T) {
	store := newQueueStore(t, 5)
	history := NewUsageHistory()
	view := newHealthyView()
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

// TestHeadroomForShortWorkOnly checks that no headroom is kept for urgent work that runs about
// as long as the low-priority work, and that services are never held back.
func TestHeadroomForShortWorkOnly(t *testing.T) {
	testNothingHeldBack(t, 5000, job.Step{ExpectedRun: 8000})
	testNothingHeldBack(t, 500, job.Step{ExpectedRun: 8000, Service: true})
}

// testNothingHeldBack runs urgent work of the given run time to its end, and then checks that
// tasks of the wide step are placed on all resources immediately.
func testNothingHeldBack(t *testing.T, urgentRun clock.Millis, wide job.Step) {
	t.Helper()
	store := newQueueStore(t, 5)
	view := newHealthyView()
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

// TestServiceBesideHeldBackWork checks that a service is placed although other work of the
// same queue and size is held back.
func TestServiceBesideHeldBackWork(t *testing.T) {
	store := newQueueStore(t, 5)
	view := newHealthyView()
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
	t.Error("the service is not placed, although it may use the headroom")
}
