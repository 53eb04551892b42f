// A Job is an accepted job with the standing of each of its tasks. The
// counters per step are derived and let readiness be judged without a walk.

package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Job is an accepted job and the state of each of its tasks, by step and number.
// At is when it was accepted, Start the earliest time of its first placement (0
// for at once) and Ended the time of its end, all in cluster time. Sum is the
// checksum of Spec. Cancel and Fail say that it is being ended; End is set once
// it has ended.
type Job struct {
	Key        identifier.JobKey `json:"key"`
	Seq        uint64            `json:"seq"`
	AcceptedAt clock.ClusterTime `json:"at"`
	StartAt    clock.ClusterTime `json:"start,omitempty"`
	Checksum   string            `json:"sum"`
	Spec       job.Spec          `json:"spec"`
	Steps      [][]*Task         `json:"steps"`
	Cancelled  bool              `json:"cancel,omitempty"`
	Failure    string            `json:"fail,omitempty"`
	EndState   TaskState         `json:"end,omitempty"`
	EndedAt    clock.ClusterTime `json:"ended,omitempty"`
	// QueueTerms are those of the job's queue when it was accepted, nil for a job of
	// a pending row. Times counts the times of a repeated job that have come;
	// each is a job of its own, whose Parent is this one.
	Terms       *QueueTerms       `json:"terms,omitempty"`
	Occurrences int64             `json:"times,omitempty"`
	Parent      identifier.JobKey `json:"parent,omitempty"`
	// openOccurrences counts the times that have come and not ended.
	openOccurrences int

	stepCounts     []stepCount
	openLeases     int
	displacedTasks int
	queue          *jobQueue
}

// resetDerived clears what rebuildIndexes derives.
func (j *Job) resetDerived() {
	j.stepCounts = make([]stepCount, len(j.Steps))
	j.openOccurrences = 0
	j.openLeases = 0
	j.displacedTasks = 0
	j.queue = nil
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

// Task finds a task by step and number, nil when the job has no such task. The
// job named in r is not compared.
func (j *Job) Task(r identifier.TaskRef) *Task {
	if r.Step < 0 || r.Step >= len(j.Steps) || r.Num < 0 || r.Num >= len(j.Steps[r.Step]) {
		return nil
	}
	return j.Steps[r.Step][r.Num]
}

// DependenciesMet tells whether every step that this one comes after has ended well.
func (j *Job) DependenciesMet(step int) bool {
	for _, name := range j.Spec.Steps[step].After {
		for i := range j.Spec.Steps {
			if j.Spec.Steps[i].Name == name && j.stepCounts[i].succeeded < len(j.Steps[i]) {
				return false
			}
		}
	}
	return true
}

// Ready tells whether the step has tasks to place now. A gang waits until
// none of its members holds a grant, so that all start together.
func (j *Job) Ready(step int) bool {
	counts := j.stepCounts[step]
	if counts.waiting == 0 || j.Cancelled || j.Failure != "" {
		return false
	}
	if j.Spec.Steps[step].Gang && (counts.placed > 0 || counts.waiting+counts.ended < len(j.Steps[step])) {
		return false
	}
	return j.DependenciesMet(step)
}

// RemainingCriticalPath is the longest chain through the steps that are not done.
func (j *Job) RemainingCriticalPath() clock.Millis {
	var span clock.Millis
	steps := j.Spec.Steps
	if len(steps) == 1 {
		return steps[0].ExpectedRun
	}
	at := make([]clock.Millis, len(steps))
	for range steps {
		for i := range steps {
			if j.stepCounts[i].succeeded == len(j.Steps[i]) {
				continue
			}
			from := clock.Millis(0)
			for k := range steps {
				if at[k] > from && slices.Contains(steps[i].After, steps[k].Name) {
					from = at[k]
				}
			}
			at[i] = from + steps[i].ExpectedRun
			span = max(span, at[i])
		}
	}
	return span
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

// WaitingTasks lists the numbers of the step's waiting tasks.
func (j *Job) WaitingTasks(step int) []int {
	var nums []int
	for i, task := range j.Steps[step] {
		if task.State == Waiting {
			nums = append(nums, i)
		}
	}
	return nums
}

// State is the job's own standing in one word.
func (j *Job) State() string {
	switch {
	case j.EndState != "":
		return string(j.EndState)
	case j.Cancelled:
		return "cancelling"
	case j.Failure != "":
		return "failing"
	case j.openLeases > 0 || j.Occurrences > 0:
		return "running"
	}
	return "waiting"
}
