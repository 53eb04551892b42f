package invariants

import (
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// Final states of a job, as reported to clients.
const (
	JobSucceeded = "well"
	JobFailed    = "failed"
	JobCancelled = "cancelled"
)

// JobEnded reports whether a job state is final.
func JobEnded(state string) bool {
	return state == JobSucceeded || state == JobFailed || state == JobCancelled
}

// Job is what the clients know about a job. Times are in milliseconds, 0 for never.
type Job struct {
	Spec job.Spec
	// SubmittedAt is when the job was first submitted.
	SubmittedAt int64
	// AckedAt is when the job was first known to be accepted.
	AckedAt int64
	// CancelSent is set once a cancel was sent, whether acknowledged or not.
	CancelSent bool
	// CancelledAt is when a cancel was first acknowledged.
	CancelledAt int64
	// StartAt is the true time before which the job must not start.
	StartAt int64
	// EndState is the final state of the job, empty while it is not known to have ended.
	EndState string

	started bool
}

// JobStateReported records the state of an accepted job that a client read. state is
// empty unless the status of the response is 200.
func (c *Checker) JobStateReported(key identifier.JobKey, status int, state string) {
	j := c.Jobs[key]
	if status == http.StatusNotFound {
		c.Violate(JobStateIsTrue, "accepted job %s is not known", key)
		return
	}
	if j.EndState != "" && j.EndState != state {
		c.Violate(JobStateIsTrue, "job %s was %s and is now %s", key, j.EndState, state)
	}
	if !JobEnded(state) {
		return
	}
	j.EndState = state
	if runner := c.runnerOf(key, j); runner != "" {
		c.Violate(JobStateIsTrue, "job %s is said to be %s while a task of it runs on %s", key, state, runner)
	}
	switch {
	case state == JobCancelled && !j.CancelSent:
		c.Violate(JobStateIsTrue, "job %s is cancelled and nobody asked", key)
	case state == JobFailed:
		c.checkFailureCause(key, j)
	}
}

// checkFailureCause checks that some task of a failed job has used up its allowed
// defects.
func (c *Checker) checkFailureCause(key identifier.JobKey, j *Job) {
	for i, step := range j.Spec.Steps {
		for _, ref := range taskRefs(key, i, step) {
			defects := 0
			if t := c.tasks[ref]; t != nil {
				defects = t.defects
			}
			if defects >= int(step.MaxDefects) {
				return
			}
		}
	}
	if c.eventsLost {
		c.Counts[CountUnseenEnds]++
		return
	}
	c.Violate(JobStateIsTrue, "job %s failed without a task using up its defects", key)
}

// runnerOf returns a live runner on which a task of a job runs, or "" if there is none.
func (c *Checker) runnerOf(key identifier.JobKey, j *Job) string {
	for i, step := range j.Spec.Steps {
		for _, ref := range taskRefs(key, i, step) {
			if live := c.liveRunners(c.tasks[ref]); len(live) > 0 {
				return live[0]
			}
		}
	}
	return ""
}

// checkCancelled reports tasks that keep running after the cancel of their job.
func (c *Checker) checkCancelled(key identifier.JobKey, j *Job) {
	if j.CancelledAt == 0 {
		return
	}
	ranOn := c.cluster.Time() - j.CancelledAt
	quietLimit := c.cluster.Quiet() && ranOn > quietCancelledRun && ranOn < quietCancelledRunEnd
	if ranOn <= MaxCancelledRun && !quietLimit {
		return
	}
	if runner := c.runnerOf(key, j); runner != "" {
		c.Violate(CancelStopsWork, "%s still runs on %s %d ms after its cancel", key, runner, ranOn)
	}
}

// Done reports whether every submitted job was accepted and is known to have ended.
func (c *Checker) Done() bool {
	for _, j := range c.Jobs {
		if j.AckedAt == 0 || j.EndState == "" {
			return false
		}
	}
	return true
}

// Finish checks the invariants that must hold at the end of a run, and returns the
// accepted jobs that have not ended.
func (c *Checker) Finish() []identifier.JobKey {
	var stuck []identifier.JobKey
	unaccepted := 0
	for _, key := range slices.Sorted(maps.Keys(c.Jobs)) {
		j := c.Jobs[key]
		switch {
		case j.AckedAt == 0:
			unaccepted++
		case j.EndState == "":
			stuck = append(stuck, key)
		default:
			c.Counts[EndedCount(j.EndState)]++
		}
	}
	if len(stuck) > 0 {
		j := c.Jobs[stuck[0]]
		c.Violate(everyJobEnds, "job %s was accepted at %d and has not ended (cancelled at %d, start %d)",
			stuck[0], j.AckedAt, j.CancelledAt, j.StartAt)
	}
	if unaccepted > 0 {
		c.Violate(everyJobAccepted, "%d jobs were never accepted", unaccepted)
	}
	c.Counts[CountStuck] = len(stuck)
	return stuck
}
