package state

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// newQueues is a book with a catalogue, and four runners of its pool besides
// one of another and the rows' own.
func newQueues(t *testing.T) *desk {
	d := newDesk(t, `{"a.weight":1}`)
	d.b.Level = CatalogLevel
	d.must(200, &Command{At: 2000, ChangeCatalog: &catalog.Change{Version: 3, Whole: true, Checksum: "one",
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "x", MaxAttempts: 2, LatencyFactor: 2000, LatencyTarget: 1000, Timeout: 3000}},
		Pools:  []catalog.Pool{{Name: "x"}, {Name: "y"}}}})
	for i := 5; i <= 9; i++ {
		r := d.report(i, "a", false, 0)
		r.Pool = "x"
		if i == 9 {
			r.Pool = "y"
		}
		d.must(200, &Command{ReportRunner: r})
	}
	return d
}

func (d *desk) queue(key identifier.JobKey, spec job.Spec) {
	d.Helper()
	spec.Queue = "q"
	for i := range spec.Steps {
		spec.Steps[i].MaxDefects, spec.Steps[i].Name = 1, fmt.Sprint("s", i)
		if spec.Steps[i].Demand == (job.Demand{}) {
			spec.Steps[i].Demand = job.Demand{MilliCores: 1500, Mem: 10}
		}
		if spec.Steps[i].ExpectedRun == 0 {
			spec.Steps[i].ExpectedRun = 1000
		}
	}
	d.must(201, &Command{SubmitJob: &SubmitJob{Key: key, Spec: spec}})
}

func (d *desk) open(key identifier.JobKey) int {
	var n int
	for _, g := range d.b.Leases {
		if g.Task.Job == key {
			n++
		}
	}
	return n
}

// TestQueueRoute: only runners of the queue's pool, and at most so many tasks of
// a step on one of them, whatever a planner asks for.
func TestQueueRoute(t *testing.T) {
	d := newQueues(t)
	d.queue("q/j", job.Spec{Steps: []job.Step{{Tasks: 6, MaxPerRunner: 2}}})
	for _, on := range []identifier.Runner{"r1", "r9"} {
		d.place("q/j", 0, []int{0}, on)
	}
	if n := d.open("q/j"); n != 0 {
		t.Errorf("%d placed outside the pool", n)
	}
	d.place("q/j", 0, []int{0, 1, 2}, "r5", "r5", "r5")
	if n := d.open("q/j"); n != 0 {
		t.Errorf("%d placed, three of them beside one another", n)
	}
	d.place("q/j", 0, []int{0, 1}, "r5", "r5")
	d.place("q/j", 0, []int{2}, "r5")
	if n := d.open("q/j"); n != 2 {
		t.Errorf("%d on a runner that may hold two", n)
	}
	d.hand("a/j", "a", job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1})
	d.place("a/j", 0, []int{0}, "r5")
	if n := d.open("a/j"); n != 0 {
		t.Error("a row's work went to a pool of the catalogue")
	}
}

// TestQueueBudget: a task starts until so many of its runs have failed, by its
// queue's terms; other ends cost nothing, and a gang's failures count by run,
// whoever tells of them.
func TestQueueBudget(t *testing.T) {
	d := newQueues(t)
	d.queue("q/j", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	ref := identifier.TaskRef{Job: "q/j"}
	for i, how := range []Outcome{OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeRejected, OutcomeGangIncomplete, OutcomeGangBroken} {
		d.place("q/j", 0, []int{0}, "r5")
		g := d.b.Jobs["q/j"].Task(ref).Lease
		if no := d.b.Leases[g].Attempt; no != uint64(i+1) {
			t.Errorf("run %d is numbered %d", i+1, no)
		}
		d.end("r5", "a", g, ref, how)
	}
	d.state("q/j", "waiting")
	d.place("q/j", 0, []int{0}, "r5")
	d.end("r5", "a", d.b.Jobs["q/j"].Task(ref).Lease, ref, OutcomeDefect)
	d.state("q/j", "failed")
	d.place("q/j", 0, []int{0}, "r5")
	if d.open("q/j") > 0 {
		t.Error("started past its failures")
	}

	d.queue("q/g", job.Spec{Steps: []job.Step{{Tasks: 2, Gang: true}}})
	for run := 1; run <= 2; run++ {
		d.place("q/g", 0, []int{0, 1}, "r5", "r6")
		j := d.b.Jobs["q/g"]
		a, b := j.Steps[0][0].Lease, j.Steps[0][1].Lease
		if d.b.Leases[a].Attempt != uint64(run) || d.b.Leases[b].Attempt != uint64(run) {
			t.Errorf("members of run %d are numbered %d and %d", run, d.b.Leases[a].Attempt, d.b.Leases[b].Attempt)
		}
		d.end("r5", "a", a, identifier.TaskRef{Job: "q/g"}, OutcomeDefect)
		d.end("r6", "a", b, identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeDefect)
		if run == 1 && j.Failure != "" {
			t.Error("one failed run of a gang counted twice")
		}
	}
	d.state("q/g", "failed")
}

// TestGangEndsAsOne: the first member to end well ends it for all; the job is
// over once all have told of their ends.
func TestGangEndsAsOne(t *testing.T) {
	d := newQueues(t)
	d.queue("q/g", job.Spec{Steps: []job.Step{{Tasks: 2, Gang: true}, {Tasks: 1, After: []string{"s0"}}}})
	d.place("q/g", 1, []int{0}, "r5")
	d.place("q/g", 0, []int{0, 1}, "r5", "r6")
	j := d.b.Jobs["q/g"]
	if d.open("q/g") != 2 {
		t.Fatalf("%d open, want the gang alone", d.open("q/g"))
	}
	b := j.Steps[0][1].Lease
	d.end("r5", "a", j.Steps[0][0].Lease, identifier.TaskRef{Job: "q/g"}, OutcomeSuccess)
	if !j.DependenciesMet(1) {
		t.Error("a gang that ended well holds up what comes after it")
	}
	d.end("r6", "a", b, identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeGangBroken)
	if s := j.Steps[0][1].State; s != Succeeded {
		t.Errorf("the other member is %s", s)
	}
	d.place("q/g", 1, []int{0}, "r5")
	d.end("r5", "a", j.Steps[1][0].Lease, identifier.TaskRef{Job: "q/g", Step: 1}, OutcomeSuccess)
	d.state("q/g", "well")
}

// TestTimes: a repeated job costs one record until a time is due; times may
// overlap, none begins early, the job ends with its last one, and cancelling
// ends them all and begins no more.
func TestTimes(t *testing.T) {
	d := newQueues(t)
	d.queue("q/r", job.Spec{Repeat: &job.Repeat{Count: 3, First: 10000, Every: 1000}, Steps: []job.Step{{Tasks: 1}}})
	d.queue("q/c", job.Spec{Repeat: &job.Repeat{Count: 100000, First: 10000, Every: 1000}, Steps: []job.Step{{Tasks: 1}}})
	if n := len(d.b.Jobs); n != 2 {
		t.Errorf("%d jobs before any time is due", n)
	}
	d.b.Apply(&Command{At: 9999})
	d.state("q/r", "waiting")
	if at, ok := d.b.NextScheduledStart(); !ok || at != 10000 {
		t.Errorf("next start at %d %v", at, ok)
	}
	d.b.Apply(&Command{At: 11500})
	d.state("q/r", "running")
	if d.b.Jobs["q/r.0"] == nil || d.b.Jobs["q/r.1"] == nil || d.b.Jobs["q/r.2"] != nil {
		t.Error("at 11.5 s times 0 and 1 are to be there, and 2 is not")
	}
	if due := d.b.Jobs["q/r.1"].Terms.DueAt; due != 11000+2*1000+1000 {
		t.Errorf("time 1 is due at %d", due)
	}
	back, err := Decode(d.b.Encode())
	if err != nil || back.QueuedJobs("q") != 2 || back.Jobs["q/r"].openOccurrences != 2 {
		t.Errorf("read back: %v, %d queued", err, back.QueuedJobs("q"))
	}
	d.must(200, &Command{CancelJob: &CancelJob{Key: "q/c"}})
	d.b.Apply(&Command{At: 60000})
	d.state("q/c", "cancelled")
	if d.b.Jobs["q/c.2"] != nil {
		t.Error("a time began after the cancel")
	}
	for k := 0; k < 3; k++ {
		key := identifier.JobKey(fmt.Sprintf("q/r.%d", k))
		d.state("q/r", "running")
		d.place(key, 0, []int{0}, "r5")
		d.end("r5", "a", d.b.Jobs[key].Steps[0][0].Lease, identifier.TaskRef{Job: key}, OutcomeSuccess)
	}
	d.state("q/r", "well")
	if n := d.b.QueuedJobs("q"); n != 0 {
		t.Errorf("%d jobs are left in the queue", n)
	}
	if r := d.b.Apply(&Command{SubmitJob: &SubmitJob{Key: "q/z.1", Spec: job.Spec{Queue: "q", Steps: []job.Step{{Name: "s", Tasks: 1}}}}}); r.Status != 422 {
		t.Errorf("a job named as a time of another got %d", r.Status)
	}
}

// TestLasting: a lasting task begins again however it ends, for as long as its
// job is not cancelled.
func TestLasting(t *testing.T) {
	d := newQueues(t)
	d.queue("q/l", job.Spec{Steps: []job.Step{{Tasks: 1, Service: true}}})
	for _, how := range []Outcome{OutcomeDefect, OutcomeDefect, OutcomeDefect, OutcomeSuccess, OutcomeLeaseLapsed} {
		d.place("q/l", 0, []int{0}, "r5")
		d.end("r5", "a", d.b.Jobs["q/l"].Steps[0][0].Lease, identifier.TaskRef{Job: "q/l"}, how)
		if s := d.b.Jobs["q/l"].Steps[0][0].State; s != Waiting {
			t.Fatalf("after %s it is %s", how, s)
		}
	}
	d.must(200, &Command{CancelJob: &CancelJob{Key: "q/l"}})
	d.state("q/l", "cancelled")
}

// TestSaved: progress told at an end, or last told of a runner that is lost, is
// brought along by the next run of the same task, and of its gang; never by
// another task's.
func TestSaved(t *testing.T) {
	d := newQueues(t)
	d.queue("q/s", job.Spec{Steps: []job.Step{{Tasks: 2, Checkpoints: true}, {Tasks: 2, Checkpoints: true, Gang: true}, {Tasks: 1}}})
	j := d.b.Jobs["q/s"]
	d.place("q/s", 0, []int{0}, "r5")
	d.must(0, &Command{ReportEnds: &ReportEnds{Runner: "r5", Incarnation: "a", Ends: []End{{Lease: j.Steps[0][0].Lease, Task: identifier.TaskRef{Job: "q/s"}, Outcome: OutcomeStopped, Checkpoint: "half"}}}})
	if j.Steps[0][0].Checkpoint != "half" || j.Steps[0][1].Checkpoint != "" {
		t.Errorf("saved %q and %q", j.Steps[0][0].Checkpoint, j.Steps[0][1].Checkpoint)
	}
	d.place("q/s", 1, []int{0, 1}, "r5", "r6")
	d.must(0, &Command{LoseRunner: &LoseRunner{Runner: "r6", Incarnation: "a", Checkpoints: []Checkpoint{{Lease: j.Steps[1][1].Lease, Data: "third"}}}})
	if j.Steps[1][0].Checkpoint != "third" || j.Steps[1][1].Checkpoint != "third" {
		t.Errorf("the gang has %q and %q", j.Steps[1][0].Checkpoint, j.Steps[1][1].Checkpoint)
	}
	d.place("q/s", 2, []int{0}, "r7")
	d.must(0, &Command{ReportEnds: &ReportEnds{Runner: "r7", Incarnation: "a", Ends: []End{{Lease: j.Steps[2][0].Lease, Task: identifier.TaskRef{Job: "q/s", Step: 2}, Outcome: OutcomeStopped, Checkpoint: "odd"}}}})
	if j.Steps[2][0].Checkpoint != "" {
		t.Error("progress is kept for a step that saves none")
	}
}

// TestLateWordOfARun: a run counted lost ends well after all, while another of
// the same task is under way: that one is called back, and the task is done.
func TestLateWordOfARun(t *testing.T) {
	d := newQueues(t)
	d.queue("q/w", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	j, ref := d.b.Jobs["q/w"], identifier.TaskRef{Job: "q/w"}
	d.place("q/w", 0, []int{0}, "r5")
	first := j.Steps[0][0].Lease
	d.must(0, &Command{LoseRunner: &LoseRunner{Runner: "r5", Incarnation: "a"}})
	d.place("q/w", 0, []int{0}, "r6")
	if id, _, ok := d.b.ResolveRun("r5", "a", identifier.TaskRef{Job: "q/w.0"}, 1); !ok || id != first {
		t.Errorf("run 1 is grant %d %v, want %d", id, ok, first)
	}
	if !d.b.AcceptsEnd("r5", "a", first, ref) {
		t.Error("the late end is no news")
	}
	second := j.Steps[0][0].Lease
	d.end("r5", "a", first, ref, OutcomeSuccess)
	if g := d.b.Leases[second]; g == nil || g.RevokeReason != RevokeDoneElsewhere {
		t.Errorf("the other run: %+v", g)
	}
	d.state("q/w", "running")
	d.end("r6", "a", second, ref, OutcomeStopped)
	d.state("q/w", "well")
}

// TestCatalogRace: of two changes on one version only one is taken; the same one
// again is known, whatever came after it; what is invalid changes nothing.
func TestCatalogRace(t *testing.T) {
	d := newQueues(t)
	change := func(base, version uint64, sum string) *catalog.Change {
		return &catalog.Change{Base: base, Version: version, Checksum: sum, Queues: []catalog.Queue{{Name: sum, Host: "h", Prefix: "/" + sum, Pool: "x", Timeout: 1}}}
	}
	d.must(200, &Command{ChangeCatalog: change(3, 7, "a")})
	d.must(412, &Command{ChangeCatalog: change(3, 9, "b")})
	d.must(200, &Command{ChangeCatalog: change(7, 8, "c")})
	d.must(200, &Command{ChangeCatalog: change(3, 7, "a")})
	d.must(412, &Command{ChangeCatalog: change(3, 7, "other")})
	d.must(422, &Command{ChangeCatalog: change(8, 8, "d")})
	bad := change(8, 12, "e")
	bad.Queues[0].Pool = "nowhere"
	d.must(422, &Command{ChangeCatalog: bad})
	same := change(8, 12, "f")
	same.Queues[0].Prefix = "/a"
	d.must(422, &Command{ChangeCatalog: same})
	if c := d.b.Catalog; c.Version != 8 || len(c.Queues) != 3 || c.Queue("b") != nil || c.Queue("e") != nil {
		t.Errorf("in force: %+v", c)
	}
}

// TestChain: work pushed out by displaced work of a dearer kind may push in its
// turn, as long as the closing lasts.
func TestChain(t *testing.T) {
	d := newDesk(t, `{"a.onOutage":"push","a.weight":1}`)
	d.b.Level = CatalogLevel
	d.hand("a/x", "a", job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1})
	d.place("a/x", 0, []int{0}, "r1")
	d.must(200, &Command{StartDrain: &StartDrain{Domain: "north"}})
	for _, c := range d.b.Drains {
		c.PreflightDone, c.Fits = true, false
	}
	g := d.b.Jobs["a/x"].Steps[0][0].Lease
	d.must(0, &Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{g}, Reason: RevokePreempted}})
	d.end("r1", "a", g, identifier.TaskRef{Job: "a/x"}, OutcomeStopped)
	if c := d.b.Jobs["a/x"].Steps[0][0].DisplacedBy; c == "" {
		t.Error("what was pushed out has lost its right to push")
	}
}
