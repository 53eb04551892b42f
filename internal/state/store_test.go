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

// desk drives a book by hand.
type desk struct {
	*testing.T
	b *Store
}

func newDesk(t *testing.T, cells string) *desk {
	d := &desk{t, New()}
	d.must(200, &Command{At: 1000, ChangeLimits: d.patch(1, cells)})
	for i := 1; i <= 4; i++ {
		d.must(200, &Command{ReportRunner: d.report(i, "a", false, 0)})
	}
	return d
}

func (d *desk) patch(base int, cells string) *limits.Change {
	var c *limits.Change
	d.Helper()
	var f jsondoc.FieldErrors
	if c = limits.ReadPatch([]byte(fmt.Sprintf(`{"base":%d,"cells":%s}`, base, cells)), &f); f.Any() {
		d.Fatal(f.List)
	}
	return c
}

func (d *desk) report(i int, inc identifier.Incarnation, drain bool, depart clock.ClusterTime) *ReportRunner {
	return &ReportRunner{Runner: identifier.Runner(fmt.Sprintf("r%d", i)), Incarnation: inc, Capacity: job.Demand{Cores: 8, Mem: 8000}, Labels: []identifier.Label{"std"},
		Domain: identifier.Domain([]string{"north", "east"}[i%2]), Rack: identifier.Rack([]string{"k0", "k1"}[i%2]), Draining: drain, DepartsAt: depart}
}

func (d *desk) must(status int, c *Command) {
	d.Helper()
	if r := d.b.Apply(c); r.Status != status {
		d.Fatalf("want %d, have %+v", status, r)
	}
}

func (d *desk) hand(key identifier.JobKey, row identifier.Row, steps ...job.Step) {
	d.Helper()
	for i := range steps {
		if steps[i].MaxDefects == 0 {
			steps[i].MaxDefects = 1
		}
	}
	d.must(201, &Command{SubmitJob: &SubmitJob{Key: key, Spec: job.Spec{Row: row, Steps: steps}}})
}

func (d *desk) place(key identifier.JobKey, step int, nums []int, on ...identifier.Runner) {
	d.b.Apply(&Command{PlaceTasks: &PlaceTasks{Placements: []Placement{{Job: key, Step: step, Tasks: nums, Runners: on}}}})
}

func (d *desk) end(on identifier.Runner, inc identifier.Incarnation, g identifier.LeaseID, ref identifier.TaskRef, how Outcome) {
	d.b.Apply(&Command{ReportEnds: &ReportEnds{Runner: on, Incarnation: inc, Ends: []End{{Lease: g, Task: ref, Outcome: how}}}})
}

func (d *desk) state(key identifier.JobKey, want string) {
	d.Helper()
	if have := d.b.Jobs[key].State(); have != want {
		d.Fatalf("job %s is %s, want %s", key, have, want)
	}
}

func one(cores int64) job.Step {
	return job.Step{Name: "one", Tasks: 1, Demand: job.Demand{Cores: cores, Mem: 1}, ExpectedRun: 1}
}

func gang(n, cores int64) job.Step {
	s := one(cores)
	s.Tasks, s.Gang = n, true
	return s
}

// TestPlaceIsChecked: whatever a leader planned, the book takes no placement
// that breaks a promise at the moment it is applied.
func TestPlaceIsChecked(t *testing.T) {
	d := newDesk(t, `{"low.maxCores":4}`)
	d.hand("a/big", "default", one(9))
	d.hand("a/lab", "default", job.Step{Name: "l", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, Labels: []identifier.Label{"gpu"}, ExpectedRun: 1})
	d.hand("a/two", "default", one(1), job.Step{Name: "next", After: []string{"one"}, Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1})
	d.hand("a/gang", "default", gang(3, 4))
	d.hand("a/low", "low", one(5))
	d.must(201, &Command{SubmitJob: &SubmitJob{Key: "a/later", Spec: job.Spec{Row: "default", NotBefore: 5000, Steps: []job.Step{one(1)}}}})
	d.place("a/big", 0, []int{0}, "r1")
	d.place("a/lab", 0, []int{0}, "r1")
	d.place("a/two", 1, []int{0}, "r1")
	d.place("a/gang", 0, []int{0, 1}, "r1", "r2")
	d.place("a/gang", 0, []int{0, 1, 2}, "r1", "r1", "r1")
	d.place("a/gang", 0, []int{0, 0, 1}, "r1", "r2", "r3")
	d.place("a/low", 0, []int{0}, "r1")
	d.place("a/later", 0, []int{0}, "r1")
	d.place("a/none", 0, []int{0}, "r1")
	d.place("a/two", 0, []int{0}, "nobody")
	if n := len(d.b.Leases); n != 0 {
		t.Fatalf("%d unsound placements were taken", n)
	}
	d.must(200, &Command{StartDrain: &StartDrain{Domain: "north"}})
	d.place("a/two", 0, []int{0}, "r2")
	if len(d.b.Leases) != 0 {
		t.Fatal("placed behind the fence")
	}
	d.place("a/two", 0, []int{0}, "r1")
	d.place("a/two", 0, []int{0}, "r3")
	if len(d.b.Leases) != 1 {
		t.Fatalf("one task has %d grants", len(d.b.Leases))
	}
	d.b.Apply(&Command{At: 5000})
	d.place("a/later", 0, []int{0}, "r1")
	if len(d.b.Leases) != 2 {
		t.Fatal("not placed when its time had come")
	}
}

// TestLateWord: a well end heard after its grant was counted lost ends the
// task, stops the attempt that replaced it, and a stranger's word counts not.
func TestLateWord(t *testing.T) {
	d := newDesk(t, `{"keep.onLoss":"hold"}`)
	ref := identifier.TaskRef{Job: "a/x"}
	d.hand("a/x", "default", one(1))
	d.place("a/x", 0, []int{0}, "r1")
	d.b.Apply(&Command{LoseRunner: &LoseRunner{Runner: "r1", Incarnation: "a"}})
	d.state("a/x", "waiting")
	d.place("a/x", 0, []int{0}, "r2")
	d.end("r1", "a", 77, ref, OutcomeSuccess)
	d.state("a/x", "running")
	d.end("r1", "a", 1, ref, OutcomeSuccess)
	if d.b.Leases[2].RevokeReason != RevokeDoneElsewhere || d.b.Jobs["a/x"].Steps[0][0].State != Succeeded {
		t.Fatalf("grant %+v, task %+v", d.b.Leases[2], d.b.Jobs["a/x"].Steps[0][0])
	}
	d.state("a/x", "running")
	d.end("r2", "a", 2, ref, OutcomeStopped)
	d.state("a/x", "well")
	d.must(200, &Command{ReportRunner: d.report(1, "a", false, 0)})
	d.hand("a/h", "keep", one(1))
	d.place("a/h", 0, []int{0}, "r1")
	d.b.Apply(&Command{LoseRunner: &LoseRunner{Runner: "r1", Incarnation: "a"}})
	d.place("a/h", 0, []int{0}, "r2")
	if s := d.b.Jobs["a/h"].Steps[0][0].State; s != AwaitingRunner {
		t.Fatalf("held work is %s", s)
	}
	d.must(200, &Command{ReportRunner: d.report(1, "b", false, 0)})
	if s := d.b.Jobs["a/h"].Steps[0][0].State; s != Waiting {
		t.Fatalf("the runner answered anew, and its held work is %s", s)
	}
	d.must(409, &Command{ReportRunner: d.report(1, "a", false, 0)})
}

// TestDefectsOnly: only reported defects spend the allowance.
func TestDefectsOnly(t *testing.T) {
	d := newDesk(t, `{"x.weight":1}`)
	s := one(1)
	s.MaxDefects = 2
	d.hand("a/x", "default", s)
	ref, g := identifier.TaskRef{Job: "a/x"}, identifier.LeaseID(0)
	for _, how := range []Outcome{OutcomeStopped, OutcomeLeaseLapsed, OutcomeDefect, OutcomeStopped} {
		g++
		d.place("a/x", 0, []int{0}, "r1")
		d.end("r1", "a", g, ref, how)
		d.state("a/x", "waiting")
	}
	d.place("a/x", 0, []int{0}, "r1")
	d.end("r1", "a", g+1, ref, OutcomeDefect)
	d.state("a/x", "failed")
	d.place("a/x", 0, []int{0}, "r1")
	if len(d.b.Leases) > 0 {
		t.Fatal("a failed task was placed again")
	}
}

// TestGangTogether: when one member goes, for whatever cause, all are called
// back, and none is placed before all are free.
func TestGangTogether(t *testing.T) {
	for _, how := range []Outcome{OutcomeStopped, OutcomeDefect, OutcomeLeaseLapsed} {
		d := newDesk(t, `{"x.weight":1}`)
		s := gang(3, 2)
		s.MaxDefects = 5
		d.hand("a/g", "default", s)
		d.place("a/g", 0, []int{0, 1, 2}, "r1", "r2", "r3")
		d.b.Apply(&Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{1}, Reason: RevokeStartUnconfirmed}})
		for id := identifier.LeaseID(1); id <= 3; id++ {
			if d.b.Leases[id].RevokeReason == "" {
				t.Fatalf("%s: member %d goes on alone", how, id)
			}
		}
		d.end("r1", "a", 1, identifier.TaskRef{Job: "a/g"}, how)
		d.place("a/g", 0, []int{0}, "r1")
		d.end("r2", "a", 2, identifier.TaskRef{Job: "a/g", Num: 1}, OutcomeStopped)
		d.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(d.b.Leases); n != 1 {
			t.Fatalf("%s: part of a gang was placed, %d grants", how, n)
		}
		d.end("r3", "a", 3, identifier.TaskRef{Job: "a/g", Num: 2}, OutcomeSuccess)
		d.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(d.b.Leases); n != 2 {
			t.Fatalf("%s: the rest of the gang was not placed, %d grants", how, n)
		}
	}
}

// TestRide: displaced work of a class that rides waits out the closing when
// there is no room for it elsewhere, and bids again once it is reopened.
func TestRide(t *testing.T) {
	d := newDesk(t, `{"ride.onOutage":"ride"}`)
	for i := 1; i <= 4; i++ {
		d.hand(identifier.JobKey(fmt.Sprintf("a/%d", i)), "ride", one(8))
		d.place(identifier.JobKey(fmt.Sprintf("a/%d", i)), 0, []int{0}, identifier.Runner(fmt.Sprintf("r%d", i)))
	}
	d.must(200, &Command{StartDrain: &StartDrain{Domain: "north", ID: "m1"}})
	for _, s := range []Stage{Preflight, Predrain, Cordon} {
		d.b.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: s}})
	}
	c := d.b.Drains["m1"]
	if c.Fits || c.Shortage.Cores != 16 || len(c.Displaced) != 2 || c.Stage != Postdrain {
		t.Fatalf("closing %+v", c)
	}
	d.end("r2", "a", 2, identifier.TaskRef{Job: "a/2"}, OutcomeStopped)
	if s := d.b.Jobs["a/2"].Steps[0][0].State; s != Suspended {
		t.Fatalf("displaced work is %s", s)
	}
	d.b.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: Postdrain, JudgeNow: true}})
	if c.Stage != Closed || c.UnconfirmedStops != 1 || c.Verdict != "unconfirmed stops over threshold, operator to look" {
		t.Fatalf("post-drain %+v", c)
	}
	d.must(200, &Command{EndDrain: &EndDrain{Name: "north"}})
	d.b.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: Cordon}})
	if c.Stage != Preopen {
		t.Fatal("a step from a stage long past moved the closing")
	}
	for _, s := range []Stage{Preopen, Opening, Postopen} {
		if s != Opening && s != Postopen && !d.b.Cordoned("r2") {
			t.Fatalf("fence down in stage %s", c.Stage)
		}
		d.b.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "m1", From: s}})
	}
	if s := d.b.Jobs["a/2"].Steps[0][0].State; s != Waiting || d.b.Cordoned("r2") || c.Stage != Open {
		t.Fatalf("after reopening the work is %s, stage %s", s, c.Stage)
	}
}

// TestRack: a leaving runner is fenced at once; when more than half of a rack
// leaves, the rack is the scope, and all reopens when they stay after all.
func TestRack(t *testing.T) {
	d := newDesk(t, `{"x.weight":1}`)
	d.must(200, &Command{ReportRunner: d.report(6, "a", false, 0)})
	d.must(200, &Command{ReportRunner: d.report(2, "a", true, 90000)})
	if !d.b.Cordoned("r2") || d.b.Cordoned("r4") || d.b.Cordoned("r1") {
		t.Fatal("one of three leaving fences just itself")
	}
	d.must(200, &Command{ReportRunner: d.report(4, "a", true, 90000)})
	if !d.b.Cordoned("r4") || !d.b.Cordoned("r6") || d.b.Cordoned("r1") {
		t.Fatal("two of three leaving fence the rack")
	}
	c := d.b.Drains["c-1"]
	if d.b.StopDue(c, "r6", 1000) || !d.b.StopDue(c, "r6", 87001) {
		t.Fatal("work may run on until the margin before departure, and no longer")
	}
	d.must(409, &Command{EndDrain: &EndDrain{Name: "c-1"}})
	d.must(200, &Command{ReportRunner: d.report(2, "a", false, 0)})
	d.must(200, &Command{ReportRunner: d.report(4, "a", false, 0)})
	for _, s := range []Stage{Preopen, Opening, Postopen} {
		d.b.Apply(&Command{AdvanceDrain: &AdvanceDrain{ID: "c-1", From: s}})
	}
	if d.b.Cordoned("r2") || d.b.Cordoned("r6") || c.Stage != Open {
		t.Fatalf("stage %s", c.Stage)
	}
}

// TestIDsAreKept: a resend gets the same answer as long as the id is known,
// even when the job's details are gone, and never runs it again.
func TestIDsAreKept(t *testing.T) {
	d := newDesk(t, `{"site.retainMs":1000,"site.knownMs":60000}`)
	sub := &Command{At: 2000, SubmitJob: &SubmitJob{Key: "a/x", Spec: job.Spec{Row: "default", Steps: []job.Step{one(1)}}}}
	first := d.b.Apply(sub)
	d.b.Apply(&Command{CancelJob: &CancelJob{Key: "a/x"}})
	d.state("a/x", "cancelled")
	d.b.Apply(&Command{At: 4000})
	if d.b.Jobs["a/x"] != nil || d.b.Dedup.Len() != 1 {
		t.Fatal("details kept past the retention")
	}
	again := d.b.Apply(sub)
	if again.Status != 200 || again.Body != first.Body {
		t.Fatalf("first %+v, again %+v", first, again)
	}
	other := *sub.SubmitJob
	other.Spec.Urgency = 1
	d.must(409, &Command{SubmitJob: &other})
	d.must(200, &Command{CancelJob: &CancelJob{Key: "a/x"}})
	d.b.Apply(&Command{At: 70000})
	if d.b.Dedup.Len() != 0 {
		t.Fatal("ids are kept for ever")
	}
}

// TestView: a book loaded from its view goes on just as the one that made it.
func TestView(t *testing.T) {
	d := newDesk(t, `{"ride.onOutage":"ride"}`)
	d.hand("a/g", "ride", gang(2, 4))
	d.hand("a/x", "default", one(1))
	d.place("a/g", 0, []int{0, 1}, "r1", "r2")
	d.must(200, &Command{StartDrain: &StartDrain{Domain: "north", ID: "m"}})
	copied, err := Decode(d.b.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Command{{AdvanceDrain: &AdvanceDrain{ID: "m", From: Preflight}}, {AdvanceDrain: &AdvanceDrain{ID: "m", From: Predrain}}, {AdvanceDrain: &AdvanceDrain{ID: "m", From: Cordon}},
		{ReportEnds: &ReportEnds{Runner: "r2", Incarnation: "a", Ends: []End{{Lease: 2, Task: identifier.TaskRef{Job: "a/g", Num: 1}, Outcome: OutcomeStopped}}}}, {At: 9000, CancelJob: &CancelJob{Key: "a/x"}}} {
		d.b.Apply(c)
		copied.Apply(c)
		if a, b := d.b.Encode(), copied.Encode(); !bytes.Equal(a, b) {
			t.Fatalf("they part:\n%s\n%s", a, b)
		}
	}
}
