package state

import (
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// endAt reports the end of a task's open lease at the given time.
func (f *fixture) endAt(at clock.ClusterTime, key identifier.JobKey, step, num int, outcome Outcome) {
	f.Helper()
	ref := identifier.TaskRef{Job: key, Step: step, Num: num}
	lease := f.store.Leases[f.store.Jobs[key].Task(ref).Lease]
	end := End{Lease: lease.ID, Task: ref, Outcome: outcome}
	f.apply(0, &Command{At: at, ReportEnds: &ReportEnds{Runner: lease.Runner, Incarnation: lease.Incarnation, Ends: []End{end}}})
}

// placeAt places tasks at the given time.
func (f *fixture) placeAt(at clock.ClusterTime, key identifier.JobKey, step int, nums []int, runners ...identifier.Runner) {
	f.Helper()
	placement := Placement{Job: key, Step: step, Tasks: nums, Runners: runners}
	f.apply(0, &Command{At: at, PlaceTasks: &PlaceTasks{Placements: []Placement{placement}}})
}

// TestJobTiming checks that the time of a job is that of the tasks it had to wait for:
// the task of each step that ended last, split into waiting, running, and lost attempts
// by cause.
func TestJobTiming(t *testing.T) {
	f := newQueueFixture(t)
	start := f.store.Now
	f.submitToQueue("q/j", job.Spec{Steps: []job.Step{
		{Tasks: 2, PreferredRack: "k1"},
		{Tasks: 1, After: []string{"s0"}},
	}})
	f.placeAt(start.Add(100), "q/j", 0, []int{0, 1}, "r5", "r6")
	f.endAt(start.Add(300), "q/j", 0, 0, OutcomeSuccess)
	f.endAt(start.Add(400), "q/j", 0, 1, OutcomeDefect)
	f.placeAt(start.Add(450), "q/j", 0, []int{1}, "r6")
	f.endAt(start.Add(1000), "q/j", 0, 1, OutcomeSuccess)
	f.placeAt(start.Add(1200), "q/j", 1, []int{0}, "r5")
	f.apply(0, &Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{4}, Reason: RevokeSlow}})
	f.endAt(start.Add(1500), "q/j", 1, 0, OutcomeStopped)
	f.placeAt(start.Add(1500), "q/j", 1, []int{0}, "r7")
	f.endAt(start.Add(2000), "q/j", 1, 0, OutcomeSuccess)

	steps, chain, ok := f.store.Jobs["q/j"].Timing()
	if !ok {
		t.Fatal("the timing is unknown")
	}
	want := Timing{Waiting: 100 + 50 + 200, Running: 550 + 500, Attempts: 4, Distant: 2}
	want.Lost[LostDefect] = 300
	want.Lost[LostSlow] = 300
	if chain != want {
		t.Errorf("the job's time is %+v, want %+v", chain, want)
	}
	if steps[0].Task != 1 || steps[0].EndedAt != start.Add(1000) {
		t.Errorf("the first step had to wait for %+v", steps[0])
	}
	if total := chain.Waiting + chain.Running + chain.TotalLost(); total != 2000 {
		t.Errorf("the parts add up to %d ms of 2000", total)
	}
	var ended []identifier.JobKey
	f.store.TakeEndedJobs(func(j *Job) { ended = append(ended, j.Key) })
	f.store.TakeEndedJobs(func(j *Job) { ended = append(ended, j.Key) })
	if len(ended) != 1 || ended[0] != "q/j" {
		t.Errorf("TakeEndedJobs visited %v, want q/j once", ended)
	}
}

// TestTimingAfterReload checks that a process that read a job from a snapshot reports its
// timing as unknown, and otherwise behaves like the other processes.
func TestTimingAfterReload(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/j", job.Spec{Steps: []job.Step{{Tasks: 1}}})
	f.reload()
	f.place("q/j", 0, []int{0}, "r5")
	f.endAt(f.store.Now.Add(10), "q/j", 0, 0, OutcomeSuccess)
	f.wantState("q/j", string(Succeeded))
	if _, _, ok := f.store.Jobs["q/j"].Timing(); ok {
		t.Error("a timing is reported for a job read from a snapshot")
	}
}

// TestLossCauses checks the loss cause of each way in which an attempt can fail to
// succeed.
func TestLossCauses(t *testing.T) {
	for _, c := range []struct {
		reason  string
		outcome Outcome
		want    LossCause
	}{
		{"", OutcomeDefect, LostDefect},
		{RevokeSlow, OutcomeStopped, LostSlow},
		{RevokeStalled, OutcomeStopped, LostStalled},
		{RevokePreempted, OutcomeStopped, LostPreempted},
		{RevokeDrainPrefix + "c-1", OutcomeStopped, LostDrained},
		{RevokeSlow, outcomeLost, LostRunner},
		{"", OutcomeLeaseLapsed, LostRunner},
		{"", OutcomeGangBroken, LostGang},
		{RevokeGangMemberGone, OutcomeStopped, LostGang},
		{RevokeStartUnconfirmed, OutcomeStopped, LostUnstarted},
		{"", OutcomeRejected, LostUnstarted},
		{RevokeDoneElsewhere, OutcomeStopped, LostOther},
	} {
		if have := lossCause(&Lease{RevokeReason: c.reason}, c.outcome); have != c.want {
			t.Errorf("%q, %s: %s, want %s", c.reason, c.outcome, have, c.want)
		}
	}
}
