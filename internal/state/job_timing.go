package state

import (
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// LossCause says why an attempt came to nothing.
type LossCause int

const (
	// LostDefect attempts failed.
	LostDefect LossCause = iota
	// LostSlow attempts were revoked because their runner was slow; only servers of before
	// did so.
	LostSlow
	// LostStalled attempts were revoked because they made no progress.
	LostStalled
	// LostPreempted attempts made way for other work.
	LostPreempted
	// LostDrained attempts made way for a drain.
	LostDrained
	// LostRunner attempts were on a runner that was counted lost, or that lost its lease.
	LostRunner
	// LostGang attempts ended because another member of their gang did.
	LostGang
	// LostUnstarted attempts were refused, or never confirmed.
	LostUnstarted
	// LostOther attempts were revoked for any other reason.
	LostOther
	// LossCauses is the number of causes.
	LossCauses
)

// lossCauseNames are the names of the causes in logs and documents.
var lossCauseNames = [LossCauses]string{
	"failed", "slow", "stalled", "preempted", "drained", "runnerLost", "gang", "unstarted", "other",
}

func (c LossCause) String() string { return lossCauseNames[c] }

// lossCause is the cause for which an attempt that did not succeed was in vain.
func lossCause(lease *Lease, outcome Outcome) LossCause {
	switch outcome {
	case OutcomeDefect:
		return LostDefect
	case OutcomeRejected:
		return LostUnstarted
	case OutcomeGangBroken, OutcomeGangIncomplete:
		return LostGang
	case OutcomeLeaseLapsed, outcomeLost:
		return LostRunner
	}
	switch lease.RevokeReason {
	case RevokeSlow:
		return LostSlow
	case RevokeStalled:
		return LostStalled
	case RevokePreempted:
		return LostPreempted
	case RevokeGangMemberGone, RevokeGangMemberSilent:
		return LostGang
	case RevokeStartUnconfirmed:
		return LostUnstarted
	case "":
		return LostOther
	}
	if strings.HasPrefix(lease.RevokeReason, RevokeDrainPrefix) {
		return LostDrained
	}
	return LostOther
}

// Timing is where the time of a task went, or of the tasks that a job had to wait for, in
// milliseconds of cluster time.
type Timing struct {
	// Waiting is the time that a task was ready and had no lease, Running that of the
	// attempt that succeeded, and Lost that of the attempts that did not, by cause.
	Waiting clock.Millis
	Running clock.Millis
	Lost    [LossCauses]clock.Millis
	// Attempts is the number of leases, Distant that of those outside the preferred rack
	// of the step.
	Attempts int
	Distant  int
}

// Plus adds two timings up.
func (t Timing) Plus(other Timing) Timing {
	t.Waiting += other.Waiting
	t.Running += other.Running
	for cause := range t.Lost {
		t.Lost[cause] += other.Lost[cause]
	}
	t.Attempts += other.Attempts
	t.Distant += other.Distant
	return t
}

// TotalLost is the time of all attempts that did not succeed.
func (t Timing) TotalLost() clock.Millis {
	var total clock.Millis
	for _, lost := range t.Lost {
		total += lost
	}
	return total
}

// taskTiming is the timing of a task that has not ended.
type taskTiming struct {
	Timing
	// waitingSince is when its last attempt ended, 0 before the first.
	waitingSince clock.ClusterTime
}

// StepTiming is the timing of the task of a step that ended last: the one that whatever
// comes after the step had to wait for.
type StepTiming struct {
	Timing
	Task    int
	EndedAt clock.ClusterTime
}

// jobTiming is what this process has seen of a job's time. It is derived from the entries
// that the process applied: a snapshot does not have it.
type jobTiming struct {
	tasks [][]taskTiming
	steps []StepTiming
}

func newJobTiming(j *Job) *jobTiming {
	timing := &jobTiming{steps: make([]StepTiming, len(j.Spec.Steps))}
	for i := range j.Spec.Steps {
		timing.tasks = append(timing.tasks, make([]taskTiming, j.Spec.Steps[i].Tasks))
	}
	return timing
}

// Timing returns the timings of the job's ended steps, and their sum over the chain of
// steps that ended last. It is not ok for a job that this process has not followed from its
// acceptance.
func (j *Job) Timing() (steps []StepTiming, chain Timing, ok bool) {
	if j.timing == nil || len(j.Spec.Steps) == 0 {
		return nil, Timing{}, false
	}
	step := j.timing.lastStep(nil)
	for step >= 0 {
		chain = chain.Plus(j.timing.steps[step].Timing)
		after := j.Spec.Steps[step].After
		step = j.timing.lastStep(func(i int) bool { return slices.Contains(after, j.Spec.Steps[i].Name) })
		if len(after) == 0 {
			break
		}
	}
	return j.timing.steps, chain, true
}

// lastStep is the step that ended last among those that the filter passes, -1 for none.
func (t *jobTiming) lastStep(passes func(step int) bool) int {
	last := -1
	for i := range t.steps {
		if t.steps[i].EndedAt == 0 || passes != nil && !passes(i) {
			continue
		}
		if last < 0 || t.steps[i].EndedAt > t.steps[last].EndedAt {
			last = i
		}
	}
	return last
}

// readyAt is when the tasks of a step could first be placed.
func (j *Job) readyAt(step int) clock.ClusterTime {
	ready := max(j.AcceptedAt, j.StartAt)
	after := j.Spec.Steps[step].After
	for i := range j.Spec.Steps {
		if slices.Contains(after, j.Spec.Steps[i].Name) {
			ready = max(ready, j.timing.steps[i].EndedAt)
		}
	}
	return ready
}

// recordLeaseOpened notes that a task was given a lease.
func (j *Job) recordLeaseOpened(lease *Lease, distant bool) {
	if j.timing == nil || j.timing.tasks == nil {
		return
	}
	task := &j.timing.tasks[lease.Task.Step][lease.Task.Num]
	since := task.waitingSince
	if since == 0 {
		since = j.readyAt(lease.Task.Step)
	}
	task.Waiting += lease.OpenedAt.Since(since)
	task.Attempts++
	if distant {
		task.Distant++
	}
}

// recordLeaseEnded notes that an attempt of a task has ended.
func (j *Job) recordLeaseEnded(lease *Lease, outcome Outcome, now clock.ClusterTime) {
	if j.timing == nil || j.timing.tasks == nil {
		return
	}
	task := &j.timing.tasks[lease.Task.Step][lease.Task.Num]
	task.waitingSince = now
	if outcome == OutcomeSuccess {
		task.Running += now.Since(lease.OpenedAt)
		return
	}
	task.Lost[lossCause(lease, outcome)] += now.Since(lease.OpenedAt)
}

// recordTaskSucceeded notes that a task has succeeded. Of those that do so in one entry, the first
// stands for its step: it is the one that reported it.
func (j *Job) recordTaskSucceeded(ref identifier.TaskRef, now clock.ClusterTime) {
	if j.timing == nil || j.timing.tasks == nil {
		return
	}
	step := &j.timing.steps[ref.Step]
	if now > step.EndedAt {
		*step = StepTiming{Timing: j.timing.tasks[ref.Step][ref.Num].Timing, Task: ref.Num, EndedAt: now}
	}
}

// dropTaskTimings drops what is no longer needed once the job has ended.
func (j *Job) dropTaskTimings() {
	if j.timing != nil {
		j.timing.tasks = nil
	}
}
