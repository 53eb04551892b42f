package state

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// newQueueFixture is a book with a catalogue, and four runners of its pool besides
// one of another and the rows' own.
func newQueueFixture(t *testing.T) *fixture {
	f := newFixture(t, `{"a.weight":1}`)
	f.store.Level = CatalogLevel
	f.apply(200, &Command{At: 2000, ChangeCatalog: &catalog.Change{Version: 3, Whole: true, Checksum: "one",
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "x", MaxAttempts: 2, LatencyFactor: 2000, LatencyTarget: 1000, Timeout: 3000}},
		Pools:  []catalog.Pool{{Name: "x"}, {Name: "y"}}}})
	for i := 5; i <= 9; i++ {
		r := f.runnerReport(i, "a", false, 0)
		r.Pool = "x"
		if i == 9 {
			r.Pool = "y"
		}
		f.apply(200, &Command{ReportRunner: r})
	}
	return f
}

func (f *fixture) submitToQueue(key identifier.JobKey, spec job.Spec) {
	f.Helper()
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
	f.apply(201, &Command{SubmitJob: &SubmitJob{Key: key, Spec: spec}})
}

func (f *fixture) openLeases(key identifier.JobKey) int {
	var n int
	for _, lease := range f.store.Leases {
		if lease.Task.Job == key {
			n++
		}
	}
	return n
}

// TestQueuePlacement: only runners of the queue's pool, and at most so many tasks of
// a step on one of them, whatever a planner asks for.
func TestQueuePlacement(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/j", job.Spec{Steps: []job.Step{{Tasks: 6, MaxPerRunner: 2}}})
	for _, runner := range []identifier.Runner{"r1", "r9"} {
		f.place("q/j", 0, []int{0}, runner)
	}
	if n := f.openLeases("q/j"); n != 0 {
		t.Errorf("%d placed outside the pool", n)
	}
	f.place("q/j", 0, []int{0, 1, 2}, "r5", "r5", "r5")
	if n := f.openLeases("q/j"); n != 0 {
		t.Errorf("%d placed, three of them beside one another", n)
	}
	f.place("q/j", 0, []int{0, 1}, "r5", "r5")
	f.place("q/j", 0, []int{2}, "r5")
	if n := f.openLeases("q/j"); n != 2 {
		t.Errorf("%d on a runner that may hold two", n)
	}
	f.submit("a/j", "a", job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1})
	f.place("a/j", 0, []int{0}, "r5")
	if n := f.openLeases("a/j"); n != 0 {
		t.Error("a row's work went to a pool of the catalogue")
	}
}

// TestQueueAttempts: a task starts until so many of its runs have failed, by its
// queue's terms; other ends cost nothing, and a gang's failures count by run,
// whoever tells of them.
func TestQueueAttempts(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/j", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	ref := identifier.TaskRef{Job: "q/j"}
	for i, outcome := range []Outcome{OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeRejected, OutcomeGangIncomplete, OutcomeGangBroken} {
		f.place("q/j", 0, []int{0}, "r5")
		lease := f.store.Jobs["q/j"].Task(ref).Lease
		if no := f.store.Leases[lease].Attempt; no != uint64(i+1) {
			t.Errorf("run %d is numbered %d", i+1, no)
		}
		f.reportEnd("r5", "a", lease, ref, outcome)
	}
	f.wantState("q/j", "waiting")
	f.place("q/j", 0, []int{0}, "r5")
	f.reportEnd("r5", "a", f.store.Jobs["q/j"].Task(ref).Lease, ref, OutcomeDefect)
	f.wantState("q/j", "failed")
	f.place("q/j", 0, []int{0}, "r5")
	if f.openLeases("q/j") > 0 {
		t.Error("started past its failures")
	}

	f.submitToQueue("q/g", job.Spec{Steps: []job.Step{{Tasks: 2, Gang: true}}})
	for run := 1; run <= 2; run++ {
		f.place("q/g", 0, []int{0, 1}, "r5", "r6")
		j := f.store.Jobs["q/g"]
		a, b := j.Steps[0][0].Lease, j.Steps[0][1].Lease
		if f.store.Leases[a].Attempt != uint64(run) || f.store.Leases[b].Attempt != uint64(run) {
			t.Errorf("members of run %d are numbered %d and %d", run, f.store.Leases[a].Attempt, f.store.Leases[b].Attempt)
		}
		f.reportEnd("r5", "a", a, identifier.TaskRef{Job: "q/g"}, OutcomeDefect)
		f.reportEnd("r6", "a", b, identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeDefect)
		if run == 1 && j.Failure != "" {
			t.Error("one failed run of a gang counted twice")
		}
	}
	f.wantState("q/g", "failed")
}

// TestGangSucceedsTogether: the first member to end well ends it for all; the job is
// over once all have told of their ends.
func TestGangSucceedsTogether(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/g", job.Spec{Steps: []job.Step{{Tasks: 2, Gang: true}, {Tasks: 1, After: []string{"s0"}}}})
	f.place("q/g", 1, []int{0}, "r5")
	f.place("q/g", 0, []int{0, 1}, "r5", "r6")
	j := f.store.Jobs["q/g"]
	if f.openLeases("q/g") != 2 {
		t.Fatalf("%d open, want the gang alone", f.openLeases("q/g"))
	}
	b := j.Steps[0][1].Lease
	f.reportEnd("r5", "a", j.Steps[0][0].Lease, identifier.TaskRef{Job: "q/g"}, OutcomeSuccess)
	if !j.DependenciesMet(1) {
		t.Error("a gang that ended well holds up what comes after it")
	}
	f.reportEnd("r6", "a", b, identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeGangBroken)
	if s := j.Steps[0][1].State; s != Succeeded {
		t.Errorf("the other member is %s", s)
	}
	f.place("q/g", 1, []int{0}, "r5")
	f.reportEnd("r5", "a", j.Steps[1][0].Lease, identifier.TaskRef{Job: "q/g", Step: 1}, OutcomeSuccess)
	f.wantState("q/g", "well")
}

// TestRepeatedJob: a repeated job costs one record until a time is due; times may
// overlap, none begins early, the job ends with its last one, and cancelling
// ends them all and begins no more.
func TestRepeatedJob(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/r", job.Spec{Repeat: &job.Repeat{Count: 3, First: 10000, Every: 1000}, Steps: []job.Step{{Tasks: 1}}})
	f.submitToQueue("q/c", job.Spec{Repeat: &job.Repeat{Count: 100000, First: 10000, Every: 1000}, Steps: []job.Step{{Tasks: 1}}})
	if n := len(f.store.Jobs); n != 2 {
		t.Errorf("%d jobs before any time is due", n)
	}
	f.store.Apply(&Command{At: 9999})
	f.wantState("q/r", "waiting")
	if at, ok := f.store.NextScheduledStart(); !ok || at != 10000 {
		t.Errorf("next start at %d %v", at, ok)
	}
	f.store.Apply(&Command{At: 11500})
	f.wantState("q/r", "running")
	if f.store.Jobs["q/r.0"] == nil || f.store.Jobs["q/r.1"] == nil || f.store.Jobs["q/r.2"] != nil {
		t.Error("at 11.5 s times 0 and 1 are to be there, and 2 is not")
	}
	if due := f.store.Jobs["q/r.1"].Terms.DueAt; due != 11000+2*1000+1000 {
		t.Errorf("time 1 is due at %d", due)
	}
	back, err := Decode(f.store.Encode())
	if err != nil || back.QueuedJobs("q") != 2 || back.Jobs["q/r"].openOccurrences != 2 {
		t.Errorf("read back: %v, %d queued", err, back.QueuedJobs("q"))
	}
	f.apply(200, &Command{CancelJob: &CancelJob{Key: "q/c"}})
	f.store.Apply(&Command{At: 60000})
	f.wantState("q/c", "cancelled")
	if f.store.Jobs["q/c.2"] != nil {
		t.Error("a time began after the cancel")
	}
	for k := 0; k < 3; k++ {
		key := identifier.JobKey(fmt.Sprintf("q/r.%d", k))
		f.wantState("q/r", "running")
		f.place(key, 0, []int{0}, "r5")
		f.reportEnd("r5", "a", f.store.Jobs[key].Steps[0][0].Lease, identifier.TaskRef{Job: key}, OutcomeSuccess)
	}
	f.wantState("q/r", "well")
	if n := f.store.QueuedJobs("q"); n != 0 {
		t.Errorf("%d jobs are left in the queue", n)
	}
	if r := f.store.Apply(&Command{SubmitJob: &SubmitJob{Key: "q/z.1", Spec: job.Spec{Queue: "q", Steps: []job.Step{{Name: "s", Tasks: 1}}}}}); r.Status != 422 {
		t.Errorf("a job named as a time of another got %d", r.Status)
	}
}

// TestServiceRestarts: a lasting task begins again however it ends, for as long as its
// job is not cancelled.
func TestServiceRestarts(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/l", job.Spec{Steps: []job.Step{{Tasks: 1, Service: true}}})
	for _, outcome := range []Outcome{OutcomeDefect, OutcomeDefect, OutcomeDefect, OutcomeSuccess, OutcomeLeaseLapsed} {
		f.place("q/l", 0, []int{0}, "r5")
		f.reportEnd("r5", "a", f.store.Jobs["q/l"].Steps[0][0].Lease, identifier.TaskRef{Job: "q/l"}, outcome)
		if s := f.store.Jobs["q/l"].Steps[0][0].State; s != Waiting {
			t.Fatalf("after %s it is %s", outcome, s)
		}
	}
	f.apply(200, &Command{CancelJob: &CancelJob{Key: "q/l"}})
	f.wantState("q/l", "cancelled")
}

// TestCheckpoints: progress told at an end, or last told of a runner that is lost, is
// brought along by the next run of the same task, and of its gang; never by
// another task's.
func TestCheckpoints(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/s", job.Spec{Steps: []job.Step{{Tasks: 2, Checkpoints: true}, {Tasks: 2, Checkpoints: true, Gang: true}, {Tasks: 1}}})
	j := f.store.Jobs["q/s"]
	f.place("q/s", 0, []int{0}, "r5")
	f.apply(0, &Command{ReportEnds: &ReportEnds{Runner: "r5", Incarnation: "a", Ends: []End{{Lease: j.Steps[0][0].Lease, Task: identifier.TaskRef{Job: "q/s"}, Outcome: OutcomeStopped, Checkpoint: "half"}}}})
	if j.Steps[0][0].Checkpoint != "half" || j.Steps[0][1].Checkpoint != "" {
		t.Errorf("saved %q and %q", j.Steps[0][0].Checkpoint, j.Steps[0][1].Checkpoint)
	}
	f.place("q/s", 1, []int{0, 1}, "r5", "r6")
	f.apply(0, &Command{LoseRunner: &LoseRunner{Runner: "r6", Incarnation: "a", Checkpoints: []Checkpoint{{Lease: j.Steps[1][1].Lease, Data: "third"}}}})
	if j.Steps[1][0].Checkpoint != "third" || j.Steps[1][1].Checkpoint != "third" {
		t.Errorf("the gang has %q and %q", j.Steps[1][0].Checkpoint, j.Steps[1][1].Checkpoint)
	}
	f.place("q/s", 2, []int{0}, "r7")
	f.apply(0, &Command{ReportEnds: &ReportEnds{Runner: "r7", Incarnation: "a", Ends: []End{{Lease: j.Steps[2][0].Lease, Task: identifier.TaskRef{Job: "q/s", Step: 2}, Outcome: OutcomeStopped, Checkpoint: "odd"}}}})
	if j.Steps[2][0].Checkpoint != "" {
		t.Error("progress is kept for a step that saves none")
	}
}

// TestLateEndOfQueuedAttempt: a run counted lost ends well after all, while another of
// the same task is under way: that one is called back, and the task is done.
func TestLateEndOfQueuedAttempt(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/w", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	j, ref := f.store.Jobs["q/w"], identifier.TaskRef{Job: "q/w"}
	f.place("q/w", 0, []int{0}, "r5")
	first := j.Steps[0][0].Lease
	f.apply(0, &Command{LoseRunner: &LoseRunner{Runner: "r5", Incarnation: "a"}})
	f.place("q/w", 0, []int{0}, "r6")
	if id, _, ok := f.store.ResolveRun("r5", "a", identifier.TaskRef{Job: "q/w.0"}, 1); !ok || id != first {
		t.Errorf("run 1 is grant %d %v, want %d", id, ok, first)
	}
	if !f.store.AcceptsEnd("r5", "a", first, ref) {
		t.Error("the late end is no news")
	}
	second := j.Steps[0][0].Lease
	f.reportEnd("r5", "a", first, ref, OutcomeSuccess)
	if lease := f.store.Leases[second]; lease == nil || lease.RevokeReason != RevokeDoneElsewhere {
		t.Errorf("the other run: %+v", lease)
	}
	f.wantState("q/w", "running")
	f.reportEnd("r6", "a", second, ref, OutcomeStopped)
	f.wantState("q/w", "well")
}

// TestConcurrentCatalogChanges: of two changes on one version only one is taken; the same one
// again is known, whatever came after it; what is invalid changes nothing.
func TestConcurrentCatalogChanges(t *testing.T) {
	f := newQueueFixture(t)
	change := func(base, version uint64, sum string) *catalog.Change {
		return &catalog.Change{Base: base, Version: version, Checksum: sum, Queues: []catalog.Queue{{Name: sum, Host: "h", Prefix: "/" + sum, Pool: "x", Timeout: 1}}}
	}
	f.apply(200, &Command{ChangeCatalog: change(3, 7, "a")})
	f.apply(412, &Command{ChangeCatalog: change(3, 9, "b")})
	f.apply(200, &Command{ChangeCatalog: change(7, 8, "c")})
	f.apply(200, &Command{ChangeCatalog: change(3, 7, "a")})
	f.apply(412, &Command{ChangeCatalog: change(3, 7, "other")})
	f.apply(422, &Command{ChangeCatalog: change(8, 8, "d")})
	bad := change(8, 12, "e")
	bad.Queues[0].Pool = "nowhere"
	f.apply(422, &Command{ChangeCatalog: bad})
	same := change(8, 12, "f")
	same.Queues[0].Prefix = "/a"
	f.apply(422, &Command{ChangeCatalog: same})
	if c := f.store.Catalog; c.Version != 8 || len(c.Queues) != 3 || c.Queue("b") != nil || c.Queue("e") != nil {
		t.Errorf("in force: %+v", c)
	}
}

// TestPreemptedMayPreempt: work pushed out by displaced work of a dearer kind may push in its
// turn, as long as the closing lasts.
func TestPreemptedMayPreempt(t *testing.T) {
	f := newFixture(t, `{"a.onOutage":"push","a.weight":1}`)
	f.store.Level = CatalogLevel
	f.submit("a/x", "a", job.Step{Name: "s", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 1})
	f.place("a/x", 0, []int{0}, "r1")
	f.apply(200, &Command{StartDrain: &StartDrain{Domain: "north"}})
	for _, c := range f.store.Drains {
		c.PreflightDone, c.Fits = true, false
	}
	lease := f.store.Jobs["a/x"].Steps[0][0].Lease
	f.apply(0, &Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{lease}, Reason: RevokePreempted}})
	f.reportEnd("r1", "a", lease, identifier.TaskRef{Job: "a/x"}, OutcomeStopped)
	if c := f.store.Jobs["a/x"].Steps[0][0].DisplacedBy; c == "" {
		t.Error("what was pushed out has lost its right to push")
	}
}
