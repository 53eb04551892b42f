package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

func newRowStore(t testing.TB, runners int, cells string) *state.Store {
	t.Helper()
	b := state.New()
	var f jsondoc.FieldErrors
	c := limits.ReadPatch([]byte(`{"base":1,"cells":`+cells+`}`), &f)
	if f.Any() {
		t.Fatal(f.List)
	}
	b.Apply(&state.Command{At: 1, ChangeLimits: c})
	for i := 1; i <= runners; i++ {
		b.Apply(&state.Command{ReportRunner: &state.ReportRunner{Runner: identifier.Runner(fmt.Sprintf("r%02d", i)), Incarnation: "a", Capacity: job.Demand{Cores: 8, Mem: 8000}, Labels: []identifier.Label{"std"},
			Domain: identifier.Domain([]string{"north", "east"}[i%2]), Rack: identifier.Rack(fmt.Sprint(i / 3))}})
	}
	return b
}

func submitToRow(t testing.TB, b *state.Store, key identifier.JobKey, row identifier.Row, urgency int64, s job.Step) {
	t.Helper()
	s.MaxDefects, s.ExpectedRun, s.Demand.Mem = 1, 1, 1
	if r := b.Apply(&state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: job.Spec{Row: row, Urgency: urgency, Steps: []job.Step{s}}}}); !r.OK() {
		t.Fatal(r)
	}
}

func scheduleOnce(b *state.Store) Plan {
	return scheduleOn(b, func(identifier.Runner) bool { return true })
}

// scheduleOn runs a cycle in which all runners work at the normal pace.
func scheduleOn(b *state.Store, fresh func(r identifier.Runner) bool) Plan {
	pace := func(identifier.Runner) int64 { return normalPace }
	return Schedule(b, RunnerView{Fresh: fresh, Pace: pace}, policy.NewCache())
}

func scheduleAndPlace(b *state.Store) Plan {
	out := scheduleOnce(b)
	b.Apply(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: out.Placements}})
	return out
}

func endLeases(b *state.Store, keep func(g *state.Lease) bool) {
	for id := identifier.LeaseID(1); id < b.NextLease; id++ {
		if g := b.Leases[id]; g != nil && !keep(g) {
			b.Apply(&state.Command{ReportEnds: &state.ReportEnds{Runner: g.Runner, Incarnation: g.Incarnation, Ends: []state.End{{Lease: id, Task: g.Task, Outcome: state.OutcomeSuccess}}}})
		}
	}
}

// TestSharesFollowWeights: rows that all want more get room by their weights, and even the
// lightest is not starved.
func TestSharesFollowWeights(t *testing.T) {
	b := newRowStore(t, 10, `{"a.weight":1,"b.weight":2,"c.weight":5}`)
	for i := 0; i < 200; i++ {
		for _, row := range []identifier.Row{"a", "b", "c"} {
			submitToRow(t, b, identifier.JobKey(fmt.Sprintf("x/%s%d", row, i)), row, 0, job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1}})
		}
	}
	scheduleAndPlace(b)
	scheduleAndPlace(b)
	for row, want := range map[identifier.Row]int64{"a": 10, "b": 20, "c": 50} {
		if have := b.InUse(row).Cores; have < want-1 || have > want+1 {
			t.Errorf("row %s has %d cores in use, want %d", row, have, want)
		}
	}
}

// TestGangIsNotStarved: small work that keeps coming must not keep a gang
// out for ever, and meanwhile goes on where the gang won't be.
func TestGangIsNotStarved(t *testing.T) {
	b := newRowStore(t, 4, `{"big.weight":1,"small.weight":1}`)
	n := 0
	more := func() {
		for i := 0; i < 40; i++ {
			n++
			submitToRow(t, b, identifier.JobKey(fmt.Sprintf("x/s%d", n)), "small", 0, job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1}})
		}
	}
	more()
	scheduleAndPlace(b)
	submitToRow(t, b, "x/big", "big", 0, job.Step{Name: "g", Tasks: 3, Gang: true, Demand: job.Demand{Cores: 8}})
	for turn := 0; turn < 12; turn++ {
		more()
		scheduleAndPlace(b)
		if b.Jobs["x/big"].State() == "running" {
			if b.InUse("small").Cores == 0 {
				t.Error("small work stood still though a runner was free for it")
			}
			return
		}
		// Half of what runs ends at each turn, as small work comes and goes.
		endLeases(b, func(g *state.Lease) bool { return (int(g.ID)+turn)%2 == 0 })
	}
	t.Errorf("the gang still waits: %v", scheduleOnce(b).Reasons["x/big"])
}

// TestImpossibleWorkBlocksNobody: work no runner could hold waits with its reason.
func TestImpossibleWorkBlocksNobody(t *testing.T) {
	b := newRowStore(t, 2, `{"x.weight":1}`)
	submitToRow(t, b, "x/huge", "default", 9, job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 99}})
	submitToRow(t, b, "x/gpu", "default", 9, job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1}, Labels: []identifier.Label{"gpu"}})
	submitToRow(t, b, "x/ok", "default", 0, job.Step{Name: "s", Tasks: 16, Demand: job.Demand{Cores: 1}})
	out := scheduleAndPlace(b)
	if b.InUse("default").Cores != 16 || out.Reasons["x/huge"][0] == "" || out.Reasons["x/gpu"][0] == "" {
		t.Errorf("in use %v, reasons %v", b.InUse("default"), out.Reasons)
	}
}

// TestOldWorkIsNotStarved: in one row, old work gets its turn in a stream of
// urgent work.
func TestOldWorkIsNotStarved(t *testing.T) {
	b := newRowStore(t, 1, `{"x.weight":1}`)
	submitToRow(t, b, "x/old", "default", 0, job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1}})
	for i := 0; i < 50; i++ {
		submitToRow(t, b, identifier.JobKey(fmt.Sprintf("x/u%d", i)), "default", 9, job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1}})
	}
	scheduleAndPlace(b)
	if b.Jobs["x/old"].State() != "running" || b.Jobs["x/u0"].State() != "running" {
		t.Errorf("old is %s, urgent is %s", b.Jobs["x/old"].State(), b.Jobs["x/u0"].State())
	}
}

// TestDefectiveRunnerIsOnTrial: a runner that fails its work while calling itself healthy
// gets at most a trial task, and a retry goes elsewhere.
func TestDefectiveRunnerIsOnTrial(t *testing.T) {
	b := newRowStore(t, 4, `{"x.weight":1}`)
	b.Runners["r01"].Successes, b.Runners["r01"].Defects = 1, 9
	for _, n := range []identifier.Runner{"r02", "r03", "r04"} {
		b.Runners[n].Successes = 30
	}
	submitToRow(t, b, "x/a", "default", 0, job.Step{Name: "s", Tasks: 24, Demand: job.Demand{Cores: 1}})
	scheduleAndPlace(b)
	if n := b.Runners["r01"].OpenLeases(); n != 0 {
		t.Errorf("the failing runner got %d of 24 tasks that fit elsewhere", n)
	}
	submitToRow(t, b, "x/b", "default", 0, job.Step{Name: "s", Tasks: 8, Demand: job.Demand{Cores: 1}})
	scheduleAndPlace(b)
	if n := b.Runners["r01"].OpenLeases(); n != 1 {
		t.Errorf("the failing runner got %d tasks, want one on trial", n)
	}
}

// drainNorth brings a closing of the north past its cordon and confirms the stops.
func drainNorth(t *testing.T, b *state.Store) *state.Drain {
	t.Helper()
	b.Apply(&state.Command{StartDrain: &state.StartDrain{Domain: "north", ID: "m"}})
	for _, s := range []state.Stage{state.Preflight, state.Predrain, state.Cordon} {
		b.Apply(&state.Command{AdvanceDrain: &state.AdvanceDrain{ID: "m", From: s}})
	}
	confirmStops(b)
	return b.Drains["m"]
}

func confirmStops(b *state.Store) {
	for id := identifier.LeaseID(1); id < b.NextLease; id++ {
		if g := b.Leases[id]; g != nil && g.RevokeReason != "" {
			b.Apply(&state.Command{ReportEnds: &state.ReportEnds{Runner: g.Runner, Incarnation: g.Incarnation, Ends: []state.End{{Lease: id, Task: g.Task, Outcome: state.OutcomeStopped}}}})
		}
	}
}

// TestPreemption plays preflight false out for each class and shape of work.
func TestPreemption(t *testing.T) {
	for _, c := range []struct {
		name         string
		class        string
		gang         bool
		cores        int64
		mine, theirs int64
		push         int
	}{
		{"single, cheaper work there", "push", false, 4, 5, 1, 2},
		{"gang, cheaper work there", "push", true, 4, 5, 1, 4},
		{"as dear", "push", false, 4, 5, 5, 0},
		{"dearer", "push", false, 4, 1, 5, 0},
		{"class waits", "wait", false, 4, 5, 1, 0},
		{"gang still would not fit", "push", true, 8, 5, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRowStore(t, 2, fmt.Sprintf(`{"mine.weight":%d,"theirs.weight":%d,"mine.onOutage":%q}`, c.mine, c.theirs, c.class))
			submitToRow(t, b, "x/mine", "mine", 0, job.Step{Name: "s", Tasks: 2, Gang: c.gang, Demand: job.Demand{Cores: c.cores}})
			b.Apply(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: []state.Placement{{Job: "x/mine", Tasks: []int{0, 1}, Runners: []identifier.Runner{"r02", "r02"}}}}})
			if c.cores == 8 {
				b.Apply(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: []state.Placement{{Job: "x/mine", Tasks: []int{0, 1}, Runners: []identifier.Runner{"r02", "r01"}}}}})
			} else {
				submitToRow(t, b, "x/theirs", "theirs", 0, job.Step{Name: "s", Tasks: 4, Demand: job.Demand{Cores: 2}})
				b.Apply(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: []state.Placement{{Job: "x/theirs", Tasks: []int{0, 1, 2, 3}, Runners: []identifier.Runner{"r01", "r01", "r01", "r01"}}}}})
			}
			if cl := drainNorth(t, b); cl.Fits {
				t.Fatalf("preflight says yes: %+v", cl)
			}
			out := scheduleOnce(b)
			if len(out.Preemptions) != c.push {
				t.Fatalf("pushes %v out, want %d", out.Preemptions, c.push)
			}
			if c.push == 0 {
				return
			}
			b.Apply(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: out.Preemptions, Reason: state.RevokePreempted}})
			if again := scheduleOnce(b); len(again.Preemptions) != 0 {
				t.Fatalf("pushes %v more while stops are under way", again.Preemptions)
			}
			confirmStops(b)
			scheduleAndPlace(b)
			if s := b.Jobs["x/mine"].State(); s != "running" {
				t.Fatalf("the work that pushed is %s", s)
			}
		})
	}
}

// BenchmarkSchedule measures placement against fleet and backlog.
func BenchmarkSchedule(bench *testing.B) {
	for _, size := range []struct{ runners, backlog int }{{11, 100}, {11, 10000}, {100, 1000}, {100, 10000}, {500, 10000}} {
		bench.Run(fmt.Sprintf("runners=%d/backlog=%d", size.runners, size.backlog), func(bench *testing.B) {
			b := newRowStore(bench, size.runners, `{"a.weight":1,"b.weight":2,"c.weight":5}`)
			for i := 0; i < size.backlog; i++ {
				submitToRow(bench, b, identifier.JobKey(fmt.Sprintf("x/%d", i)), identifier.Row([]string{"a", "b", "c"}[i%3]), int64(i%4), job.Step{Name: "s", Tasks: 1 + int64(i%3), Demand: job.Demand{Cores: 1 + int64(i%5)}})
			}
			bench.ReportAllocs()
			for bench.Loop() {
				scheduleOnce(b)
			}
		})
	}
}

// TestNothingPending: a round looks at the runners exactly as long as something
// could be placed, were there room, and its outcome is whole without.
func TestNothingPending(t *testing.T) {
	b := newRowStore(t, 4, `{"a.weight":1}`)
	asked := 0
	round := func() Plan {
		asked = 0
		return scheduleOn(b, func(identifier.Runner) bool { asked++; return true })
	}
	if out := round(); asked > 0 || out.Reasons == nil || out.Policies == nil || len(out.Placements)+len(out.Preemptions)+len(out.Reasons)+len(out.Policies) > 0 {
		t.Errorf("with no job at all: %d asked, %+v", asked, out)
	}
	submitToRow(t, b, "x/1", "a", 0, job.Step{Name: "s", Tasks: 40, Demand: job.Demand{Cores: 1}})
	if out := round(); asked != 4 || len(out.Placements) != 32 {
		t.Errorf("40 wait: %d asked, %d placed", asked, len(out.Placements))
	}
	scheduleAndPlace(b)
	if out := round(); asked != 4 || out.Reasons["x/1"][0] == "" {
		t.Errorf("8 wait for room: %d asked, %+v", asked, out)
	}
	endLeases(b, func(g *state.Lease) bool { return g.ID > 8 })
	scheduleAndPlace(b)
	if out := round(); asked > 0 || len(out.Reasons) > 0 {
		t.Errorf("all placed: %d asked, %+v", asked, out)
	}
	endLeases(b, func(*state.Lease) bool { return false })
	if out := round(); asked > 0 || len(out.Reasons) > 0 {
		t.Errorf("all ended: %d asked, %+v", asked, out)
	}
	for _, j := range b.Jobs {
		if j.EndState != state.Succeeded {
			t.Errorf("%s is %s", j.Key, j.State())
		}
	}
}
