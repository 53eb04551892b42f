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
	Sum      string            `json:"sum"`
	Accepted string            `json:"accepted"`
}

const stamp = "2006-01-02T15:04:05.000Z07:00"

// FormatTime writes a cluster time as RFC 3339 in UTC, with milliseconds.
func FormatTime(at clock.ClusterTime) string { return at.Time().Format(stamp) }

func (b *Store) submit(s *SubmitJob) Result {
	sum := s.Spec.Checksum()
	if j := b.Jobs[s.Key]; j != nil {
		if j.Checksum != sum {
			return refuse(409, "other-content", "the id names a job with other content")
		}
		return Result{Status: 200, Body: SubmitAck{j.Key, j.Checksum, FormatTime(j.AcceptedAt)}}
	}
	if m, ok := b.Dedup.get(s.Key); ok {
		if m.sum != short(sum) {
			return refuse(409, "other-content", "the id names a past job with other content")
		}
		return Result{Status: 200, Body: SubmitAck{s.Key, sum, FormatTime(m.at)}}
	}
	if wait := b.heldFor(s.Key); wait > 0 {
		return Result{Status: 503, Code: "just-cancelled", Message: "this id was cancelled a moment ago", RetryAfter: wait}
	}
	if s.Spec.Queue != "" {
		return b.enqueue(s, sum)
	}
	var f jsondoc.FieldErrors
	v := b.rules.Check(&s.Spec, b.waiting[s.Spec.Row], &f)
	switch {
	case f.Any():
		return Result{Status: 422, Code: "over-limit", Message: "the job breaks its row's limits", Body: f.List}
	case v.QueueFull:
		return Result{Status: 429, Code: "row-full", Message: "the row has no room for more waiting tasks", RetryAfter: 2000}
	case len(b.Jobs)+b.Dedup.Len() >= MaxJobIDs:
		return Result{Status: 503, Code: "ids-full", Message: "no room to remember another job id", RetryAfter: 60000}
	}
	j := &Job{Key: s.Key, Seq: b.NextJobSeq, AcceptedAt: b.Now, Checksum: sum, Spec: s.Spec}
	b.NextJobSeq++
	j.StartAt = s.Spec.NotBefore
	if s.Spec.Delay > 0 {
		j.StartAt = b.Now.Add(s.Spec.Delay)
	}
	b.enter(j)
	return Result{Status: 201, Body: SubmitAck{j.Key, j.Checksum, FormatTime(j.AcceptedAt)}}
}

// enter lays the job's tasks out and puts it where it bids.
func (b *Store) enter(j *Job) {
	j.count = make([]count, len(j.Spec.Steps))
	for i, st := range j.Spec.Steps {
		tasks := make([]*Task, st.Tasks)
		for n := range tasks {
			tasks[n] = &Task{State: Waiting}
		}
		j.Steps = append(j.Steps, tasks)
		b.tally(j, i, Waiting, len(tasks))
	}
	b.Jobs[j.Key] = j
	b.names.Put(j.Key, j)
	b.jobs[j.Spec.Row]++
	b.index(j)
}

func (b *Store) cancel(c *CancelJob) Result {
	j := b.Jobs[c.Key]
	if j == nil {
		if m, ok := b.Dedup.get(c.Key); ok {
			return Result{Status: 200, Body: map[string]string{"job": string(c.Key), "state": string(endState[m.end])}}
		}
		return b.holdBack(c.Key)
	}
	if j.EndState == "" && !j.Cancelled {
		j.Cancelled = true
		b.halt(j, RevokeCancelled)
		b.haltTimes(j, RevokeCancelled)
	}
	return Result{Status: 200, Body: map[string]string{"job": string(c.Key), "state": j.State()}}
}

// halt ends every unplaced task of a cancelled or failing job and calls the
// placed ones back.
func (b *Store) halt(j *Job, why string) {
	for i, tasks := range j.Steps {
		for n, t := range tasks {
			switch {
			case t.State.Unplaced():
				b.set(j, identifier.TaskRef{Job: j.Key, Step: i, Num: n}, Cancelled)
				t.Reason = why
			case t.State == Placed:
				b.stop(b.Leases[t.Lease], why)
			}
		}
	}
	b.settle(j)
}

// settle ends the job when all its tasks have ended and nothing of it runs.
func (b *Store) settle(j *Job) {
	b.index(j)
	if j.EndState != "" || j.open > 0 || j.Spec.Repeat != nil && !j.timesOver() {
		return
	}
	end := Succeeded
	for i, tasks := range j.Steps {
		if j.count[i].ended < len(tasks) {
			return
		}
		if j.count[i].well < len(tasks) {
			end = Cancelled
		}
	}
	if j.Failure != "" {
		end = Failed
	}
	if j.Spec.Repeat != nil && j.Cancelled && end == Succeeded {
		end = Cancelled
	}
	j.EndState, j.EndedAt = end, b.Now
	b.EndedJobs = append(b.EndedJobs, j.Key)
	b.jobs[j.Spec.Row]--
	b.leaveQueue(j)
}

func (b *Store) change(c *limits.Change) Result {
	if cells := b.Limits.Conflicts(c); len(cells) > 0 {
		return Result{Status: 409, Code: "stale-base", Message: fmt.Sprintf("changed since epoch %d", c.Base),
			Body: map[string]any{"epoch": b.Limits.Epoch, "cells": cells}}
	}
	for _, row := range b.Limits.Dropped(c) {
		if n := b.jobs[row]; n > 0 {
			return Result{Status: 409, Code: "row-in-use", Message: fmt.Sprintf("row %s still has %d jobs", row, n)}
		}
	}
	for row := range c.Drop {
		if !b.Limits.HasRow(row) {
			return refuse(404, "no-row", "no such row to drop")
		}
	}
	old := b.LeaseSpan()
	if !b.Limits.Apply(c) {
		return refuse(422, "too-many-rows", "the table would have too many rows")
	}
	if b.Limits.SiteMillis("grantMs") < old {
		b.PreviousLeaseSpan, b.LeaseSpanChangedAt = old, b.Now
	}
	b.rules = admission.Compile(b.Limits)
	return Result{Status: 200, Body: map[string]any{"epoch": b.Limits.Epoch}}
}
