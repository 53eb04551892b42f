package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// drainNorth drains domain north past its cordon stage and confirms the stops.
func drainNorth(t *testing.T, store *state.Store) *state.Drain {
	t.Helper()
	apply(t, store, &state.Command{StartDrain: &state.StartDrain{Domain: "north", ID: "m"}})
	for _, stage := range []state.Stage{state.Preflight, state.Predrain, state.Cordon} {
		apply(t, store, &state.Command{AdvanceDrain: &state.AdvanceDrain{ID: "m", From: stage}})
	}
	confirmStops(t, store)
	return store.Drains["m"]
}

// TestPreemption checks that if the preflight check of a drain finds too few resources,
// displaced work preempts as much strictly cheaper work as it needs, provided that its row is
// configured to preempt.
func TestPreemption(t *testing.T) {
	for _, c := range []struct {
		name         string
		onOutage     string
		gang         bool
		cores        int64
		weight       int64
		othersWeight int64
		preempted    int
	}{
		{"single, cheaper work there", "push", false, 4, 5, 1, 2},
		{"gang, cheaper work there", "push", true, 4, 5, 1, 4},
		{"as dear", "push", false, 4, 5, 5, 0},
		{"dearer", "push", false, 4, 1, 5, 0},
		{"class waits", "wait", false, 4, 5, 1, 0},
		{"gang still would not fit", "push", true, 8, 5, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cells := fmt.Sprintf(`{"mine.weight":%d,"others.weight":%d,"mine.onOutage":%q}`, c.weight, c.othersWeight, c.onOutage)
			store := newRowStore(t, 2, cells)
			submitToRow(t, store, "x/mine", "mine", 0, job.Step{Tasks: 2, Gang: c.gang, Demand: cores(c.cores)})
			if c.cores == 8 {
				place(t, store, state.Placement{Job: "x/mine", Tasks: []int{0, 1}, Runners: []identifier.Runner{"r02", "r01"}})
			} else {
				place(t, store, state.Placement{Job: "x/mine", Tasks: []int{0, 1}, Runners: []identifier.Runner{"r02", "r02"}})
				submitToRow(t, store, "x/others", "others", 0, job.Step{Tasks: 4, Demand: cores(2)})
				place(t, store, state.Placement{Job: "x/others", Tasks: []int{0, 1, 2, 3}, Runners: []identifier.Runner{"r01", "r01", "r01", "r01"}})
			}
			if drain := drainNorth(t, store); drain.Fits {
				t.Fatalf("preflight reports that everything fits: %+v", drain)
			}
			plan := scheduleOnce(store)
			if len(plan.Preemptions) != c.preempted {
				t.Fatalf("preempts %v, want %d", plan.Preemptions, c.preempted)
			}
			if c.preempted == 0 {
				return
			}
			apply(t, store, &state.Command{RevokeLeases: &state.RevokeLeases{Leases: plan.Preemptions, Reason: state.RevokePreempted}})
			if again := scheduleOnce(store); len(again.Preemptions) != 0 {
				t.Fatalf("preempts %v more before the stops are confirmed", again.Preemptions)
			}
			confirmStops(t, store)
			scheduleAndPlace(t, store)
			if have := store.Jobs["x/mine"].State(); have != "running" {
				t.Fatalf("the job that preempted is %s", have)
			}
		})
	}
}
