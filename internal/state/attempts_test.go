package state

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// TestOnlyDefectsCount checks that only reported defects count against the task's allowed
// defects.
func TestOnlyDefectsCount(t *testing.T) {
	f := newFixture(t, `{"x.weight":1}`)
	step := singleTaskStep(1)
	step.MaxDefects = 2
	f.submit("a/x", "default", step)
	ref := identifier.TaskRef{Job: "a/x"}
	lease := identifier.LeaseID(0)
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

// TestQueueAttempts checks that a task is placed until as many of its attempts have
// failed as its queue allows. Other ends do not count, and a failed attempt of a gang
// counts once, whichever members report it.
func TestQueueAttempts(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/j", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	ref := identifier.TaskRef{Job: "q/j"}
	for i, outcome := range []Outcome{
		OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeRejected, OutcomeGangIncomplete, OutcomeGangBroken,
	} {
		f.place("q/j", 0, []int{0}, "r5")
		lease := f.firstTask("q/j").Lease
		if attempt := f.store.Leases[lease].Attempt; attempt != uint64(i+1) {
			t.Errorf("attempt %d is numbered %d", i+1, attempt)
		}
		f.reportEnd("r5", "a", lease, ref, outcome)
	}
	f.wantState("q/j", "waiting")
	f.place("q/j", 0, []int{0}, "r5")
	f.reportEnd("r5", "a", f.firstTask("q/j").Lease, ref, OutcomeDefect)
	f.wantState("q/j", "failed")
	f.place("q/j", 0, []int{0}, "r5")
	if f.openLeases("q/j") > 0 {
		t.Error("the task was placed after its last attempt")
	}

	f.submitToQueue("q/g", job.Spec{Steps: []job.Step{{Tasks: 2, Gang: true}}})
	for attempt := 1; attempt <= 2; attempt++ {
		f.place("q/g", 0, []int{0, 1}, "r5", "r6")
		j := f.store.Jobs["q/g"]
		first, second := f.store.Leases[j.Steps[0][0].Lease], f.store.Leases[j.Steps[0][1].Lease]
		if first.Attempt != uint64(attempt) || second.Attempt != uint64(attempt) {
			t.Errorf("the members of attempt %d are numbered %d and %d", attempt, first.Attempt, second.Attempt)
		}
		f.reportEnd("r5", "a", first.ID, first.Task, OutcomeDefect)
		f.reportEnd("r6", "a", second.ID, second.Task, OutcomeDefect)
		if attempt == 1 && j.Failure != "" {
			t.Error("one failed attempt of a gang counted twice")
		}
	}
	f.wantState("q/g", "failed")
}

// TestServiceRestarts checks that a service is placed again however it ends, until its
// job is cancelled.
func TestServiceRestarts(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/l", job.Spec{Steps: []job.Step{{Tasks: 1, Service: true}}})
	for _, outcome := range []Outcome{OutcomeDefect, OutcomeDefect, OutcomeDefect, OutcomeSuccess, OutcomeLeaseLapsed} {
		f.place("q/l", 0, []int{0}, "r5")
		f.reportEnd("r5", "a", f.firstTask("q/l").Lease, identifier.TaskRef{Job: "q/l"}, outcome)
		if state := f.firstTask("q/l").State; state != Waiting {
			t.Fatalf("after %s the task is %s", outcome, state)
		}
	}
	f.apply(http.StatusOK, &Command{CancelJob: &CancelJob{Key: "q/l"}})
	f.wantState("q/l", "cancelled")
}

// TestCheckpoints checks that a checkpoint reported with an end, or the last one of a
// lost runner, is passed to the next attempt of the same task or gang, and to no other
// task.
func TestCheckpoints(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/s", job.Spec{Steps: []job.Step{
		{Tasks: 2, Checkpoints: true},
		{Tasks: 2, Checkpoints: true, Gang: true},
		{Tasks: 1},
	}})
	j := f.store.Jobs["q/s"]
	stopAt := func(runner identifier.Runner, ref identifier.TaskRef, checkpoint string) {
		t.Helper()
		end := End{Lease: j.Task(ref).Lease, Task: ref, Outcome: OutcomeStopped, Checkpoint: checkpoint}
		f.apply(0, &Command{ReportEnds: &ReportEnds{Runner: runner, Incarnation: "a", Ends: []End{end}}})
	}
	f.place("q/s", 0, []int{0}, "r5")
	stopAt("r5", identifier.TaskRef{Job: "q/s"}, "half")
	if j.Steps[0][0].Checkpoint != "half" || j.Steps[0][1].Checkpoint != "" {
		t.Errorf("saved %q and %q", j.Steps[0][0].Checkpoint, j.Steps[0][1].Checkpoint)
	}
	f.place("q/s", 1, []int{0, 1}, "r5", "r6")
	last := Checkpoint{Lease: j.Steps[1][1].Lease, Data: "third"}
	f.apply(0, &Command{LoseRunner: &LoseRunner{Runner: "r6", Incarnation: "a", Checkpoints: []Checkpoint{last}}})
	if j.Steps[1][0].Checkpoint != "third" || j.Steps[1][1].Checkpoint != "third" {
		t.Errorf("the gang has %q and %q", j.Steps[1][0].Checkpoint, j.Steps[1][1].Checkpoint)
	}
	f.place("q/s", 2, []int{0}, "r7")
	stopAt("r7", identifier.TaskRef{Job: "q/s", Step: 2}, "odd")
	if j.Steps[2][0].Checkpoint != "" {
		t.Error("a checkpoint is kept for a step without checkpoints")
	}
}
