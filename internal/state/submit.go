// Handing in and cancelling jobs, and changing the table they live under.

package state

import (
	"fmt"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// SubmitAck is the answer to an accepted job; a resend gets the very same one.
type SubmitAck struct {
	Job      identifier.JobKey `json:"job"`
	Checksum string            `json:"sum"`
	Accepted string            `json:"accepted"`
}

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// FormatTime writes a cluster time as RFC 3339 in UTC, with milliseconds.
func FormatTime(at clock.ClusterTime) string { return at.Time().Format(timeLayout) }

func (s *Store) submitJob(command *SubmitJob) Result {
	checksum := command.Spec.Checksum()
	if j := s.Jobs[command.Key]; j != nil {
		if j.Checksum != checksum {
			return rejected(409, "other-content", "the id names a job with other content")
		}
		return Result{Status: 200, Body: SubmitAck{j.Key, j.Checksum, FormatTime(j.AcceptedAt)}}
	}
	if record, ok := s.Dedup.lookup(command.Key); ok {
		if record.checksum != shortHash(checksum) {
			return rejected(409, "other-content", "the id names a past job with other content")
		}
		return Result{Status: 200, Body: SubmitAck{command.Key, checksum, FormatTime(record.acceptedAt)}}
	}
	if wait := s.tombstoneRemaining(command.Key); wait > 0 {
		return Result{Status: 503, Code: "just-cancelled", Message: "this id was cancelled a moment ago", RetryAfter: wait}
	}
	if command.Spec.Queue != "" {
		return s.submitToQueue(command, checksum)
	}
	var f jsondoc.FieldErrors
	verdict := s.rules.Check(&command.Spec, s.jobIndex.waitingTasks[command.Spec.Row], &f)
	switch {
	case f.Any():
		return Result{Status: 422, Code: "over-limit", Message: "the job breaks its row's limits", Body: f.List}
	case verdict.QueueFull:
		return Result{Status: 429, Code: "row-full", Message: "the row has no room for more waiting tasks", RetryAfter: 2000}
	case len(s.Jobs)+s.Dedup.Len() >= MaxJobIDs:
		return Result{Status: 503, Code: "ids-full", Message: "no room to remember another job id", RetryAfter: 60000}
	}
	j := &Job{Key: command.Key, Seq: s.NextJobSeq, AcceptedAt: s.Now, Checksum: checksum, Spec: command.Spec}
	s.NextJobSeq++
	j.StartAt = command.Spec.NotBefore
	if command.Spec.Delay > 0 {
		j.StartAt = s.Now.Add(command.Spec.Delay)
	}
	s.addJob(j)
	return Result{Status: 201, Body: SubmitAck{j.Key, j.Checksum, FormatTime(j.AcceptedAt)}}
}

// enter lays the job's tasks out and puts it where it bids.
func (s *Store) addJob(j *Job) {
	j.stepCounts = make([]stepCount, len(j.Spec.Steps))
	for i, st := range j.Spec.Steps {
		tasks := make([]*Task, st.Tasks)
		for n := range tasks {
			tasks[n] = &Task{State: Waiting}
		}
		j.Steps = append(j.Steps, tasks)
		s.jobIndex.countTasks(j, i, Waiting, len(tasks))
	}
	s.Jobs[j.Key] = j
	s.jobIndex.add(j)
	s.jobIndex.update(j, s.Now)
}

func (s *Store) cancelJob(command *CancelJob) Result {
	j := s.Jobs[command.Key]
	if j == nil {
		if record, ok := s.Dedup.lookup(command.Key); ok {
			return Result{Status: 200, Body: map[string]string{"job": string(command.Key), "state": string(endStates[record.endCode])}}
		}
		return s.rejectUnknownCancel(command.Key)
	}
	if j.EndState == "" && !j.Cancelled {
		j.Cancelled = true
		s.abortTasks(j, RevokeCancelled)
		s.abortOccurrences(j, RevokeCancelled)
	}
	return Result{Status: 200, Body: map[string]string{"job": string(command.Key), "state": j.State()}}
}

// abortTasks ends every unplaced task of a cancelled or failing job and calls the
// placed ones back.
func (s *Store) abortTasks(j *Job, reason string) {
	for i, tasks := range j.Steps {
		for n, task := range tasks {
			switch {
			case task.State.Unplaced():
				s.setTaskState(j, identifier.TaskRef{Job: j.Key, Step: i, Num: n}, Cancelled)
				task.Reason = reason
			case task.State == Placed:
				s.revokeLease(s.Leases[task.Lease], reason)
			}
		}
	}
	s.completeJob(j)
}

// completeJob ends the job when all its tasks have ended and nothing of it runs.
func (s *Store) completeJob(j *Job) {
	s.jobIndex.update(j, s.Now)
	if j.EndState != "" || j.openLeases > 0 || j.Spec.Repeat != nil && !j.occurrencesDone() {
		return
	}
	end := Succeeded
	for i, tasks := range j.Steps {
		if j.stepCounts[i].ended < len(tasks) {
			return
		}
		if j.stepCounts[i].succeeded < len(tasks) {
			end = Cancelled
		}
	}
	if j.Failure != "" {
		end = Failed
	}
	if j.Spec.Repeat != nil && j.Cancelled && end == Succeeded {
		end = Cancelled
	}
	j.EndState, j.EndedAt = end, s.Now
	s.EndedJobs = append(s.EndedJobs, j.Key)
	s.jobIndex.unfinishedByRow[j.Spec.Row]--
	s.leaveQueue(j)
}

func (s *Store) changeLimits(change *limits.Change) Result {
	if cells := s.Limits.Conflicts(change); len(cells) > 0 {
		return Result{Status: 409, Code: "stale-base", Message: fmt.Sprintf("changed since epoch %d", change.Base),
			Body: map[string]any{"epoch": s.Limits.Epoch, "cells": cells}}
	}
	for _, row := range s.Limits.Dropped(change) {
		if n := s.jobIndex.unfinishedByRow[row]; n > 0 {
			return Result{Status: 409, Code: "row-in-use", Message: fmt.Sprintf("row %s still has %d jobs", row, n)}
		}
	}
	for row := range change.Drop {
		if !s.Limits.HasRow(row) {
			return rejected(404, "no-row", "no such row to drop")
		}
	}
	old := s.LeaseSpan()
	if !s.Limits.Apply(change) {
		return rejected(422, "too-many-rows", "the table would have too many rows")
	}
	if s.Limits.SiteMillis("grantMs") < old {
		s.PreviousLeaseSpan, s.LeaseSpanChangedAt = old, s.Now
	}
	s.rules = admission.Compile(s.Limits)
	return Result{Status: 200, Body: map[string]any{"epoch": s.Limits.Epoch}}
}
