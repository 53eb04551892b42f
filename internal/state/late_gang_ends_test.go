package state

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// lostGang returns a fixture at the given level with a job q/g, the first attempt of whose
// gang of three was counted lost on r5, r6 and r7, and the leases of that attempt.
func lostGang(t *testing.T, level uint16) (f *fixture, leases []identifier.LeaseID) {
	t.Helper()
	f = newQueueFixture(t)
	f.store.Level = level
	f.submitToQueue("q/g", job.Spec{Steps: []job.Step{{Tasks: 3, Gang: true}}})
	f.place("q/g", 0, []int{0, 1, 2}, "r5", "r6", "r7")
	for _, task := range f.store.Jobs["q/g"].Steps[0] {
		leases = append(leases, task.Lease)
	}
	f.loseRunner("r5")
	f.loseRunner("r6")
	f.loseRunner("r7")
	return f, leases
}

// returnRunners lets r5, r6 and r7 report again, as the same incarnations.
func (f *fixture) returnRunners() {
	f.Helper()
	for i := 5; i <= 7; i++ {
		report := f.runnerReport(i, "a", false, 0)
		report.Pool = "x"
		f.apply(http.StatusOK, &Command{ReportRunner: report})
	}
}

// TestLateGangSuccess guards against a gang of which only one member counts as done after
// a late success: the rest was then placed, and waited for its missing members, for good.
func TestLateGangSuccess(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		f, leases := lostGang(t, SupportedLevel)
		if replaced {
			f.returnRunners()
			f.place("q/g", 0, []int{0, 1, 2}, "r5", "r6", "r7")
			if f.openLeases("q/g") != 3 {
				t.Fatal("the gang was not placed again")
			}
		}
		f.reportEnd("r6", "a", leases[1], identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeSuccess)
		for num, task := range f.store.Jobs["q/g"].Steps[0] {
			if task.State != Succeeded {
				t.Errorf("member %d is %s after the late success of another", num, task.State)
			}
		}
		for _, lease := range f.store.Leases {
			if lease.RevokeReason != RevokeDoneElsewhere {
				t.Errorf("a replacement's lease is not revoked: %+v", lease)
			}
		}
	}
}

// TestHalfEndedGangOnRaise checks that a gang that an earlier version left with some of
// its members succeeded is completed when the level rises.
func TestHalfEndedGangOnRaise(t *testing.T) {
	f, leases := lostGang(t, TenantLevel)
	f.reportEnd("r6", "a", leases[1], identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeSuccess)
	f.place("q/g", 0, []int{0, 2}, "r8", "r8")
	f.wantState("q/g", "running")
	f.apply(0, &Command{RaiseLevel: &RaiseLevel{Level: SupportedLevel}})
	for _, id := range f.store.Runners["r8"].LeaseIDs() {
		f.reportEnd("r8", "a", id, f.store.Leases[id].Task, OutcomeGangIncomplete)
	}
	f.wantState("q/g", "well")
}

// TestLateGangDefectCountsOnce guards against a job that is shown as failed too early: the
// late defects of one attempt of a gang were counted once for each member. A defect of
// another attempt counts, in whatever order they are reported.
func TestLateGangDefectCountsOnce(t *testing.T) {
	f, leases := lostGang(t, SupportedLevel)
	report := func(runner identifier.Runner, member int) {
		f.reportEnd(runner, "a", leases[member], identifier.TaskRef{Job: "q/g", Num: member}, OutcomeDefect)
	}
	report("r5", 0)
	report("r6", 1)
	f.wantState("q/g", "waiting")
	if defects := f.firstTask("q/g").Defects; defects != 1 {
		t.Errorf("%d defects counted of one attempt", defects)
	}
	f.reload()
	f.returnRunners()
	f.place("q/g", 0, []int{0, 1, 2}, "r5", "r6", "r7")
	report("r7", 2)
	f.wantState("q/g", "running")
	second := f.store.Leases[f.firstTask("q/g").Lease]
	f.reportEnd("r5", "a", second.ID, second.Task, OutcomeDefect)
	f.wantState("q/g", "failing")
}

// TestLateDefectAfterLaterAttempt checks that a late defect counts although a later attempt
// has failed before, and that an open lease's defect and a late one of the same attempt of a
// gang count once.
func TestLateDefectAfterLaterAttempt(t *testing.T) {
	f, leases := lostGang(t, SupportedLevel)
	f.returnRunners()
	f.store.Jobs["q/g"].Terms.MaxAttempts = 3
	f.place("q/g", 0, []int{0, 1, 2}, "r5", "r6", "r7")
	members := f.store.Jobs["q/g"].Steps[0]
	secondLeases := []identifier.LeaseID{members[0].Lease, members[1].Lease}
	f.reportEnd("r5", "a", secondLeases[0], identifier.TaskRef{Job: "q/g"}, OutcomeDefect)
	f.loseRunner("r6")
	f.reportEnd("r6", "a", secondLeases[1], identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeDefect)
	if defects := f.firstTask("q/g").Defects; defects != 1 {
		t.Errorf("%d defects counted of the second attempt", defects)
	}
	f.reportEnd("r6", "a", leases[1], identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeDefect)
	if defects := f.firstTask("q/g").Defects; defects != 2 {
		t.Errorf("%d defects counted of two attempts", defects)
	}
}

// TestDefectsOnRaise checks that the attempt that an earlier level counted last is not counted
// again after the level has risen.
func TestDefectsOnRaise(t *testing.T) {
	f, _ := lostGang(t, TenantLevel)
	f.returnRunners()
	f.place("q/g", 0, []int{0, 1, 2}, "r5", "r6", "r7")
	members := f.store.Jobs["q/g"].Steps[0]
	second := members[1].Lease
	f.reportEnd("r5", "a", members[0].Lease, identifier.TaskRef{Job: "q/g"}, OutcomeDefect)
	f.apply(0, &Command{RaiseLevel: &RaiseLevel{Level: SupportedLevel}})
	f.reportEnd("r6", "a", second, identifier.TaskRef{Job: "q/g", Num: 1}, OutcomeDefect)
	f.wantState("q/g", "running")
	if defects := f.firstTask("q/g").Defects; defects != 1 {
		t.Errorf("%d defects counted of one attempt", defects)
	}
}
