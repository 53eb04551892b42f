package runner

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// attempt is one attempt under way.
type attempt struct {
	runnerapi.Start
	// end is when it has run its time, and defect says that it ends in one.
	end    clock.Monotonic
	defect bool
	// gangComplete is when the last poll was sent whose answer called its gang complete.
	gangComplete clock.Monotonic
}

// attemptTable is the attempts of a runner, by their leases.
type attemptTable struct {
	running map[identifier.LeaseID]*attempt
	// ended are those whose end is not acknowledged.
	ended map[identifier.LeaseID]runnerapi.End
	// used is when each lease was used up: it must not start again.
	used map[identifier.LeaseID]clock.Monotonic
}

func newAttemptTable() attemptTable {
	return attemptTable{
		running: map[identifier.LeaseID]*attempt{},
		ended:   map[identifier.LeaseID]runnerapi.End{},
		used:    map[identifier.LeaseID]clock.Monotonic{},
	}
}

func (t *attemptTable) runningIDs() []identifier.LeaseID { return sortedIDs(t.running) }

// forgetUsed forgets leases that are of no more concern.
func (t *attemptTable) forgetUsed(now clock.Monotonic) {
	for id, usedAt := range t.used {
		_, unacknowledged := t.ended[id]
		if !unacknowledged && t.running[id] == nil && now.Since(usedAt) > usedLeaseLife {
			delete(t.used, id)
		}
	}
}

// end ends an attempt that runs.
func (r *Runner) end(id identifier.LeaseID, outcome string) {
	w := r.attempts.running[id]
	delete(r.attempts.running, id)
	r.attempts.ended[id] = runnerapi.End{Lease: id, Task: w.Task, Outcome: outcome}
	r.attempts.used[id] = r.now
	r.unreported = true
	r.logEvent(Event{outcome, id, w.Task, w.Demand})
}

// stop ends an attempt at once. One that was never heard of is marked, so that its start,
// should it come yet, finds the lease used up.
func (r *Runner) stop(id identifier.LeaseID) {
	t := &r.attempts
	if t.running[id] != nil {
		r.end(id, runnerapi.OutcomeStopped)
		return
	}
	if _, used := t.used[id]; !used {
		t.used[id] = r.now
	}
	if _, reported := t.ended[id]; !reported {
		t.ended[id] = runnerapi.End{Lease: id, Outcome: runnerapi.OutcomeStopped}
		r.unreported = true
	}
}

// start starts an attempt that an answer to the poll sent at that time has ordered. A lease
// that was used, or that does not fit, starts nothing.
func (r *Runner) start(s runnerapi.Start, sentAt clock.Monotonic) {
	t := &r.attempts
	if _, used := t.used[s.Lease]; used || t.running[s.Lease] != nil {
		return
	}
	free := r.config.Capacity
	for _, w := range t.running {
		free = free.Minus(w.Demand)
	}
	if !s.Demand.Fits(free) {
		return
	}
	span := s.ExpectedRun
	if r.config.SlowdownPercent > 0 {
		span += span * clock.Millis(r.config.SlowdownPercent) / 100
	}
	t.running[s.Lease] = &attempt{
		Start:        s,
		end:          r.now.Add(span),
		gangComplete: sentAt,
		defect:       r.random.Int63n(100) < r.config.DefectPercent,
	}
	t.used[s.Lease] = r.now
	r.unreported = true
	r.logEvent(Event{EventStart, s.Lease, s.Task, s.Demand})
}

func (r *Runner) logEvent(e Event) { r.output.Events = append(r.output.Events, e) }
