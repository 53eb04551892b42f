package state

import (
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// LossCause is the reason why the work of an attempt was lost.
type LossCause int

const (
	// LostDefect attempts failed.
	LostDefect LossCause = iota
	// LostSlow attempts were revoked because their runner was slow; only earlier versions
	// did this.
	LostSlow
	// LostStalled attempts were revoked because they made no progress.
	LostStalled
	// LostPreempted attempts were preempted by other work.
	LostPreempted
	// LostDrained attempts were revoked by a drain.
	LostDrained
	// LostRunner attempts ran on a runner that was counted lost or whose lease lapsed.
	LostRunner
	// LostGang attempts ended because another member of their gang ended.
	LostGang
	// LostUnstarted attempts were refused by the runner, or their start was never
	// confirmed.
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

// lossCause returns the cause for which an attempt that did not succeed was lost.
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

// Timing breaks down the time of a task, or of the tasks that a job had to wait for, in
// milliseconds of cluster time.
type Timing struct {
	// Waiting is the time during which a task was ready and had no lease, Running the
	// duration of the attempt that succeeded, and Lost the duration of the other attempts
	// by cause.
	Waiting clock.Millis
	Running clock.Millis
	Lost    [LossCauses]clock.Millis
	// Attempts is the number of leases, and Distant the number of those outside the
	// preferred rack of the step.
	Attempts int
	Distant  int
}

// Plus returns the sum of two timings.
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

// TotalLost returns the total duration of the attempts that did not succeed.
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
	// waitingSince is when the last attempt ended, 0 before the first.
	waitingSince clock.ClusterTime
}

// StepTiming is the timing of the task of a step that ended last, which is the task that
// the steps after it had to wait for.
type StepTiming struct {
	Timing
	Task    int
	EndedAt clock.ClusterTime
}

// jobTiming is the timing of a job as observed by this process. It is derived from the
// log entries that the process applied and is not part of snapshots.
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
// steps that ended last. ok is false for a job that this process has not followed since
// its acceptance.
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

// lastStep returns the step that ended last among those accepted by the filter, or -1 if
// there is none.
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

// readyAt returns the earliest time at which the tasks of a step could be placed.
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

// recordLeaseOpened records that a task was given a lease.
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

// recordLeaseEnded records that an attempt of a task has ended.
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

// recordTaskSucceeded records that a task has succeeded. If several tasks of a step
// succeed in one entry, as the members of a gang do, the first one provides the timing of
// the step: it is the task whose success was reported.
func (j *Job) recordTaskSucceeded(ref identifier.TaskRef, now clock.ClusterTime) {
	if j.timing == nil || j.timing.tasks == nil {
		return
	}
	step := &j.timing.steps[ref.Step]
	if now > step.EndedAt {
		*step = StepTiming{Timing: j.timing.tasks[ref.Step][ref.Num].Timing, Task: ref.Num, EndedAt: now}
	}
}

// dropTaskTimings drops the timings of single tasks, which are not needed once the job
// has ended.
func (j *Job) dropTaskTimings() {
	if j.timing != nil {
		j.timing.tasks = nil
	}
}
