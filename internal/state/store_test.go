package state

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// fixture drives a book by hand.
type fixture struct {
	*testing.T
	store *Store
}

func newFixture(t *testing.T, cells string) *fixture {
	f := &fixture{t, New()}
	f.apply(200, &Command{At: 1000, ChangeLimits: f.limitsPatch(1, cells)})
	for i := 1; i <= 4; i++ {
		f.apply(200, &Command{ReportRunner: f.runnerReport(i, "a", false, 0)})
	}
	return f
}

func (f *fixture) limitsPatch(base int, cells string) *limits.Change {
	var c *limits.Change
	f.Helper()
	var faults jsondoc.FieldErrors
	if c = limits.ReadPatch([]byte(fmt.Sprintf(`{"base":%d,"cells":%s}`, base, cells)), &faults); faults.Any() {
		f.Fatal(faults.List)
	}
	return c
}

func (f *fixture) runnerReport(i int, incarnation identifier.Incarnation, drain bool, depart clock.ClusterTime) *ReportRunner {
	return &ReportRunner{Runner: identifier.Runner(fmt.Sprintf("r%d", i)), Incarnation: incarnation, Capacity: job.Demand{Cores: 8, Mem: 8000}, Labels: []identifier.Label{"std"},
		Domain: identifier.Domain([]string{"north", "east"}[i%2]), Rack: identifier.Rack([]string{"k0", "k1"}[i%2]), Draining: drain, DepartsAt: depart}
}

func (f *fixture) apply(status int, c *Command) {
	f.Helper()
	if r := f.store.Apply(c); r.Status != status {
		f.Fatalf("want %d, have %+v", status, r)
	}
}

func (f *fixture) submit(key identifier.JobKey, row identifier.Row, steps ...job.Step) {
	f.Helper()
	for i := range steps {
		if steps[i].MaxDefects == 0 {
			steps[i].MaxDefects = 1
		}
	}
	f.apply(201, &Command{SubmitJob: &SubmitJob{Key: key, Spec: job.Spec{Row: row, Steps: steps}}})
}

func (f *fixture) place(key identifier.JobKey, step int, nums []int, runner ...identifier.Runner) {
	f.store.Apply(&Command{PlaceTasks: &PlaceTasks{Placements: []Placement{{Job: key, Step: step, Tasks: nums, Runners: runner}}}})
}

func (f *fixture) reportEnd(runner identifier.Runner, incarnation identifier.Incarnation, lease identifier.LeaseID, ref identifier.TaskRef, outcome Outcome) {
	f.store.Apply(&Command{ReportEnds: &ReportEnds{Runner: runner, Incarnation: incarnation, Ends: []End{{Lease: lease, Task: ref, Outcome: outcome}}}})
}

func (f *fixture) wantState(key identifier.JobKey, want string) {
	f.Helper()
	if have := f.store.Jobs[key].State(); have != want {
		f.Fatalf("job %s is %s, want %s", key, have, want)
	}
}

func singleTaskStep(cores int64) job.Step {
	return job.Step{Name: "one", Tasks: 1, Demand: job.Demand{Cores: cores, Mem: 1}, ExpectedRun: 1}
}

func gangStep(n, cores int64) job.Step {
	s := singleTaskStep(cores)
	s.Tasks, s.Gang = n, true
	return s
}

// TestPlacementIsRechecked: whatever a leader planned, the book takes no placement
// that breaks a promise at the moment it is applied.
func TestPlacementIsRechecked(t *testing.T) {
	f := newFixture(t, `{"low.maxCores":4}`)
	f.submit("a/big", "default", singleTaskStep(9))
	f.submit("a/lab", "default", job.Step{Name: "l", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, Labels: []identifier.Label{"gpu"}, ExpectedRun: 1})
	f.submit("a/two", "default", singleTaskStep(1), job.Step{Name: "next", After: []string{"one"}, Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1})
	f.submit("a/gang", "default", gangStep(3, 4))
	f.submit("a/low", "low", singleTaskStep(5))
	f.apply(201, &Command{SubmitJob: &SubmitJob{Key: "a/later", Spec: job.Spec{Row: "default", NotBefore: 5000, Steps: []job.Step{singleTaskStep(1)}}}})
	f.place("a/big", 0, []int{0}, "r1")
	f.place("a/lab", 0, []int{0}, "r1")
	f.place("a/two", 1, []int{0}, "r1")
	f.place("a/gang", 0, []int{0, 1}, "r1", "r2")
	f.place("a/gang", 0, []int{0, 1, 2}, "r1", "r1", "r1")
	f.place("a/gang", 0, []int{0, 0, 1}, "r1", "r2", "r3")
	f.place("a/low", 0, []int{0}, "r1")
	f.place("a/later", 0, []int{0}, "r1")
	f.place("a/none", 0, []int{0}, "r1")
	f.place("a/two", 0, []int{0}, "nobody")
	if n := len(f.store.Leases); n != 0 {
		t.Fatalf("%d unsound placements were taken", n)
	}
	f.apply(200, &Command{StartDrain: &StartDrain{Domain: "north"}})
	f.place("a/two", 0, []int{0}, "r2")
	if len(f.store.Leases) != 0 {
		t.Fatal("placed behind the fence")
	}
	f.place("a/two", 0, []int{0}, "r1")
	f.place("a/two", 0, []int{0}, "r3")
	if len(f.store.Leases) != 1 {
		t.Fatalf("one task has %d grants", len(f.store.Leases))
	}
	f.store.Apply(&Command{At: 5000})
	f.place("a/later", 0, []int{0}, "r1")
	if len(f.store.Leases) != 2 {
		t.Fatal("not placed when its time had come")
	}
}

// TestLateEndOfLostLease: a well end heard after its grant was counted lost ends the
// task, stops the attempt that replaced it, and a stranger's word counts not.
func TestLateEndOfLostLease(t *testing.T) {
	f := newFixture(t, `{"keep.onLoss":"hold"}`)
	ref := identifier.TaskRef{Job: "a/x"}
	f.submit("a/x", "default", singleTaskStep(1))
	f.place("a/x", 0, []int{0}, "r1")
	f.store.Apply(&Command{LoseRunner: &LoseRunner{Runner: "r1", Incarnation: "a"}})
	f.wantState("a/x", "waiting")
	f.place("a/x", 0, []int{0}, "r2")
	f.reportEnd("r1", "a", 77, ref, OutcomeSuccess)
	f.wantState("a/x", "running")
	f.reportEnd("r1", "a", 1, ref, OutcomeSuccess)
	if f.store.Leases[2].RevokeReason != RevokeDoneElsewhere || f.store.Jobs["a/x"].Steps[0][0].State != Succeeded {
		t.Fatalf("grant %+v, task %+v", f.store.Leases[2], f.store.Jobs["a/x"].Steps[0][0])
	}
	f.wantState("a/x", "running")
	f.reportEnd("r2", "a", 2, ref, OutcomeStopped)
	f.wantState("a/x", "well")
	f.apply(200, &Command{ReportRunner: f.runnerReport(1, "a", false, 0)})
	f.submit("a/h", "keep", singleTaskStep(1))
	f.place("a/h", 0, []int{0}, "r1")
	f.store.Apply(&Command{LoseRunner: &LoseRunner{Runner: "r1", Incarnation: "a"}})
	f.place("a/h", 0, []int{0}, "r2")
	if s := f.store.Jobs["a/h"].Steps[0][0].State; s != AwaitingRunner {
		t.Fatalf("held work is %s", s)
	}
	f.apply(200, &Command{ReportRunner: f.runnerReport(1, "b", false, 0)})
	if s := f.store.Jobs["a/h"].Steps[0][0].State; s != Waiting {
		t.Fatalf("the runner answered anew, and its held work is %s", s)
	}
	f.apply(409, &Command{ReportRunner: f.runnerReport(1, "a", false, 0)})
}

// TestOnlyDefectsCount: only reported defects spend the allowance.
func TestOnlyDefectsCount(t *testing.T) {
	f := newFixture(t, `{"x.weight":1}`)
	s := singleTaskStep(1)
	s.MaxDefects = 2
	f.submit("a/x", "default", s)
	ref, lease := identifier.TaskRef{Job: "a/x"}, identifier.LeaseID(0)
	for _, outcome := range []Outcome{OutcomeStopped, OutcomeLeaseLapsed, OutcomeDefect, OutcomeStopped} {
		lease++
		f.place("a/x", 0, []int{0}, "r1")
		f.reportEnd("r1", "a", lease, ref, outcome)
		f.wantState("a/x", "waiting")
	}
	f.place("a/x", 0, []int{0}, "r1")
	f.reportEnd("r1", "a", lease+1, ref, OutcomeDefect)
	f.wantState("a/x", "failed")
	f.place("a/x", 0, []int{0}, "r1")
	if len(f.store.Leases) > 0 {
		t.Fatal("a failed task was placed again")
	}
}

// TestGangIsRevokedAndPlacedTogether: when one member goes, for whatever cause, all are called
// back, and none is placed before all are free.
func TestGangIsRevokedAndPlacedTogether(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeStopped, OutcomeDefect, OutcomeLeaseLapsed} {
		f := newFixture(t, `{"x.weight":1}`)
		s := gangStep(3, 2)
		s.MaxDefects = 5
		f.submit("a/g", "default", s)
		f.place("a/g", 0, []int{0, 1, 2}, "r1", "r2", "r3")
		f.store.Apply(&Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{1}, Reason: RevokeStartUnconfirmed}})
		for id := identifier.LeaseID(1); id <= 3; id++ {
			if f.store.Leases[id].RevokeReason == "" {
				t.Fatalf("%s: member %d goes on alone", outcome, id)
			}
		}
		f.reportEnd("r1", "a", 1, identifier.TaskRef{Job: "a/g"}, outcome)
		f.place("a/g", 0, []int{0}, "r1")
		f.reportEnd("r2", "a", 2, identifier.TaskRef{Job: "a/g", Num: 1}, OutcomeStopped)
		f.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(f.store.Leases); n != 1 {
			t.Fatalf("%s: part of a gang was placed, %d grants", outcome, n)
		}
		f.reportEnd("r3", "a", 3, identifier.TaskRef{Job: "a/g", Num: 2}, OutcomeSuccess)
		f.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(f.store.Leases); n != 2 {
			t.Fatalf("%s: the rest of the gang was not placed, %d grants", outcome, n)
		}
	}
}

// TestSuspendedUntilDrainEnds: displaced work of a class that rides waits out the closing when
// there is no room for it elsewhere, and bids again once it is reopened.
func TestSuspendedUntilDrainEnds(t *testing.T) {
	f := newFixture(t, `{"ride.onOutage":"ride"}`)
	for i := 1; i <= 4; i++ {
		f.submit(identifier.JobKey(fmt.Sprintf("a/%d", i)), "ride", singleTaskStep(8))
		f.place(identifier.JobKey(fmt.Sprintf("a/%d", i)), 0, []int{0}, identifier.Runner(fmt.Sprintf("r%d", i)))
	}
	f.apply(200, &Command{StartDrain: &StartDrain{Domain: "north", ID: "m1"}})
	for _, s := range []Stage{Preflight, Predrain, Cordon} {
		f.store.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: s}})
	}
	c := f.store.Drains["m1"]
	if c.Fits || c.Shortage.Cores != 16 || len(c.Displaced) != 2 || c.Stage != Postdrain {
		t.Fatalf("closing %+v", c)
	}
	f.reportEnd("r2", "a", 2, identifier.TaskRef{Job: "a/2"}, OutcomeStopped)
	if s := f.store.Jobs["a/2"].Steps[0][0].State; s != Suspended {
		t.Fatalf("displaced work is %s", s)
	}
	f.store.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: Postdrain, JudgeNow: true}})
	if c.Stage != Closed || c.UnconfirmedStops != 1 || c.Verdict != "unconfirmed stops over threshold, operator to look" {
		t.Fatalf("post-drain %+v", c)
	}
	f.apply(200, &Command{EndDrain: &EndDrain{Name: "north"}})
	f.store.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: Cordon}})
	if c.Stage != Preopen {
		t.Fatal("a step from a stage long past moved the closing")
	}
	for _, s := range []Stage{Preopen, Opening, Postopen} {
		if s != Opening && s != Postopen && !f.store.Cordoned("r2") {
			t.Fatalf("fence down in stage %s", c.Stage)
		}
		f.store.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: s}})
	}
	if s := f.store.Jobs["a/2"].Steps[0][0].State; s != Waiting || f.store.Cordoned("r2") || c.Stage != Open {
		t.Fatalf("after reopening the work is %s, stage %s", s, c.Stage)
	}
}

// TestRackDrain: a leaving runner is fenced at once; when more than half of a rack
// leaves, the rack is the scope, and all reopens when they stay after all.
func TestRackDrain(t *testing.T) {
	f := newFixture(t, `{"x.weight":1}`)
	f.apply(200, &Command{ReportRunner: f.runnerReport(6, "a", false, 0)})
	f.apply(200, &Command{ReportRunner: f.runnerReport(2, "a", true, 90000)})
	if !f.store.Cordoned("r2") || f.store.Cordoned("r4") || f.store.Cordoned("r1") {
		t.Fatal("one of three leaving fences just itself")
	}
	f.apply(200, &Command{ReportRunner: f.runnerReport(4, "a", true, 90000)})
	if !f.store.Cordoned("r4") || !f.store.Cordoned("r6") || f.store.Cordoned("r1") {
		t.Fatal("two of three leaving fence the rack")
	}
	c := f.store.Drains["c-1"]
	if f.store.StopDue(c, "r6", 1000) || !f.store.StopDue(c, "r6", 87001) {
		t.Fatal("work may run on until the margin before departure, and no longer")
	}
	f.apply(409, &Command{EndDrain: &EndDrain{Name: "c-1"}})
	f.apply(200, &Command{ReportRunner: f.runnerReport(2, "a", false, 0)})
	f.apply(200, &Command{ReportRunner: f.runnerReport(4, "a", false, 0)})
	for _, s := range []Stage{Preopen, Opening, Postopen} {
		f.store.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "c-1", From: s}})
	}
	if f.store.Cordoned("r2") || f.store.Cordoned("r6") || c.Stage != Open {
		t.Fatalf("stage %s", c.Stage)
	}
}

// TestDedupRetention: a resend gets the same answer as long as the id is known,
// even when the job's details are gone, and never runs it again.
func TestDedupRetention(t *testing.T) {
	f := newFixture(t, `{"site.retainMs":1000,"site.knownMs":60000}`)
	sub := &Command{At: 2000, SubmitJob: &SubmitJob{Key: "a/x", Spec: job.Spec{Row: "default", Steps: []job.Step{singleTaskStep(1)}}}}
	first := f.store.Apply(sub)
	f.store.Apply(&Command{CancelJob: &CancelJob{Key: "a/x"}})
	f.wantState("a/x", "cancelled")
	f.store.Apply(&Command{At: 4000})
	if f.store.Jobs["a/x"] != nil || f.store.Dedup.Len() != 1 {
		t.Fatal("details kept past the retention")
	}
	again := f.store.Apply(sub)
	if again.Status != 200 || again.Body != first.Body {
		t.Fatalf("first %+v, again %+v", first, again)
	}
	other := *sub.SubmitJob
	other.Spec.Urgency = 1
	f.apply(409, &Command{SubmitJob: &other})
	f.apply(200, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	f.store.Apply(&Command{At: 70000})
	if f.store.Dedup.Len() != 0 {
		t.Fatal("ids are kept for ever")
	}
}

// TestSnapshotRoundTrip: a book loaded from its view goes on just as the one that made it.
func TestSnapshotRoundTrip(t *testing.T) {
	f := newFixture(t, `{"ride.onOutage":"ride"}`)
	f.submit("a/g", "ride", gangStep(2, 4))
	f.submit("a/x", "default", singleTaskStep(1))
	f.place("a/g", 0, []int{0, 1}, "r1", "r2")
	f.apply(200, &Command{StartDrain: &StartDrain{Domain: "north", ID: "m"}})
	copied, err := Decode(f.store.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Command{{AdvanceDrain: &AdvanceDrain{ID: "m", From: Preflight}}, {AdvanceDrain: &AdvanceDrain{ID: "m", From: Predrain}}, {AdvanceDrain: &AdvanceDrain{ID: "m", From: Cordon}},
		{ReportEnds: &ReportEnds{Runner: "r2", Incarnation: "a", Ends: []End{{Lease: 2, Task: identifier.TaskRef{Job: "a/g", Num: 1}, Outcome: OutcomeStopped}}}}, {At: 9000, CancelJob: &CancelJob{Key: "a/x"}}} {
		f.store.Apply(c)
		copied.Apply(c)
		if a, b := f.store.Encode(), copied.Encode(); !bytes.Equal(a, b) {
			t.Fatalf("they part:\n%s\n%s", a, b)
		}
	}
}
