package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

func newQueueStore(t *testing.T, runners int) *state.Store {
	b := state.New()
	b.Level = state.CatalogLevel
	c := &catalog.Change{Version: 1, Whole: true, Checksum: "x", Pools: []catalog.Pool{{Name: "p"}}}
	for rank := int64(0); rank < 3; rank++ {
		c.Queues = append(c.Queues, catalog.Queue{Name: fmt.Sprint("q", rank), Host: "h", Prefix: fmt.Sprintf("/%d/", rank), Pool: "p", Priority: rank, MaxAttempts: 3, LatencyFactor: 2000, LatencyTarget: 1000, Timeout: 1})
	}
	if r := b.Apply(&state.Command{At: 1, ChangeCatalog: c}); !r.OK() {
		t.Fatal(r)
	}
	for i := 0; i < runners; i++ {
		b.Apply(&state.Command{ReportRunner: &state.ReportRunner{Runner: identifier.Runner(fmt.Sprintf("r%02d", i)), Incarnation: "a", Pool: "p", Capacity: job.Demand{MilliCores: 8000, Mem: 8000},
			Domain: "d", Rack: identifier.Rack(fmt.Sprint("k", i/3))}})
	}
	return b
}

func submitToQueue(t *testing.T, b *state.Store, id, queue string, at clock.ClusterTime, s job.Step) {
	t.Helper()
	s.MaxDefects, s.Name = 1, "s"
	if s.ExpectedRun == 0 {
		s.ExpectedRun = 1000
	}
	if r := b.Apply(&state.Command{At: at, SubmitJob: &state.SubmitJob{Key: identifier.JobKey("q/" + id), Spec: job.Spec{Queue: queue, Steps: []job.Step{s}}}}); !r.OK() {
		t.Fatal(r)
	}
}

// TestTimelyJobsFirst: with room for one, what can still be in time goes before what is
// late, whatever its rank; among equals rank, then the sooner due.
func TestTimelyJobsFirst(t *testing.T) {
	whole := job.Demand{MilliCores: 8000, Mem: 1}
	b := newQueueStore(t, 1)
	submitToQueue(t, b, "late", "q0", 1000, job.Step{Tasks: 1, Demand: whole})
	submitToQueue(t, b, "second", "q2", 60000, job.Step{Tasks: 1, Demand: whole})
	submitToQueue(t, b, "first", "q1", 60001, job.Step{Tasks: 1, Demand: whole})
	for _, want := range []identifier.JobKey{"q/first", "q/second", "q/late"} {
		out := scheduleAndPlace(b)
		if len(out.Placements) != 1 || out.Placements[0].Job != want {
			t.Fatalf("want %s, placed %+v", want, out.Placements)
		}
		endLeases(b, func(*state.Lease) bool { return false })
	}
}

// TestRackPreferences: a gang that wants one rack gets one that has room for all of it; a
// task goes near its data while there is room, and elsewhere when there isn't.
func TestRackPreferences(t *testing.T) {
	b := newQueueStore(t, 6)
	submitToQueue(t, b, "g", "q0", 10, job.Step{Tasks: 5, Gang: true, OneRack: true, Demand: job.Demand{MilliCores: 4000, Mem: 1}})
	out := scheduleAndPlace(b)
	racks := map[identifier.Rack]bool{}
	for _, on := range out.Placements[0].Runners {
		racks[b.Runners[on].Rack] = true
	}
	if len(out.Placements) != 1 || len(racks) != 1 {
		t.Errorf("the gang stands in %v", racks)
	}
	b = newQueueStore(t, 6)
	submitToQueue(t, b, "n", "q0", 10, job.Step{Tasks: 4, PreferredRack: "k1", Demand: job.Demand{MilliCores: 8000, Mem: 1}})
	out = scheduleAndPlace(b)
	near := 0
	for _, p := range out.Placements {
		if b.Runners[p.Runners[0]].Rack == "k1" {
			near++
		}
	}
	if len(out.Placements) != 4 || near != 3 {
		t.Errorf("%d placed, %d near their data, want 4 and 3", len(out.Placements), near)
	}
}

// TestSlowRunnerComesLast: a runner on which work goes slowly comes last, and one that may not
// be given work gets none.
func TestSlowRunnerComesLast(t *testing.T) {
	b := newQueueStore(t, 3)
	submitToQueue(t, b, "j", "q0", 10, job.Step{Tasks: 3, Demand: job.Demand{MilliCores: 4000, Mem: 1}})
	out := Schedule(b, RunnerView{Fresh: func(n identifier.Runner) bool { return n != "r01" }, Pace: func(n identifier.Runner) int64 {
		if n == "r00" {
			return 200
		}
		return 1000
	}}, policy.NewCache())
	on := map[identifier.Runner]int{}
	for _, p := range out.Placements {
		on[p.Runners[0]]++
	}
	if on["r00"] != 1 || on["r01"] != 0 || on["r02"] != 2 {
		t.Errorf("placed on %v", on)
	}
}

// TestQueuePlacementsAreValid: random work with every wish a step can have; whatever
// a round proposes, the book takes it all.
func TestQueuePlacementsAreValid(t *testing.T) {
	for seed := 0; seed < 20; seed++ {
		b := newQueueStore(t, 7)
		n := uint32(seed*7919 + 1)
		rnd := func(k uint32) int64 { n = n*1664525 + 1013904223; return int64(n >> 8 % k) }
		for i := 0; i < 40; i++ {
			submitToQueue(t, b, fmt.Sprint("j", i), fmt.Sprint("q", rnd(3)), clock.ClusterTime(10+i), job.Step{Tasks: 1 + rnd(9), Gang: rnd(3) == 0, OneRack: rnd(2) == 0,
				MaxPerRunner: rnd(3), PreferredRack: identifier.Rack(fmt.Sprint("k", rnd(4))), Demand: job.Demand{MilliCores: 100 + rnd(4000), Mem: 1 + rnd(3000)}})
			if i%3 != 0 {
				continue
			}
			out := scheduleOnce(b)
			want := 0
			for _, p := range out.Placements {
				want += len(p.Tasks)
			}
			was := len(b.Leases)
			b.Apply(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: out.Placements}})
			if have := len(b.Leases) - was; have != want {
				t.Fatalf("seed %d: %d proposed, %d taken", seed, want, have)
			}
			endLeases(b, func(_ *state.Lease) bool { return rnd(2) == 0 })
		}
	}
}
