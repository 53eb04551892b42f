package state

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// TestLateEndOfLostLease checks that a success reported after its lease was counted lost
// completes the task and revokes the attempt that replaced it. An end of a lease that the
// task never had has no effect.
func TestLateEndOfLostLease(t *testing.T) {
	f := newFixture(t, `{"keep.onLoss":"hold"}`)
	ref := identifier.TaskRef{Job: "a/x"}
	f.submit("a/x", "default", singleTaskStep(1))
	f.place("a/x", 0, []int{0}, "r1")
	f.loseRunner("r1")
	f.wantState("a/x", "waiting")
	f.place("a/x", 0, []int{0}, "r2")
	f.reportEnd("r1", "a", 77, ref, OutcomeSuccess)
	f.wantState("a/x", "running")
	f.reportEnd("r1", "a", 1, ref, OutcomeSuccess)
	lease, task := f.store.Leases[2], f.firstTask("a/x")
	if lease.RevokeReason != RevokeDoneElsewhere || task.State != Succeeded {
		t.Fatalf("lease %+v, task %+v", lease, task)
	}
	f.wantState("a/x", "running")
	f.reportEnd("r2", "a", 2, ref, OutcomeStopped)
	f.wantState("a/x", "well")

	f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(1, "a", false, 0)})
	f.submit("a/h", "keep", singleTaskStep(1))
	f.place("a/h", 0, []int{0}, "r1")
	f.loseRunner("r1")
	f.place("a/h", 0, []int{0}, "r2")
	if state := f.firstTask("a/h").State; state != AwaitingRunner {
		t.Fatalf("the task that awaits its runner is %s", state)
	}
	f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(1, "b", false, 0)})
	if state := f.firstTask("a/h").State; state != Waiting {
		t.Fatalf("after a new incarnation reported, the task that awaited the runner is %s", state)
	}
	f.apply(http.StatusConflict, &Command{ReportRunner: f.runnerReport(1, "a", false, 0)})
}

// TestLateEndOfQueuedAttempt checks that a success reported for an attempt that was
// counted lost completes the task and revokes the open attempt that replaced it, for a
// job of a queue.
func TestLateEndOfQueuedAttempt(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/w", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	ref := identifier.TaskRef{Job: "q/w"}
	f.place("q/w", 0, []int{0}, "r5")
	first := f.firstTask("q/w").Lease
	f.loseRunner("r5")
	f.place("q/w", 0, []int{0}, "r6")
	if id, _, ok := f.store.ResolveRun("r5", "a", identifier.TaskRef{Job: "q/w.0"}, 1); !ok || id != first {
		t.Errorf("attempt 1 has lease %d %v, want %d", id, ok, first)
	}
	if !f.store.AcceptsEnd("r5", "a", first, ref) {
		t.Error("the late end is not accepted")
	}
	second := f.firstTask("q/w").Lease
	f.reportEnd("r5", "a", first, ref, OutcomeSuccess)
	if lease := f.store.Leases[second]; lease == nil || lease.RevokeReason != RevokeDoneElsewhere {
		t.Errorf("the lease of the replacement attempt is %+v", lease)
	}
	f.wantState("q/w", "running")
	f.reportEnd("r6", "a", second, ref, OutcomeStopped)
	f.wantState("q/w", "well")
}

// TestGangIsRevokedAndPlacedTogether checks that when one member is revoked or ends, for
// whatever reason, all members are revoked, and that none is placed before all are
// waiting.
func TestGangIsRevokedAndPlacedTogether(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeStopped, OutcomeDefect, OutcomeLeaseLapsed} {
		f := newFixture(t, `{"x.weight":1}`)
		step := gangStep(3, 2)
		step.MaxDefects = 5
		f.submit("a/g", "default", step)
		f.place("a/g", 0, []int{0, 1, 2}, "r1", "r2", "r3")
		f.apply(0, &Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{1}, Reason: RevokeStartUnconfirmed}})
		for id := identifier.LeaseID(1); id <= 3; id++ {
			if f.store.Leases[id].RevokeReason == "" {
				t.Fatalf("%s: member %d was not revoked", outcome, id)
			}
		}
		f.reportEnd("r1", "a", 1, identifier.TaskRef{Job: "a/g"}, outcome)
		f.place("a/g", 0, []int{0}, "r1")
		f.reportEnd("r2", "a", 2, identifier.TaskRef{Job: "a/g", Num: 1}, OutcomeStopped)
		f.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(f.store.Leases); n != 1 {
			t.Fatalf("%s: part of a gang was placed, %d leases", outcome, n)
		}
		f.reportEnd("r3", "a", 3, identifier.TaskRef{Job: "a/g", Num: 2}, OutcomeSuccess)
		f.place("a/g", 0, []int{0, 1}, "r1", "r2")
		if n := len(f.store.Leases); n != 2 {
			t.Fatalf("%s: the rest of the gang was not placed, %d leases", outcome, n)
		}
	}
}

// TestGangSucceedsTogether checks that the first member of a queue's gang to succeed
// completes the step for all members, and that the job ends once all members have
// reported their ends.
func TestGangSucceedsTogether(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/g", job.Spec{Steps: []job.Step{
		{Tasks: 2, Gang: true},
		{Tasks: 1, After: []string{"s0"}},
	}})
	f.place("q/g", 1, []int{0}, "r5")
	f.place("q/g", 0, []int{0, 1}, "r5", "r6")
	j := f.store.Jobs["q/g"]
	if f.openLeases("q/g") != 2 {
		t.Fatalf("%d open leases, want those of the gang", f.openLeases("q/g"))
	}
	other := j.Steps[0][1].Lease
	f.reportEnd("r5", "a", j.Steps[0][0].Lease, identifier.TaskRef{Job: "q/g"}, OutcomeSuccess)
	if !j.DependenciesMet(1) {
		t.Error("a gang that succeeded delays the next step")
	}
	f.reportEnd("r6", "a", other, identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeGangBroken)
	if state := j.Steps[0][1].State; state != Succeeded {
		t.Errorf("the other member is %s", state)
	}
	f.place("q/g", 1, []int{0}, "r5")
	f.reportEnd("r5", "a", j.Steps[1][0].Lease, identifier.TaskRef{Job: "q/g", Step: 1}, OutcomeSuccess)
	f.wantState("q/g", "well")
}

// TestPreemptedMayPreempt checks that a task that was preempted by displaced work may in
// turn preempt cheaper work, as long as the drain lasts.
func TestPreemptedMayPreempt(t *testing.T) {
	f := newFixture(t, `{"a.onOutage":"push","a.weight":1}`)
	f.store.Level = CatalogLevel
	f.submit("a/x", "a", singleTaskStep(1))
	f.place("a/x", 0, []int{0}, "r1")
	f.apply(http.StatusOK, &Command{StartDrain: &StartDrain{Domain: "north"}})
	for _, drain := range f.store.Drains {
		drain.PreflightDone = true
		drain.Fits = false
	}
	lease := f.firstTask("a/x").Lease
	f.apply(0, &Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{lease}, Reason: RevokePreempted}})
	f.reportEnd("r1", "a", lease, identifier.TaskRef{Job: "a/x"}, OutcomeStopped)
	if f.firstTask("a/x").DisplacedBy == "" {
		t.Error("a preempted task lost its right to preempt")
	}
}
