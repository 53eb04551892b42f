package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// TestTimelyJobsFirst checks that with resources for a single job, jobs that can still end on
// time are placed before late ones, whatever their priority; the order among them is by
// priority and then by due time.
func TestTimelyJobsFirst(t *testing.T) {
	store := newQueueStore(t, 1)
	step := job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 8000, Mem: 1}}
	submitToQueue(t, store, "late", "q0", 1000, step)
	submitToQueue(t, store, "second", "q2", 60000, step)
	submitToQueue(t, store, "first", "q1", 60001, step)
	for _, want := range []identifier.JobKey{"q/first", "q/second", "q/late"} {
		plan := scheduleAndPlace(t, store)
		if len(plan.Placements) != 1 || plan.Placements[0].Job != want {
			t.Fatalf("want %s, placed %+v", want, plan.Placements)
		}
		endLeases(t, store, state.OutcomeSuccess, keepNone)
	}
}

// TestRackPreferences checks that a gang that requires one rack is placed in a rack with
// resources for the whole gang, and that tasks are placed in their preferred rack while it
// has resources and elsewhere otherwise.
func TestRackPreferences(t *testing.T) {
	store := newQueueStore(t, 6)
	demand := job.Demand{MilliCores: 4000, Mem: 1}
	submitToQueue(t, store, "g", "q0", 10, job.Step{Tasks: 5, Gang: true, OneRack: true, Demand: demand})
	plan := scheduleAndPlace(t, store)
	racks := map[identifier.Rack]bool{}
	for _, name := range plan.Placements[0].Runners {
		racks[store.Runners[name].Rack] = true
	}
	if len(plan.Placements) != 1 || len(racks) != 1 {
		t.Errorf("the gang is placed in %v", racks)
	}

	store = newQueueStore(t, 6)
	demand = job.Demand{MilliCores: 8000, Mem: 1}
	submitToQueue(t, store, "n", "q0", 10, job.Step{Tasks: 4, PreferredRack: "k1", Demand: demand})
	plan = scheduleAndPlace(t, store)
	preferred := 0
	for _, placement := range plan.Placements {
		if store.Runners[placement.Runners[0]].Rack == "k1" {
			preferred++
		}
	}
	if len(plan.Placements) != 4 || preferred != 3 {
		t.Errorf("%d placed, %d in the preferred rack, want 4 and 3", len(plan.Placements), preferred)
	}
}

// TestSlowRunnerComesLast checks that a slow runner is chosen last, and that a runner that is
// not schedulable is given no tasks.
func TestSlowRunnerComesLast(t *testing.T) {
	store := newQueueStore(t, 3)
	submitToQueue(t, store, "j", "q0", 10, job.Step{Tasks: 3, Demand: job.Demand{MilliCores: 4000, Mem: 1}})
	view := newView(
		func(name identifier.Runner) bool { return name != "r01" },
		func(name identifier.Runner) int64 {
			if name == "r00" {
				return 200
			}
			return prediction.NominalRate
		},
	)
	tasks := map[identifier.Runner]int{}
	for _, placement := range Schedule(store, view, policy.NewCache()).Placements {
		tasks[placement.Runners[0]]++
	}
	if tasks["r00"] != 1 || tasks["r01"] != 0 || tasks["r02"] != 2 {
		t.Errorf("placed on %v", tasks)
	}
}

// random is a linear congruential generator, which makes failing histories reproducible.
type random uint32

// below returns a number from 0 to limit-1.
func (r *random) below(limit uint32) int64 {
	*r = *r*1664525 + 1013904223
	return int64(uint32(*r) >> 8 % limit)
}

// TestQueuePlacementsAreValid checks that the store accepts every placement planned for random
// jobs that use all options of a step.
func TestQueuePlacementsAreValid(t *testing.T) {
	for seed := range 20 {
		store := newQueueStore(t, 7)
		r := random(seed*7919 + 1)
		for i := range 40 {
			queue := fmt.Sprint("q", r.below(3))
			submitToQueue(t, store, fmt.Sprint("j", i), queue, clock.ClusterTime(10+i), randomStep(&r))
			if i%3 != 0 {
				continue
			}
			plan := scheduleOnce(store)
			want := 0
			for _, placement := range plan.Placements {
				want += len(placement.Tasks)
			}
			before := len(store.Leases)
			place(t, store, plan.Placements...)
			if have := len(store.Leases) - before; have != want {
				t.Fatalf("seed %d: %d planned, %d placed", seed, want, have)
			}
			endLeases(t, store, state.OutcomeSuccess, func(*state.Lease) bool { return r.below(2) == 0 })
		}
	}
}

func randomStep(r *random) job.Step {
	return job.Step{
		Tasks:         1 + r.below(9),
		Gang:          r.below(3) == 0,
		OneRack:       r.below(2) == 0,
		MaxPerRunner:  r.below(3),
		PreferredRack: identifier.Rack(fmt.Sprint("k", r.below(4))),
		Demand:        job.Demand{MilliCores: 100 + r.below(4000), Mem: 1 + r.below(3000)},
	}
}
