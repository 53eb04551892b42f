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

// Ack is the answer to an accepted job; a resend gets the very same one.
type Ack struct {
	Job      identifier.JobKey `json:"job"`
	Sum      string            `json:"sum"`
	Accepted string            `json:"accepted"`
}

const stamp = "2006-01-02T15:04:05.000Z07:00"

// Stamp writes a cluster time as RFC 3339 in UTC, with milliseconds.
func Stamp(at clock.ClusterTime) string { return at.Time().Format(stamp) }

func (b *Book) submit(s *Submit) Result {
	sum := s.Spec.Sum()
	if j := b.Jobs[s.Key]; j != nil {
		if j.Sum != sum {
			return refuse(409, "other-content", "the id names a job with other content")
		}
		return Result{Status: 200, Doc: Ack{j.Key, j.Sum, Stamp(j.At)}}
	}
	if m, ok := b.Known.get(s.Key); ok {
		if m.sum != short(sum) {
			return refuse(409, "other-content", "the id names a past job with other content")
		}
		return Result{Status: 200, Doc: Ack{s.Key, sum, Stamp(m.at)}}
	}
	if wait := b.heldFor(s.Key); wait > 0 {
		return Result{Status: 503, Code: "just-cancelled", Why: "this id was cancelled a moment ago", Retry: wait}
	}
	if s.Spec.Queue != "" {
		return b.enqueue(s, sum)
	}
	var f jsondoc.Faults
	v := b.rules.Run(&s.Spec, b.waiting[s.Spec.Pending], &f)
	switch {
	case f.Any():
		return Result{Status: 422, Code: "over-limit", Why: "the job breaks its row's limits", Doc: f.List}
	case v.Full:
		return Result{Status: 429, Code: "row-full", Why: "the row has no room for more waiting tasks", Retry: 2000}
	case len(b.Jobs)+b.Known.Len() >= MaxIDs:
		return Result{Status: 503, Code: "ids-full", Why: "no room to remember another job id", Retry: 60000}
	}
	j := &Job{Key: s.Key, Seq: b.NextSeq, At: b.Now, Sum: sum, Spec: s.Spec}
	b.NextSeq++
	j.Start = s.Spec.NotBefore
	if s.Spec.Delay > 0 {
		j.Start = b.Now.Add(s.Spec.Delay)
	}
	b.enter(j)
	return Result{Status: 201, Doc: Ack{j.Key, j.Sum, Stamp(j.At)}}
}

// enter lays the job's tasks out and puts it where it bids.
func (b *Book) enter(j *Job) {
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
	b.jobs[j.Spec.Pending]++
	b.index(j)
}

func (b *Book) cancel(c *Cancel) Result {
	j := b.Jobs[c.Key]
	if j == nil {
		if m, ok := b.Known.get(c.Key); ok {
			return Result{Status: 200, Doc: map[string]string{"job": string(c.Key), "state": string(endState[m.end])}}
		}
		return b.holdBack(c.Key)
	}
	if j.End == "" && !j.Cancel {
		j.Cancel = true
		b.halt(j, StopCancel)
		b.haltTimes(j, StopCancel)
	}
	return Result{Status: 200, Doc: map[string]string{"job": string(c.Key), "state": j.State()}}
}

// halt ends every unplaced task of a cancelled or failing job and calls the
// placed ones back.
func (b *Book) halt(j *Job, why string) {
	for i, tasks := range j.Steps {
		for n, t := range tasks {
			switch {
			case t.State.Unplaced():
				b.set(j, identifier.TaskRef{Job: j.Key, Step: i, Num: n}, Cancelled)
				t.Why = why
			case t.State == Placed:
				b.stop(b.Grants[t.Grant], why)
			}
		}
	}
	b.settle(j)
}

// settle ends the job when all its tasks have ended and nothing of it runs.
func (b *Book) settle(j *Job) {
	b.index(j)
	if j.End != "" || j.open > 0 || j.Spec.Repeat != nil && !j.timesOver() {
		return
	}
	end := Well
	for i, tasks := range j.Steps {
		if j.count[i].ended < len(tasks) {
			return
		}
		if j.count[i].well < len(tasks) {
			end = Cancelled
		}
	}
	if j.Fail != "" {
		end = Failed
	}
	if j.Spec.Repeat != nil && j.Cancel && end == Well {
		end = Cancelled
	}
	j.End, j.Ended = end, b.Now
	b.Over = append(b.Over, j.Key)
	b.jobs[j.Spec.Pending]--
	b.leaveQueue(j)
}

func (b *Book) change(c *limits.Change) Result {
	if cells := b.Table.Clash(c); len(cells) > 0 {
		return Result{Status: 409, Code: "stale-base", Why: fmt.Sprintf("changed since epoch %d", c.Base),
			Doc: map[string]any{"epoch": b.Table.Epoch, "cells": cells}}
	}
	for _, row := range b.Table.Dropped(c) {
		if n := b.jobs[row]; n > 0 {
			return Result{Status: 409, Code: "row-in-use", Why: fmt.Sprintf("row %s still has %d jobs", row, n)}
		}
	}
	for row := range c.Drop {
		if !b.Table.Has(row) {
			return refuse(404, "no-row", "no such row to drop")
		}
	}
	old := b.GrantSpan()
	if !b.Table.Apply(c) {
		return refuse(422, "too-many-rows", "the table would have too many rows")
	}
	if b.Table.Site("grantMs") < old {
		b.OldGrant, b.OldAt = old, b.Now
	}
	b.rules = admission.Compile(b.Table)
	return Result{Status: 200, Doc: map[string]any{"epoch": b.Table.Epoch}}
}
