package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Job is an accepted job and the state of each of its tasks.
type Job struct {
	Key identifier.JobKey `json:"key"`
	// Seq numbers the jobs in the order in which they were accepted.
	Seq        uint64            `json:"seq"`
	AcceptedAt clock.ClusterTime `json:"at"`
	// StartAt is the earliest time of the first placement, 0 for at once.
	StartAt clock.ClusterTime `json:"start,omitempty"`
	// Checksum is the checksum of Spec as submitted, by which a resend is told from
	// another job of the same key.
	Checksum string   `json:"sum"`
	Spec     job.Spec `json:"spec"`
	// Steps has the tasks of each step, by their number.
	Steps [][]*Task `json:"steps"`
	// Cancelled and Failure say that the job is being ended; Failure is the reason,
	// for people.
	Cancelled bool   `json:"cancel,omitempty"`
	Failure   string `json:"fail,omitempty"`
	// EndState and EndedAt are set once the job has ended.
	EndState TaskState         `json:"end,omitempty"`
	EndedAt  clock.ClusterTime `json:"ended,omitempty"`
	// Terms are those of the job's queue, nil for a job of a row.
	Terms *QueueTerms `json:"terms,omitempty"`
	// Occurrences is the number of occurrences of a repeated job that were started.
	// Each is a job of its own, whose Parent is this one.
	Occurrences int64             `json:"times,omitempty"`
	Parent      identifier.JobKey `json:"parent,omitempty"`

	// The rest is derived, see rebuildIndexes.

	// openOccurrences is the number of occurrences that have not ended.
	openOccurrences int
	// stepCounts has the counts of each step's tasks.
	stepCounts []stepCount
	// openLeases is the number of open leases of the job's tasks.
	openLeases int
	// displacedTasks is the number of tasks that a drain displaced.
	displacedTasks int
	// queue is the queue of pending jobs that the job is in, nil for none.
	queue *jobQueue
	// overShare says that the job's tenant handed in more than its weight just then. It is
	// not derived again: a job that comes by a snapshot counts as within the share.
	overShare bool
	// timing is where the job's time went, nil when that was not followed from its start.
	timing *jobTiming
}

// resetDerived clears what rebuildIndexes derives.
func (j *Job) resetDerived() {
	j.stepCounts = make([]stepCount, len(j.Steps))
	j.openOccurrences = 0
	j.openLeases = 0
	j.displacedTasks = 0
	j.queue = nil
	j.timing = nil
}

// stepCount counts the tasks of one step by their state. Succeeded tasks are among
// the ended ones.
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

// Task finds a task by its step and number, nil when the job has no such task. The
// job named in ref is not compared.
func (j *Job) Task(ref identifier.TaskRef) *Task {
	if ref.Step < 0 || ref.Step >= len(j.Steps) {
		return nil
	}
	if ref.Num < 0 || ref.Num >= len(j.Steps[ref.Step]) {
		return nil
	}
	return j.Steps[ref.Step][ref.Num]
}

// DependenciesMet tells whether all tasks of the steps that this one comes after
// have succeeded.
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

// Ready tells whether the step has tasks to place now. A gang is ready when none of
// its members has a lease, so that all start together.
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

// anyStepReady tells whether any step has tasks to place now.
func (j *Job) anyStepReady() bool {
	for step := range j.Steps {
		if j.Ready(step) {
			return true
		}
	}
	return false
}

// OverShare tells whether the job is beyond what its tenant's weight entitles it to: it
// gets what the work within shares leaves free.
func (j *Job) OverShare() bool { return j.overShare }

// ending tells whether the job is cancelled or failing, so that none of its tasks is
// to be placed any more.
func (j *Job) ending() bool { return j.Cancelled || j.Failure != "" }

// RemainingCriticalPath is the expected duration, in milliseconds, of the longest chain
// of steps that have not succeeded.
func (j *Job) RemainingCriticalPath() clock.Millis {
	return j.RemainingCriticalPathBy(func(step *job.Step) clock.Millis { return step.ExpectedRun })
}

// RemainingCriticalPathBy is the same when a step takes as long as run says.
func (j *Job) RemainingCriticalPathBy(run func(step *job.Step) clock.Millis) clock.Millis {
	if len(j.Spec.Steps) == 1 {
		return run(&j.Spec.Steps[0])
	}
	return j.Spec.CriticalPathWithout(j.stepSucceeded, run)
}

// WaitingTasks lists the numbers of the step's waiting tasks.
func (j *Job) WaitingTasks(step int) []int {
	var nums []int
	for num, task := range j.Steps[step] {
		if task.State == Waiting {
			nums = append(nums, num)
		}
	}
	return nums
}

// The states of a job that has not ended. An ended job's state is that of a task.
const (
	jobWaiting    = "waiting"
	jobRunning    = "running"
	jobCancelling = "cancelling"
	jobFailing    = "failing"
)

// State is the state of the job in one word.
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
