package runner

import (
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// attempt is one attempt under way.
type attempt struct {
	runnerapi.Start
	// endsAt is when it has run its time, and defect says that it ends in one.
	endsAt clock.Monotonic
	defect bool
	// gangCompleteAt is when the last poll was sent whose answer called its gang complete.
	gangCompleteAt clock.Monotonic
}

// attemptTable is the attempts of a runner, by their leases.
type attemptTable struct {
	running map[identifier.LeaseID]*attempt
	// ended are those whose end is not acknowledged.
	ended map[identifier.LeaseID]runnerapi.End
	// used is when each lease was used up: it must not start again.
	used map[identifier.LeaseID]clock.Monotonic
	// sweptAt is when used was last looked through.
	sweptAt clock.Monotonic
}

func newAttemptTable() attemptTable {
	return attemptTable{
		running: map[identifier.LeaseID]*attempt{},
		ended:   map[identifier.LeaseID]runnerapi.End{},
		used:    map[identifier.LeaseID]clock.Monotonic{},
	}
}

func (t *attemptTable) runningIDs() []identifier.LeaseID { return slices.Sorted(maps.Keys(t.running)) }

// usedSweepInterval lies between two searches for leases to forget. They are kept for far
// longer.
const usedSweepInterval clock.Millis = 1000

// forgetUsed forgets leases that are of no more concern.
func (t *attemptTable) forgetUsed(now clock.Monotonic) {
	if now.Since(t.sweptAt) < usedSweepInterval {
		return
	}
	t.sweptAt = now
	for id, usedAt := range t.used {
		_, unacknowledged := t.ended[id]
		if !unacknowledged && t.running[id] == nil && now.Since(usedAt) > usedLeaseTTL {
			delete(t.used, id)
		}
	}
}

// end ends an attempt that runs.
func (r *Runner) end(id identifier.LeaseID, outcome string) {
	ended := r.attempts.running[id]
	delete(r.attempts.running, id)
	r.attempts.ended[id] = runnerapi.End{Lease: id, Task: ended.Task, Outcome: outcome}
	r.attempts.used[id] = r.now
	r.unreported = true
	r.logEvent(Event{outcome, id, ended.Task, ended.Demand})
}

// stop ends an attempt at once. One that was never heard of is marked, so that its start,
// should it come yet, finds the lease used up.
func (r *Runner) stop(id identifier.LeaseID) {
	attempts := &r.attempts
	if attempts.running[id] != nil {
		r.end(id, runnerapi.OutcomeStopped)
		return
	}
	if _, used := attempts.used[id]; !used {
		attempts.used[id] = r.now
	}
	if _, reported := attempts.ended[id]; !reported {
		attempts.ended[id] = runnerapi.End{Lease: id, Outcome: runnerapi.OutcomeStopped}
		r.unreported = true
	}
}

// start starts an attempt that an answer to the poll sent at that time has ordered. A lease
// that was used, or that does not fit, starts nothing.
func (r *Runner) start(order runnerapi.Start, sentAt clock.Monotonic) {
	attempts := &r.attempts
	if _, used := attempts.used[order.Lease]; used || attempts.running[order.Lease] != nil {
		return
	}
	free := r.config.Capacity
	for _, other := range attempts.running {
		free = free.Minus(other.Demand)
	}
	if !order.Demand.Fits(free) {
		return
	}
	span := order.ExpectedRun
	if r.config.SlowdownPercent > 0 {
		span += span * clock.Millis(r.config.SlowdownPercent) / 100
	}
	attempts.running[order.Lease] = &attempt{
		Start:          order,
		endsAt:         r.now.Add(span),
		gangCompleteAt: sentAt,
		defect:         r.random.Int63n(100) < r.config.DefectPercent,
	}
	attempts.used[order.Lease] = r.now
	r.unreported = true
	r.logEvent(Event{EventStart, order.Lease, order.Task, order.Demand})
}

func (r *Runner) logEvent(e Event) { r.output.Events = append(r.output.Events, e) }
