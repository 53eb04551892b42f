// A stand-in runner does no work: it starts what it is told, shows how far each
// run would be, ends it after its span, and beats.
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

// stopping is how long a run takes to end on order, in milliseconds.
const stopping clock.Millis = 150

type standIn struct {
	inc    identifier.Incarnation
	domain identifier.Domain
	rack   identifier.Rack
	room   job.Demand

	seq   uint64
	next  clock.Monotonic
	until clock.Monotonic
	runs  []*work
	ends  []runnerapi.RunEnd
	n     uint64
	// lapses counts the runs whose hold was over.
	lapses int64
	// begun hears of every start: when the job was handed in, and when it began.
	begun func(handed, at clock.Monotonic)
	// vary, if given, is how long a run of so long a span really takes.
	vary func(span clock.Millis) (actual clock.Millis)
}

// work is one run.
type work struct {
	task identifier.TaskRef
	no   uint64
	span clock.Millis
	at   clock.Monotonic
	stop clock.Monotonic
}

// note is the text that every job of a scale run bears: how long a task runs
// and when the job was handed in, by the one clock of the run.
func note(span clock.Millis, handed clock.Monotonic) string {
	return fmt.Sprintf("%d %d", span, handed)
}

func readNote(text string) (span clock.Millis, handed clock.Monotonic, ok bool) {
	a, b, _ := strings.Cut(text, " ")
	x, err := strconv.ParseInt(a, 10, 64)
	if err != nil || x <= 0 {
		return 0, 0, false
	}
	y, err := strconv.ParseInt(b, 10, 64)
	return clock.Millis(x), clock.Monotonic(y), err == nil
}

// due lets time pass, and tells whether the runner would beat now. A run whose
// hold is over has lapsed.
func (s *standIn) due(now clock.Monotonic) bool {
	kept := s.runs[:0]
	for _, w := range s.runs {
		how := ""
		switch {
		case now > s.until:
			how = runnerapi.OutcomeLeaseLapsed
			s.lapses++
		case w.stop > 0 && now >= w.stop:
			how = runnerapi.OutcomeStopped
		case now.Since(w.at) >= w.span:
			how = runnerapi.OutcomeSuccess
		}
		if how == "" {
			kept = append(kept, w)
			continue
		}
		s.n++
		s.ends = append(s.ends, runnerapi.RunEnd{Seq: s.n, Task: w.task, Attempt: w.no, Outcome: how})
	}
	clear(s.runs[len(kept):])
	s.runs = kept
	return now >= s.next
}

// beat is what the runner says of itself.
func (s *standIn) beat(now clock.Monotonic) agent.Heartbeat {
	s.seq++
	b := agent.Heartbeat{Runner: s.inc, Seq: s.seq, Pool: pool, Domain: s.domain, Rack: s.rack, Capacity: s.room}
	for _, w := range s.runs {
		b.Active = append(b.Active, runnerapi.RunState{Task: w.task, Attempt: w.no, ProgressPercent: min(100, int64(now.Since(w.at)*100/w.span))})
	}
	b.Finished = append(b.Finished, s.ends...)
	return b
}

// obey takes the answer to a beat that was sent at the given time.
func (s *standIn) obey(o agent.Orders, sent, now clock.Monotonic) {
	s.next = sent + clock.Monotonic(max(1, o.NextHeartbeat))
	if o.Lease > 0 {
		s.until = max(s.until, sent.Add(o.Lease))
	}
	left := s.ends[:0]
	for _, e := range s.ends {
		if e.Seq > o.ObservedThrough {
			left = append(left, e)
		}
	}
	s.ends = left
	for _, x := range o.Stop {
		if w := s.find(x.Task, x.Attempt); w != nil && w.stop == 0 {
			w.stop = now.Add(stopping)
		}
	}
	for _, x := range o.Start {
		s.start(x, now)
	}
}

func (s *standIn) find(task identifier.TaskRef, no uint64) *work {
	for _, one := range s.runs {
		if one.task == task && one.no == no {
			return one
		}
	}
	return nil
}

// start turns away what bears no note, and takes the same start only once.
func (s *standIn) start(x runnerapi.Start, now clock.Monotonic) {
	if s.find(x.Task, x.Attempt) != nil {
		return
	}
	span, handed, ok := readNote(x.Payload)
	if !ok {
		s.n++
		s.ends = append(s.ends, runnerapi.RunEnd{Seq: s.n, Task: x.Task, Attempt: x.Attempt, Outcome: runnerapi.OutcomeRejected})
		return
	}
	if s.vary != nil {
		span = s.vary(span)
	}
	s.runs = append(s.runs, &work{task: x.Task, no: x.Attempt, span: span, at: now})
	if s.begun != nil {
		s.begun(handed, now)
	}
}
