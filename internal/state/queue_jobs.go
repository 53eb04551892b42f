package state

import (
	"net/http"
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/clock"
)

// QueueTerms are the terms of the job's queue at the time the job was accepted. Later
// catalogue changes do not affect them.
type QueueTerms struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// Priority 0 is the highest.
	Priority int64 `json:"rank"`
	// MaxAttempts is the number of failed attempts after which a task fails.
	MaxAttempts int64 `json:"tries"`
	// Target is the time allowed for the job: its critical path times the queue's latency
	// factor, plus the queue's latency target.
	Target clock.Millis `json:"aimMs"`
	// DueAt is Target after the acceptance of the job or the scheduled time of its
	// occurrence.
	DueAt clock.ClusterTime `json:"due"`
}

// maxQueuedTasks bounds the waiting tasks of all queues together.
const maxQueuedTasks = 60_000

// submitToQueue accepts a job for a queue of the catalogue.
func (s *Store) submitToQueue(command *SubmitJob, checksum string) Result {
	if s.Catalog == nil {
		return retryLater(http.StatusServiceUnavailable, codeNoCatalog, "there is no catalogue yet", retryAfterShortly)
	}
	queue := s.Catalog.Queue(command.Spec.Queue)
	_, id := command.Key.Split()
	switch {
	case strings.Contains(string(id), "."):
		return rejected(http.StatusUnprocessableEntity, codeInvalidID,
			"the id of a job for a queue has no dot: that is how its times are told apart")
	case queue == nil:
		return rejected(http.StatusNotFound, codeNoQueue, "no such queue")
	case s.Catalog.Protected(queue) && command.Spec.Tenant == "":
		return rejected(http.StatusUnauthorized, codeUnauthenticated, "the request needs the API key of a tenant")
	case s.jobIndex.waitingTasks[queueJobsRow]+command.Spec.TaskCount() > maxQueuedTasks:
		return retryLater(http.StatusTooManyRequests, codeQueueFull, "too many tasks wait", retryAfterPlacing)
	case s.jobIDsFull():
		return rejectedIDsFull()
	}
	j := s.newJob(command, checksum)
	j.Terms = s.queueTerms(queue, j)
	j.overShare = s.exceedsShare(j)
	s.jobIndex.unfinishedByQueue[queue.Name]++
	if j.Spec.Repeat == nil {
		j.StartAt = s.startTime(&j.Spec)
		s.addJob(j)
	} else {
		s.addRepeatedJob(j)
	}
	return accepted(http.StatusCreated, newSubmitAck(j.Key, j.Checksum, j.AcceptedAt))
}

// latencyFactorUnit is a latency factor of 1: factors are in thousandths.
const latencyFactorUnit = 1000

func (s *Store) queueTerms(queue *catalog.Queue, j *Job) *QueueTerms {
	target := j.Spec.CriticalPath()*clock.Millis(queue.LatencyFactor)/latencyFactorUnit + queue.LatencyTarget
	return &QueueTerms{
		Queue:       queue.Name,
		Pool:        queue.Pool,
		Priority:    queue.Priority,
		MaxAttempts: max(1, queue.MaxAttempts),
		Target:      target,
		DueAt:       s.Now.Add(target),
	}
}

// leaveQueue updates the counts of the job's queue, or the job's parent, once the job has
// ended.
func (s *Store) leaveQueue(j *Job) {
	if j.Terms == nil {
		return
	}
	if j.Parent != "" {
		s.occurrenceEnded(j)
		return
	}
	s.jobIndex.unfinishedByQueue[j.Terms.Queue]--
	if j.Spec.Repeat != nil {
		s.jobIndex.repeating.Remove(j)
	}
}

// EligibleOn reports whether the runner belongs to the pool of the job's queue. Jobs of
// rows run on runners without a pool.
func (j *Job) EligibleOn(r *Runner) bool {
	if j.Terms == nil {
		return r.Pool == ""
	}
	return r.Pool == j.Terms.Pool
}
