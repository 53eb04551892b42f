package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// TestSharesFollowWeights checks that rows with excess demand share resources in proportion
// to their weights, and that the row with the lowest weight is not starved.
func TestSharesFollowWeights(t *testing.T) {
	store := newRowStore(t, 10, `{"a.weight":1,"b.weight":2,"c.weight":5}`)
	for i := range 200 {
		for _, row := range []identifier.Row{"a", "b", "c"} {
			key := identifier.JobKey(fmt.Sprintf("x/%s%d", row, i))
			submitToRow(t, store, key, row, 0, job.Step{Tasks: 1, Demand: cores(1)})
		}
	}
	scheduleAndPlace(t, store)
	scheduleAndPlace(t, store)
	for row, want := range map[identifier.Row]int64{"a": 10, "b": 20, "c": 50} {
		if have := store.InUse(row).Cores; have < want-1 || have > want+1 {
			t.Errorf("row %s has %d cores in use, want %d", row, have, want)
		}
	}
}

// TestGangIsNotStarved checks that a stream of small tasks does not delay a gang forever, and
// that meanwhile the small tasks continue to run on runners that the gang does not need.
func TestGangIsNotStarved(t *testing.T) {
	store := newRowStore(t, 4, `{"big.weight":1,"small.weight":1}`)
	submitted := 0
	submitSmall := func() {
		for range 40 {
			submitted++
			key := identifier.JobKey(fmt.Sprintf("x/s%d", submitted))
			submitToRow(t, store, key, "small", 0, job.Step{Tasks: 1, Demand: cores(1)})
		}
	}
	submitSmall()
	scheduleAndPlace(t, store)
	submitToRow(t, store, "x/big", "big", 0, job.Step{Tasks: 3, Gang: true, Demand: cores(8)})
	for turn := range 12 {
		submitSmall()
		scheduleAndPlace(t, store)
		if store.Jobs["x/big"].State() == "running" {
			if store.InUse("small").Cores == 0 {
				t.Error("no small task is running although a runner is free")
			}
			return
		}
		// In each turn half of the running tasks end.
		endLeases(t, store, state.OutcomeSuccess, func(lease *state.Lease) bool { return (int(lease.ID)+turn)%2 == 0 })
	}
	t.Errorf("the gang is still pending: %v", scheduleOnce(store).Reasons["x/big"])
}

// TestUnplaceableWorkDoesNotBlockOthers checks that tasks that fit on no runner stay pending
// with a reason, while other work of the same row is placed.
func TestUnplaceableWorkDoesNotBlockOthers(t *testing.T) {
	store := newRowStore(t, 2, `{"x.weight":1}`)
	submitToRow(t, store, "x/huge", "default", 9, job.Step{Tasks: 1, Demand: cores(99)})
	submitToRow(t, store, "x/gpu", "default", 9, job.Step{Tasks: 1, Demand: cores(1), Labels: []identifier.Label{"gpu"}})
	submitToRow(t, store, "x/ok", "default", 0, job.Step{Tasks: 16, Demand: cores(1)})
	plan := scheduleAndPlace(t, store)
	if store.InUse("default").Cores != 16 || plan.Reasons["x/huge"][0] == "" || plan.Reasons["x/gpu"][0] == "" {
		t.Errorf("in use %v, reasons %v", store.InUse("default"), plan.Reasons)
	}
}

// TestOldWorkIsNotStarved checks that old work of a row is placed despite a backlog of more
// urgent work in the same row.
func TestOldWorkIsNotStarved(t *testing.T) {
	store := newRowStore(t, 1, `{"x.weight":1}`)
	submitToRow(t, store, "x/old", "default", 0, job.Step{Tasks: 1, Demand: cores(1)})
	for i := range 50 {
		key := identifier.JobKey(fmt.Sprintf("x/u%d", i))
		submitToRow(t, store, key, "default", 9, job.Step{Tasks: 1, Demand: cores(1)})
	}
	scheduleAndPlace(t, store)
	old, urgent := store.Jobs["x/old"].State(), store.Jobs["x/u0"].State()
	if old != "running" || urgent != "running" {
		t.Errorf("old is %s, urgent is %s", old, urgent)
	}
}

// TestDefectiveRunnerIsOnTrial checks that a runner that fails its tasks while it reports
// itself healthy is given no task that fits elsewhere, and at most one task on trial.
func TestDefectiveRunnerIsOnTrial(t *testing.T) {
	store := newRowStore(t, 4, `{"x.weight":1}`)
	store.Runners["r01"].Successes = 1
	store.Runners["r01"].Defects = 9
	for _, name := range []identifier.Runner{"r02", "r03", "r04"} {
		store.Runners[name].Successes = 30
	}
	submitToRow(t, store, "x/a", "default", 0, job.Step{Tasks: 24, Demand: cores(1)})
	scheduleAndPlace(t, store)
	if n := store.Runners["r01"].OpenLeases(); n != 0 {
		t.Errorf("the failing runner got %d of 24 tasks that fit elsewhere", n)
	}
	submitToRow(t, store, "x/b", "default", 0, job.Step{Tasks: 8, Demand: cores(1)})
	scheduleAndPlace(t, store)
	if n := store.Runners["r01"].OpenLeases(); n != 1 {
		t.Errorf("the failing runner got %d tasks, want one on trial", n)
	}
}

// TestNothingPending checks that a cycle examines the runners only if some task is ready to be
// placed, and that it returns a complete plan otherwise.
func TestNothingPending(t *testing.T) {
	store := newRowStore(t, 4, `{"a.weight":1}`)
	checked := 0
	cycle := func() Plan {
		checked = 0
		return scheduleOn(store, func(identifier.Runner) bool {
			checked++
			return true
		})
	}
	plan := cycle()
	if checked > 0 || plan.Reasons == nil || plan.Policies == nil {
		t.Errorf("without jobs: %d runners checked, %+v", checked, plan)
	}
	if len(plan.Placements)+len(plan.Preemptions)+len(plan.Reasons)+len(plan.Policies) > 0 {
		t.Errorf("without jobs: %+v", plan)
	}
	submitToRow(t, store, "x/1", "a", 0, job.Step{Tasks: 40, Demand: cores(1)})
	if plan := cycle(); checked != 4 || len(plan.Placements) != 32 {
		t.Errorf("40 pending: %d runners checked, %d placed", checked, len(plan.Placements))
	}
	scheduleAndPlace(t, store)
	if plan := cycle(); checked != 4 || plan.Reasons["x/1"][0] == "" {
		t.Errorf("8 pending for lack of resources: %d runners checked, %+v", checked, plan)
	}
	endLeases(t, store, state.OutcomeSuccess, func(lease *state.Lease) bool { return lease.ID > 8 })
	scheduleAndPlace(t, store)
	if plan := cycle(); checked > 0 || len(plan.Reasons) > 0 {
		t.Errorf("all placed: %d runners checked, %+v", checked, plan)
	}
	endLeases(t, store, state.OutcomeSuccess, keepNone)
	if plan := cycle(); checked > 0 || len(plan.Reasons) > 0 {
		t.Errorf("all ended: %d runners checked, %+v", checked, plan)
	}
	for _, j := range store.Jobs {
		if j.EndState != state.Succeeded {
			t.Errorf("%s is %s", j.Key, j.State())
		}
	}
}

// BenchmarkSchedule measures a cycle for various numbers of runners and pending jobs.
func BenchmarkSchedule(bench *testing.B) {
	rows := []identifier.Row{"a", "b", "c"}
	for _, size := range []struct{ runners, backlog int }{{11, 100}, {11, 10000}, {100, 1000}, {100, 10000}, {500, 10000}} {
		bench.Run(fmt.Sprintf("runners=%d/backlog=%d", size.runners, size.backlog), func(bench *testing.B) {
			store := newRowStore(bench, size.runners, `{"a.weight":1,"b.weight":2,"c.weight":5}`)
			for i := range size.backlog {
				key := identifier.JobKey(fmt.Sprintf("x/%d", i))
				step := job.Step{Tasks: 1 + int64(i%3), Demand: cores(1 + int64(i%5))}
				submitToRow(bench, store, key, rows[i%3], int64(i%4), step)
			}
			bench.ReportAllocs()
			for bench.Loop() {
				scheduleOnce(store)
			}
		})
	}
}
