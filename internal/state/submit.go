package state

import (
	"net/http"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

// SubmitAck is the response to an accepted job; a resend gets an identical one.
type SubmitAck struct {
	Job      identifier.JobKey `json:"job"`
	Checksum string            `json:"sum"`
	Accepted string            `json:"accepted"`
}

func newSubmitAck(key identifier.JobKey, checksum string, acceptedAt clock.ClusterTime) SubmitAck {
	return SubmitAck{Job: key, Checksum: checksum, Accepted: FormatTime(acceptedAt)}
}

// timeLayout is RFC 3339 with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// FormatTime formats a cluster time as RFC 3339 in UTC, with milliseconds.
func FormatTime(at clock.ClusterTime) string { return at.Time().Format(timeLayout) }

// submitJob accepts a job. A resend gets the same response as the first submission.
func (s *Store) submitJob(command *SubmitJob) Result {
	checksum := command.Spec.Checksum()
	if j := s.Jobs[command.Key]; j != nil {
		if j.Checksum != checksum {
			return rejected(http.StatusConflict, codeOtherContent, "the id names a job with other content")
		}
		return accepted(http.StatusOK, newSubmitAck(j.Key, j.Checksum, j.AcceptedAt))
	}
	if record, ok := s.Dedup.lookup(command.Key); ok {
		if record.checksum != shortHash(checksum) {
			return rejected(http.StatusConflict, codeOtherContent, "the id names a past job with other content")
		}
		return accepted(http.StatusOK, newSubmitAck(command.Key, checksum, record.acceptedAt))
	}
	if remaining := s.tombstoneRemaining(command.Key); remaining > 0 {
		return retryLater(http.StatusServiceUnavailable, codeJustCancelled, "this id was cancelled a moment ago", remaining)
	}
	if command.Spec.Queue != "" {
		return s.submitToQueue(command, checksum)
	}
	return s.submitToRow(command, checksum)
}

// submitToRow accepts a job for a row of the limits table.
func (s *Store) submitToRow(command *SubmitJob, checksum string) Result {
	var faults jsondoc.FieldErrors
	row := command.Spec.Row
	verdict := s.rules.Check(&command.Spec, s.jobIndex.waitingTasks[row], &faults)
	switch {
	case faults.Any():
		return rejectedWithBody(http.StatusUnprocessableEntity, codeOverLimit, "the job breaks its row's limits", faults.List)
	case verdict.QueueFull:
		return retryLater(http.StatusTooManyRequests, codeRowFull, "the row has no room for more waiting tasks", retryAfterPlacing)
	case s.jobIDsFull():
		return rejectedIDsFull()
	}
	j := s.newJob(command, checksum)
	j.StartAt = s.startTime(&command.Spec)
	s.addJob(j)
	return accepted(http.StatusCreated, newSubmitAck(j.Key, j.Checksum, j.AcceptedAt))
}

func (s *Store) jobIDsFull() bool { return len(s.Jobs)+s.Dedup.Len() >= MaxJobIDs }

func rejectedIDsFull() Result {
	return retryLater(http.StatusServiceUnavailable, codeIDsFull, "no room to remember another job id", retryAfterExpiry)
}

func (s *Store) newJob(command *SubmitJob, checksum string) *Job {
	j := &Job{
		Key:        command.Key,
		Seq:        s.NextJobSeq,
		AcceptedAt: s.Now,
		Checksum:   checksum,
		Spec:       command.Spec,
	}
	s.NextJobSeq++
	return j
}

// startTime returns the earliest time of the job's first placement, 0 for immediately.
func (s *Store) startTime(spec *job.Spec) clock.ClusterTime {
	if spec.Delay > 0 {
		return s.Now.Add(spec.Delay)
	}
	return spec.NotBefore
}

// addJob creates the job's tasks and makes it pending or delayed.
func (s *Store) addJob(j *Job) {
	j.stepCounts = make([]stepCount, len(j.Spec.Steps))
	for step, spec := range j.Spec.Steps {
		tasks := make([]*Task, spec.Tasks)
		for num := range tasks {
			tasks[num] = &Task{State: Waiting}
		}
		j.Steps = append(j.Steps, tasks)
		s.jobIndex.countTasks(j, step, Waiting, len(tasks))
	}
	j.timing = newJobTiming(j)
	s.Jobs[j.Key] = j
	s.jobIndex.add(j)
	s.jobIndex.update(j, s.Now)
}
