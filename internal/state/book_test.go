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
	b *Book
}

func newDesk(t *testing.T, cells string) *desk {
	d := &desk{t, New()}
	d.must(200, &Command{At: 1000, Table: d.patch(1, cells)})
	for i := 1; i <= 4; i++ {
		d.must(200, &Command{Report: d.report(i, "a", false, 0)})
	}
	return d
}

func (d *desk) patch(base int, cells string) *limits.Change {
	var c *limits.Change
	d.Helper()
	var f jsondoc.Faults
	if c = limits.ReadPatch([]byte(fmt.Sprintf(`{"base":%d,"cells":%s}`, base, cells)), &f); f.Any() {
		d.Fatal(f.List)
	}
	return c
}

func (d *desk) report(i int, inc identifier.Incarnation, drain bool, depart clock.ClusterTime) *Report {
	return &Report{Runner: identifier.Runner(fmt.Sprintf("r%d", i)), Inc: inc, Cap: job.Demand{Cores: 8, Mem: 8000}, Labels: []identifier.Label{"std"},
		Domain: identifier.Domain([]string{"north", "east"}[i%2]), Rack: identifier.Rack([]string{"k0", "k1"}[i%2]), Drain: drain, Depart: depart}
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
		if steps[i].Defects == 0 {
			steps[i].Defects = 1
		}
	}
	d.must(201, &Command{Submit: &Submit{Key: key, Spec: job.Spec{Pending: row, Steps: steps}}})
}

func (d *desk) place(key identifier.JobKey, step int, nums []int, on ...identifier.Runner) {
	d.b.Apply(&Command{Place: &Place{Puts: []Put{{Job: key, Step: step, Nums: nums, On: on}}}})
}

func (d *desk) end(on identifier.Runner, inc identifier.Incarnation, g identifier.LeaseID, ref identifier.TaskRef, how How) {
	d.b.Apply(&Command{Ends: &Ends{Runner: on, Inc: inc, List: []End{{Grant: g, Ref: ref, How: how}}}})
}

func (d *desk) state(key identifier.JobKey, want string) {
	d.Helper()
	if have := d.b.Jobs[key].State(); have != want {
		d.Fatalf("job %s is %s, want %s", key, have, want)
	}
}

func one(cores int64) job.Step {
	return job.Step{Name: "one", Tasks: 1, Demand: job.Demand{Cores: cores, Mem: 1}, Run: 1}
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
	d.hand("a/lab", "default", job.Step{Name: "l", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, Labels: []identifier.Label{"gpu"}, Run: 1})
	d.hand("a/two", "default", one(1), job.Step{Name: "next", After: []string{"one"}, Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, Run: 1})
	d.hand("a/gang", "default", gang(3, 4))
	d.hand("a/low", "low", one(5))
	d.must(201, &Command{Submit: &Submit{Key: "a/later", Spec: job.Spec{Pending: "default", NotBefore: 5000, Steps: []job.Step{one(1)}}}})
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
	if n := len(d.b.Grants); n != 0 {
		t.Fatalf("%d unsound placements were taken", n)
	}
	d.must(200, &Command{Close: &Close{Domain: "north"}})
	d.place("a/two", 0, []int{0}, "r2")
	if len(d.b.Grants) != 0 {
		t.Fatal("placed behind the fence")
	}
	d.place("a/two", 0, []int{0}, "r1")
	d.place("a/two", 0, []int{0}, "r3")
	if len(d.b.Grants) != 1 {
		t.Fatalf("one task has %d grants", len(d.b.Grants))
	}
	d.b.Apply(&Command{At: 5000})
	d.place("a/later", 0, []int{0}, "r1")
	if len(d.b.Grants) != 2 {
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
	d.b.Apply(&Command{Lost: &Lost{Runner: "r1", Inc: "a"}})
	d.state("a/x", "waiting")
	d.place("a/x", 0, []int{0}, "r2")
	d.end("r1", "a", 77, ref, EndWell)
	d.state("a/x", "running")
	d.end("r1", "a", 1, ref, EndWell)
	if d.b.Grants[2].Stop != StopDone || d.b.Jobs["a/x"].Steps[0][0].State != Well {
		t.Fatalf("grant %+v, task %+v", d.b.Grants[2], d.b.Jobs["a/x"].Steps[0][0])
	}
	d.state("a/x", "running")
	d.end("r2", "a", 2, ref, EndStopped)
	d.state("a/x", "well")
	d.must(200, &Command{Report: d.report(1, "a", false, 0)})
	d.hand("a/h", "keep", one(1))
	d.place("a/h", 0, []int{0}, "r1")
	d.b.Apply(&Command{Lost: &Lost{Runner: "r1", Inc: "a"}})
	d.place("a/h", 0, []int{0}, "r2")
	if s := d.b.Jobs["a/h"].Steps[0][0].State; s != Held {
		t.Fatalf("held work is %s", s)
	}
	d.must(200, &Command{Report: d.report(1, "b", false, 0)})
	if s := d.b.Jobs["a/h"].Steps[0][0].State; s != Waiting {
		t.Fatalf("the runner answered anew, and its held work is %s", s)
	}
	d.must(409, &Command{Report: d.report(1, "a", false, 0)})
}

// TestDefectsOnly: only reported defects spend the allowance.
func TestDefectsOnly(t *testing.T) {
	d := newDesk(t, `{"x.weight":1}`)
	s := one(1)
	s.Defects = 2
	d.hand("a/x", "default", s)
	ref, g := identifier.TaskRef{Job: "a/x"}, identifier.LeaseID(0)
	for _, how := range []How{EndStopped, EndLapsed, EndDefect, EndStopped} {
		g++
		d.place("a/x", 0, []int{0}, "r1")
		d.end("r1", "a", g, ref, how)
		d.state("a/x", "waiting")
	}
	d.place("a/x", 0, []int{0}, "r1")
	d.end("r1", "a", g+1, ref, EndDefect)
	d.state("a/x", "failed")
	d.place("a/x", 0, []int{0}, "r1")
	if len(d.b.Grants) > 0 {
		t.Fatal("a failed task was placed again")
	}
}

// TestGangTogether: when one member goes, for whatever cause, all are called
// back, and none is placed before all are free.
func TestGangTogether(t *testing.T) {
	for _, how := range []How{EndStopped, EndDefect, EndLapsed} {
		d := newDesk(t, `{"x.weight":1}`)
		s := gang(3, 2)
		s.Defects = 5
		d.hand("a/g", "default", s)
		d.place("a/g", 0, []int{0, 1, 2}, "r1", "r2", "r3")
		d.b.Apply(&Command{Recall: &Recall{Grants: []identifier.LeaseID{1}, Why: StopLate}})
		for id := identifier.LeaseID(1); id <= 3; id++ {
			if d.b.Grants[id].Stop == "" {
				t.Fatalf("%s: member %d goes on alone", how, id)
			}
		}
		d.end("r1", "a", 1, identifier.TaskRef{Job: "a/g"}, how)
		d.place("a/g", 0, []int{0}, "r1")
		d.end("r2", "a", 2, identifier.TaskRef{Job: "a/g", Num: 1}, EndStopped)
		d.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(d.b.Grants); n != 1 {
			t.Fatalf("%s: part of a gang was placed, %d grants", how, n)
		}
		d.end("r3", "a", 3, identifier.TaskRef{Job: "a/g", Num: 2}, EndWell)
		d.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(d.b.Grants); n != 2 {
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
	d.must(200, &Command{Close: &Close{Domain: "north", ID: "m1"}})
	for _, s := range []Stage{Preflight, Predrain, Cordon} {
		d.b.Apply(&Command{Step: &Step{ID: "m1", From: s}})
	}
	c := d.b.Closings["m1"]
	if c.Fits || c.Short.Cores != 16 || len(c.Displaced) != 2 || c.Stage != Postdrain {
		t.Fatalf("closing %+v", c)
	}
	d.end("r2", "a", 2, identifier.TaskRef{Job: "a/2"}, EndStopped)
	if s := d.b.Jobs["a/2"].Steps[0][0].State; s != Riding {
		t.Fatalf("displaced work is %s", s)
	}
	d.b.Apply(&Command{Step: &Step{ID: "m1", From: Postdrain, Judge: true}})
	if c.Stage != Closed || c.Loose != 1 || c.Verdict != "unconfirmed stops over threshold, operator to look" {
		t.Fatalf("post-drain %+v", c)
	}
	d.must(200, &Command{Reopen: &Reopen{Name: "north"}})
	d.b.Apply(&Command{Step: &Step{ID: "m1", From: Cordon}})
	if c.Stage != Preopen {
		t.Fatal("a step from a stage long past moved the closing")
	}
	for _, s := range []Stage{Preopen, Opening, Postopen} {
		if s != Opening && s != Postopen && !d.b.Fenced("r2") {
			t.Fatalf("fence down in stage %s", c.Stage)
		}
		d.b.Apply(&Command{Step: &Step{ID: "m1", From: s}})
	}
	if s := d.b.Jobs["a/2"].Steps[0][0].State; s != Waiting || d.b.Fenced("r2") || c.Stage != Open {
		t.Fatalf("after reopening the work is %s, stage %s", s, c.Stage)
	}
}

// TestRack: a leaving runner is fenced at once; when more than half of a rack
// leaves, the rack is the scope, and all reopens when they stay after all.
func TestRack(t *testing.T) {
	d := newDesk(t, `{"x.weight":1}`)
	d.must(200, &Command{Report: d.report(6, "a", false, 0)})
	d.must(200, &Command{Report: d.report(2, "a", true, 90000)})
	if !d.b.Fenced("r2") || d.b.Fenced("r4") || d.b.Fenced("r1") {
		t.Fatal("one of three leaving fences just itself")
	}
	d.must(200, &Command{Report: d.report(4, "a", true, 90000)})
	if !d.b.Fenced("r4") || !d.b.Fenced("r6") || d.b.Fenced("r1") {
		t.Fatal("two of three leaving fence the rack")
	}
	c := d.b.Closings["c-1"]
	if d.b.Due(c, "r6", 1000) || !d.b.Due(c, "r6", 87001) {
		t.Fatal("work may run on until the margin before departure, and no longer")
	}
	d.must(409, &Command{Reopen: &Reopen{Name: "c-1"}})
	d.must(200, &Command{Report: d.report(2, "a", false, 0)})
	d.must(200, &Command{Report: d.report(4, "a", false, 0)})
	for _, s := range []Stage{Preopen, Opening, Postopen} {
		d.b.Apply(&Command{Step: &Step{ID: "c-1", From: s}})
	}
	if d.b.Fenced("r2") || d.b.Fenced("r6") || c.Stage != Open {
		t.Fatalf("stage %s", c.Stage)
	}
}

// TestIDsAreKept: a resend gets the same answer as long as the id is known,
// even when the job's details are gone, and never runs it again.
func TestIDsAreKept(t *testing.T) {
	d := newDesk(t, `{"site.retainMs":1000,"site.knownMs":60000}`)
	sub := &Command{At: 2000, Submit: &Submit{Key: "a/x", Spec: job.Spec{Pending: "default", Steps: []job.Step{one(1)}}}}
	first := d.b.Apply(sub)
	d.b.Apply(&Command{Cancel: &Cancel{Key: "a/x"}})
	d.state("a/x", "cancelled")
	d.b.Apply(&Command{At: 4000})
	if d.b.Jobs["a/x"] != nil || d.b.Known.Len() != 1 {
		t.Fatal("details kept past the retention")
	}
	again := d.b.Apply(sub)
	if again.Status != 200 || again.Doc != first.Doc {
		t.Fatalf("first %+v, again %+v", first, again)
	}
	other := *sub.Submit
	other.Spec.Urgency = 1
	d.must(409, &Command{Submit: &other})
	d.must(200, &Command{Cancel: &Cancel{Key: "a/x"}})
	d.b.Apply(&Command{At: 70000})
	if d.b.Known.Len() != 0 {
		t.Fatal("ids are kept for ever")
	}
}

// TestView: a book loaded from its view goes on just as the one that made it.
func TestView(t *testing.T) {
	d := newDesk(t, `{"ride.onOutage":"ride"}`)
	d.hand("a/g", "ride", gang(2, 4))
	d.hand("a/x", "default", one(1))
	d.place("a/g", 0, []int{0, 1}, "r1", "r2")
	d.must(200, &Command{Close: &Close{Domain: "north", ID: "m"}})
	copied, err := Decode(d.b.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Command{{Step: &Step{ID: "m", From: Preflight}}, {Step: &Step{ID: "m", From: Predrain}}, {Step: &Step{ID: "m", From: Cordon}},
		{Ends: &Ends{Runner: "r2", Inc: "a", List: []End{{Grant: 2, Ref: identifier.TaskRef{Job: "a/g", Num: 1}, How: EndStopped}}}}, {At: 9000, Cancel: &Cancel{Key: "a/x"}}} {
		d.b.Apply(c)
		copied.Apply(c)
		if a, b := d.b.Encode(), copied.Encode(); !bytes.Equal(a, b) {
			t.Fatalf("they part:\n%s\n%s", a, b)
		}
	}
}
