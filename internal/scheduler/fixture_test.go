package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// newRowStore returns a store with runners r01, r02 and so on, with 8 cores each: those with
// even numbers are in domain north, the others in domain east. The limits table has the
// given cells.
func newRowStore(t testing.TB, runners int, cells string) *state.Store {
	t.Helper()
	store := state.New()
	var faults jsondoc.FieldErrors
	change := limits.ReadPatch([]byte(`{"base":1,"cells":`+cells+`}`), &faults)
	if faults.Any() {
		t.Fatal(faults.List)
	}
	apply(t, store, &state.Command{At: 1, ChangeLimits: change})
	domains := []identifier.Domain{"north", "east"}
	for i := 1; i <= runners; i++ {
		apply(t, store, &state.Command{ReportRunner: &state.ReportRunner{
			Runner:      identifier.Runner(fmt.Sprintf("r%02d", i)),
			Incarnation: "a",
			Capacity:    job.Demand{Cores: 8, Mem: 8000},
			Labels:      []identifier.Label{"std"},
			Domain:      domains[i%2],
			Rack:        identifier.Rack(fmt.Sprint(i / 3)),
		}})
	}
	return store
}

// newQueueStore returns a store with the queues q0, q1 and q2, in descending order of
// priority. They share one pool with runners r00, r01 and so on, with 8 cores each, three
// per rack.
func newQueueStore(t testing.TB, runners int) *state.Store {
	t.Helper()
	store := state.New()
	store.Level = state.CatalogLevel
	change := &catalog.Change{Version: 1, Whole: true, Checksum: "x", Pools: []catalog.Pool{{Name: "p"}}}
	for priority := range int64(3) {
		change.Queues = append(change.Queues, catalog.Queue{
			Name:          fmt.Sprint("q", priority),
			Host:          "h",
			Prefix:        fmt.Sprintf("/%d/", priority),
			Pool:          "p",
			Priority:      priority,
			MaxAttempts:   3,
			LatencyFactor: 2000,
			LatencyTarget: 1000,
			Timeout:       1,
		})
	}
	apply(t, store, &state.Command{At: 1, ChangeCatalog: change})
	for i := range runners {
		apply(t, store, &state.Command{ReportRunner: &state.ReportRunner{
			Runner:      identifier.Runner(fmt.Sprintf("r%02d", i)),
			Incarnation: "a",
			Pool:        "p",
			Capacity:    job.Demand{MilliCores: 8000, Mem: 8000},
			Domain:      "d",
			Rack:        identifier.Rack(fmt.Sprint("k", i/3)),
		}})
	}
	return store
}

// apply applies a command and fails the test if it is rejected.
func apply(t testing.TB, store *state.Store, command *state.Command) {
	t.Helper()
	if result := store.Apply(command); !result.OK() {
		t.Fatal(result)
	}
}

// submitToRow submits a single-step job to a row.
func submitToRow(t testing.TB, store *state.Store, key identifier.JobKey, row identifier.Row, urgency int64, step job.Step) {
	t.Helper()
	step.Name = "s"
	step.MaxDefects = 1
	step.ExpectedRun = 1
	step.Demand.Mem = 1
	spec := job.Spec{Row: row, Urgency: urgency, Steps: []job.Step{step}}
	apply(t, store, &state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: spec}})
}

// submitToQueue submits a single-step job to a queue at the given time.
func submitToQueue(t testing.TB, store *state.Store, id, queue string, at clock.ClusterTime, step job.Step) {
	t.Helper()
	step.Name = "s"
	step.MaxDefects = 1
	if step.ExpectedRun == 0 {
		step.ExpectedRun = 1000
	}
	spec := job.Spec{Queue: queue, Steps: []job.Step{step}}
	key := identifier.JobKey("q/" + id)
	apply(t, store, &state.Command{At: at, SubmitJob: &state.SubmitJob{Key: key, Spec: spec}})
}

func cores(count int64) job.Demand { return job.Demand{Cores: count} }

// scheduleOnce runs a cycle in which every runner is schedulable.
func scheduleOnce(store *state.Store) Plan {
	return Schedule(store, newHealthyView(), policy.NewCache())
}

// scheduleOn runs a cycle in which the runners work at the nominal rate and schedulable
// selects those that may be given tasks.
func scheduleOn(store *state.Store, schedulable func(r identifier.Runner) bool) Plan {
	return Schedule(store, newView(schedulable, nominalRate), policy.NewCache())
}

func nominalRate(identifier.Runner) int64 { return prediction.NominalRate }

// newHealthyView returns a view in which every runner is schedulable and works at the nominal
// rate.
func newHealthyView() RunnerView {
	return newView(func(identifier.Runner) bool { return true }, nominalRate)
}

// newView returns a view in which the remaining times of runs are unknown.
func newView(schedulable func(r identifier.Runner) bool, workRate func(r identifier.Runner) int64) RunnerView {
	return RunnerView{
		Schedulable:   schedulable,
		WorkRate:      workRate,
		SuccessStreak: func(identifier.Runner) int { return 0 },
		DistantFactor: 2000,
		Predict:       func(_ string, estimate clock.Millis) PredictedRun { return PredictedRun{Run: estimate} },
		Remaining:     func(*state.Lease) (clock.Millis, bool) { return 0, false },
		DeferredFor:   func(identifier.TaskRef) clock.Millis { return 0 },
		Usage:         NewUsageHistory(),
	}
}

// scheduleAndPlace runs a cycle and applies its placements.
func scheduleAndPlace(t testing.TB, store *state.Store) Plan {
	t.Helper()
	plan := scheduleOnce(store)
	place(t, store, plan.Placements...)
	return plan
}

func place(t testing.TB, store *state.Store, placements ...state.Placement) {
	t.Helper()
	apply(t, store, &state.Command{PlaceTasks: &state.PlaceTasks{Placements: placements}})
}

// endLeases reports the end of every open lease for which keep returns false, the oldest
// first.
func endLeases(t testing.TB, store *state.Store, outcome state.Outcome, keep func(lease *state.Lease) bool) {
	t.Helper()
	for id := identifier.LeaseID(1); id < store.NextLease; id++ {
		lease := store.Leases[id]
		if lease == nil || keep(lease) {
			continue
		}
		end := state.End{Lease: id, Task: lease.Task, Outcome: outcome}
		apply(t, store, &state.Command{ReportEnds: &state.ReportEnds{
			Runner:      lease.Runner,
			Incarnation: lease.Incarnation,
			Ends:        []state.End{end},
		}})
	}
}

func keepNone(*state.Lease) bool { return false }

// confirmStops reports the end of every revoked lease.
func confirmStops(t testing.TB, store *state.Store) {
	t.Helper()
	endLeases(t, store, state.OutcomeStopped, func(lease *state.Lease) bool { return lease.RevokeReason == "" })
}
