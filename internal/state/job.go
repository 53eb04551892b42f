package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Job is an accepted job and the state of each of its tasks.
type Job struct {
	Key identifier.JobKey `json:"key"`
	// Seq numbers the jobs in order of acceptance.
	Seq        uint64            `json:"seq"`
	AcceptedAt clock.ClusterTime `json:"at"`
	// StartAt is the earliest time of the first placement, 0 for immediately.
	StartAt clock.ClusterTime `json:"start,omitempty"`
	// Checksum is the checksum of Spec as submitted. It distinguishes a resend from
	// another job of the same key.
	Checksum string   `json:"sum"`
	Spec     job.Spec `json:"spec"`
	// Steps holds the tasks of each step, indexed by task number.
	Steps [][]*Task `json:"steps"`
	// Cancelled and Failure are set while the job is being ended; Failure is a
	// human-readable reason.
	Cancelled bool   `json:"cancel,omitempty"`
	Failure   string `json:"fail,omitempty"`
	// EndState and EndedAt are set once the job has ended.
	EndState TaskState         `json:"end,omitempty"`
	EndedAt  clock.ClusterTime `json:"ended,omitempty"`
	// Terms are the terms of the job's queue, nil for a job of a row.
	Terms *QueueTerms `json:"terms,omitempty"`
	// Occurrences is the number of occurrences of a repeated job that have been started.
	// Each is a separate job whose Parent is this one.
	Occurrences int64             `json:"times,omitempty"`
	Parent      identifier.JobKey `json:"parent,omitempty"`

	// The following fields are derived, see rebuildIndexes.

	// openOccurrences is the number of occurrences that have not ended.
	openOccurrences int
	// stepCounts holds the task counts of each step.
	stepCounts []stepCount
	// openLeases is the number of open leases of the job's tasks.
	openLeases int
	// displacedTasks is the number of tasks displaced by a drain.
	displacedTasks int
	// queue is the queue of pending jobs that holds the job, nil if the job is not
	// pending.
	queue *jobQueue
	// overShare is set if the job's tenant was submitting jobs faster than its weight
	// allows when this job was submitted. It is not restored: a job read from a snapshot
	// counts as within the share.
	overShare bool
	// timing records how the job's time was spent, nil unless this process has followed
	// the job from its start.
	timing *jobTiming
}

// resetDerived clears the fields that rebuildIndexes derives.
func (j *Job) resetDerived() {
	j.stepCounts = make([]stepCount, len(j.Steps))
	j.openOccurrences = 0
	j.openLeases = 0
	j.displacedTasks = 0
	j.queue = nil
	j.timing = nil
}

// stepCount counts the tasks of one step by their state. Succeeded tasks are also counted
// as ended.
type stepCount struct {
	waiting   int
	placed    int
	succeeded int
	ended     int
}

func (c *stepCount) add(taskState TaskState, delta int) {
	switch {
	case taskState == Waiting:
		c.waiting += delta
	case taskState == Placed:
		c.placed += delta
	case taskState.Ended():
		c.ended += delta
		if taskState == Succeeded {
			c.succeeded += delta
		}
	}
}

// Task returns the task with the given step and number, or nil if the job has no such
// task. The job key in ref is ignored.
func (j *Job) Task(ref identifier.TaskRef) *Task {
	if ref.Step < 0 || ref.Step >= len(j.Steps) {
		return nil
	}
	if ref.Num < 0 || ref.Num >= len(j.Steps[ref.Step]) {
		return nil
	}
	return j.Steps[ref.Step][ref.Num]
}

// DependenciesMet reports whether all tasks of the steps that this step depends on have
// succeeded.
func (j *Job) DependenciesMet(step int) bool {
	for _, name := range j.Spec.Steps[step].After {
		for i := range j.Spec.Steps {
			if j.Spec.Steps[i].Name == name && !j.stepSucceeded(i) {
				return false
			}
		}
	}
	return true
}

func (j *Job) stepSucceeded(step int) bool {
	return j.stepCounts[step].succeeded >= len(j.Steps[step])
}

// Ready reports whether the step has tasks that can be placed now. A gang is ready only
// if none of its members has a lease, so that all members start together.
func (j *Job) Ready(step int) bool {
	counts := j.stepCounts[step]
	if counts.waiting == 0 || j.ending() {
		return false
	}
	if j.Spec.Steps[step].Gang && (counts.placed > 0 || counts.waiting+counts.ended < len(j.Steps[step])) {
		return false
	}
	return j.DependenciesMet(step)
}

// anyStepReady reports whether any step has tasks that can be placed now.
func (j *Job) anyStepReady() bool {
	for step := range j.Steps {
		if j.Ready(step) {
			return true
		}
	}
	return false
}

// OverShare reports whether the job exceeds the share that its tenant's weight allows.
// Such a job only gets capacity that jobs within their share leave free.
func (j *Job) OverShare() bool { return j.overShare }

// ending reports whether the job is cancelled or failing, so that no more of its tasks
// may be placed.
func (j *Job) ending() bool { return j.Cancelled || j.Failure != "" }

// RemainingCriticalPath returns the expected duration, in milliseconds, of the longest
// chain of steps that have not succeeded.
func (j *Job) RemainingCriticalPath() clock.Millis {
	return j.RemainingCriticalPathBy(func(step *job.Step) clock.Millis { return step.ExpectedRun })
}

// RemainingCriticalPathBy is like RemainingCriticalPath, with the duration of each step
// given by run.
func (j *Job) RemainingCriticalPathBy(run func(step *job.Step) clock.Millis) clock.Millis {
	if len(j.Spec.Steps) == 1 {
		return run(&j.Spec.Steps[0])
	}
	return j.Spec.CriticalPathWithout(j.stepSucceeded, run)
}

// WaitingTasks returns the numbers of the step's waiting tasks.
func (j *Job) WaitingTasks(step int) []int {
	var nums []int
	for num, task := range j.Steps[step] {
		if task.State == Waiting {
			nums = append(nums, num)
		}
	}
	return nums
}

// States of a job that has not ended. The state of an ended job is a TaskState.
const (
	jobWaiting    = "waiting"
	jobRunning    = "running"
	jobCancelling = "cancelling"
	jobFailing    = "failing"
)

// State returns the state of the job as a single word.
func (j *Job) State() string {
	switch {
	case j.EndState != "":
		return string(j.EndState)
	case j.Cancelled:
		return jobCancelling
	case j.Failure != "":
		return jobFailing
	case j.openLeases > 0 || j.Occurrences > 0:
		return jobRunning
	}
	return jobWaiting
}
