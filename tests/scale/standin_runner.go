package main

import (
	"fmt"
	"strconv"
	"strings"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// stopDelay is how long a run takes to end after a stop order, in ms.
const stopDelay clock.Millis = 150

// standInRunner simulates a runner that does no work. It starts the runs that it is ordered
// to start, reports their simulated progress in heartbeats, and ends each after its span.
type standInRunner struct {
	incarnation identifier.Incarnation
	domain      identifier.Domain
	rack        identifier.Rack
	capacity    job.Demand

	seq           uint64
	nextHeartbeat clock.Monotonic
	leaseEnd      clock.Monotonic
	runs          []*taskRun
	ends          []runnerapi.RunEnd
	lastEnd       uint64
	// lapses counts the runs that ended because the lease expired.
	lapses int64
	// onStart, if set, is called for every start, with the time of the job's submission and
	// the time of the start.
	onStart func(submitted, at clock.Monotonic)
	// vary, if set, returns the actual duration of a run with the given span.
	vary func(span clock.Millis) (actual clock.Millis)
}

// taskRun is one run of a task.
type taskRun struct {
	task      identifier.TaskRef
	attempt   uint64
	span      clock.Millis
	startedAt clock.Monotonic
	stopAt    clock.Monotonic
}

// encodePayload returns the payload of a job: the span of its tasks, and when the job was
// submitted according to the clock of the run.
func encodePayload(span clock.Millis, submitted clock.Monotonic) string {
	return fmt.Sprintf("%d %d", span, submitted)
}

// decodePayload decodes the output of encodePayload.
func decodePayload(text string) (span clock.Millis, submitted clock.Monotonic, ok bool) {
	spanText, submittedText, _ := strings.Cut(text, " ")
	spanMs, err := strconv.ParseInt(spanText, 10, 64)
	if err != nil || spanMs <= 0 {
		return 0, 0, false
	}
	submittedMs, err := strconv.ParseInt(submittedText, 10, 64)
	return clock.Millis(spanMs), clock.Monotonic(submittedMs), err == nil
}

// advance ends the runs that are due, and all runs if the lease has expired. It reports
// whether a heartbeat is due.
func (s *standInRunner) advance(now clock.Monotonic) bool {
	kept := s.runs[:0]
	for _, run := range s.runs {
		outcome := ""
		switch {
		case now > s.leaseEnd:
			outcome = runnerapi.OutcomeLeaseLapsed
			s.lapses++
		case run.stopAt > 0 && now >= run.stopAt:
			outcome = runnerapi.OutcomeStopped
		case now.Since(run.startedAt) >= run.span:
			outcome = runnerapi.OutcomeSuccess
		}
		if outcome == "" {
			kept = append(kept, run)
			continue
		}
		s.addEnd(run.task, run.attempt, outcome)
	}
	clear(s.runs[len(kept):])
	s.runs = kept
	return now >= s.nextHeartbeat
}

// addEnd records the end of an attempt, with the next sequence number.
func (s *standInRunner) addEnd(task identifier.TaskRef, attempt uint64, outcome string) {
	s.lastEnd++
	s.ends = append(s.ends, runnerapi.RunEnd{
		Seq:     s.lastEnd,
		Task:    task,
		Attempt: attempt,
		Outcome: outcome,
	})
}

// heartbeat returns the next heartbeat.
func (s *standInRunner) heartbeat(now clock.Monotonic) agent.Heartbeat {
	s.seq++
	heartbeat := agent.Heartbeat{
		Runner:   s.incarnation,
		Seq:      s.seq,
		Pool:     pool,
		Domain:   s.domain,
		Rack:     s.rack,
		Capacity: s.capacity,
	}
	for _, run := range s.runs {
		heartbeat.Active = append(heartbeat.Active, runnerapi.RunState{
			Task:            run.task,
			Attempt:         run.attempt,
			ProgressPercent: min(100, int64(now.Since(run.startedAt)*100/run.span)),
		})
	}
	heartbeat.Finished = append(heartbeat.Finished, s.ends...)
	return heartbeat
}

// applyOrders applies the response to a heartbeat that was sent at the given time.
func (s *standInRunner) applyOrders(o agent.Orders, sent, now clock.Monotonic) {
	s.nextHeartbeat = sent + clock.Monotonic(max(1, o.NextHeartbeat))
	if o.Lease > 0 {
		s.leaseEnd = max(s.leaseEnd, sent.Add(o.Lease))
	}
	unobserved := s.ends[:0]
	for _, e := range s.ends {
		if e.Seq > o.ObservedThrough {
			unobserved = append(unobserved, e)
		}
	}
	s.ends = unobserved
	for _, x := range o.Stop {
		if run := s.find(x.Task, x.Attempt); run != nil && run.stopAt == 0 {
			run.stopAt = now.Add(stopDelay)
		}
	}
	for _, x := range o.Start {
		s.start(x, now)
	}
}

func (s *standInRunner) find(task identifier.TaskRef, attempt uint64) *taskRun {
	for _, run := range s.runs {
		if run.task == task && run.attempt == attempt {
			return run
		}
	}
	return nil
}

// start starts a run. It rejects a start whose payload encodePayload did not produce, and
// ignores a start of an attempt that is already running.
func (s *standInRunner) start(x runnerapi.Start, now clock.Monotonic) {
	if s.find(x.Task, x.Attempt) != nil {
		return
	}
	span, submitted, ok := decodePayload(x.Payload)
	if !ok {
		s.addEnd(x.Task, x.Attempt, runnerapi.OutcomeRejected)
		return
	}
	if s.vary != nil {
		span = s.vary(span)
	}
	s.runs = append(s.runs, &taskRun{task: x.Task, attempt: x.Attempt, span: span, startedAt: now})
	if s.onStart != nil {
		s.onStart(submitted, now)
	}
}
