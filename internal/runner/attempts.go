package runner

import (
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// attempt is a running attempt.
type attempt struct {
	runnerapi.Start
	// end is when the attempt finishes, and defect means that it ends with a defect.
	end    clock.Monotonic
	defect bool
	// gangCompleteAt is when the runner sent the last poll whose response listed the gang as
	// complete.
	gangCompleteAt clock.Monotonic
}

// attemptTable holds the attempts of a runner by lease.
type attemptTable struct {
	running map[identifier.LeaseID]*attempt
	// ended holds the ends that have not been acknowledged.
	ended map[identifier.LeaseID]runnerapi.End
	// used holds when each lease was last used. A used lease must not start an attempt
	// again.
	used map[identifier.LeaseID]clock.Monotonic
	// sweptAt is when used was last swept.
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

// usedSweepInterval is the interval between sweeps of used leases. It is much shorter than
// usedLeaseTTL.
const usedSweepInterval clock.Millis = 1000

// sweepUsed removes used leases that are older than usedLeaseTTL, unless their attempt is
// running or has an unacknowledged end.
func (t *attemptTable) sweepUsed(now clock.Monotonic) {
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

// end ends a running attempt.
func (r *Runner) end(id identifier.LeaseID, outcome string) {
	ended := r.attempts.running[id]
	delete(r.attempts.running, id)
	r.attempts.ended[id] = runnerapi.End{Lease: id, Task: ended.Task, Outcome: outcome}
	r.attempts.used[id] = r.now
	r.unreported = true
	r.logEvent(Event{outcome, id, ended.Task, ended.Demand})
}

// stop ends an attempt immediately. If the attempt is unknown, its lease is marked as used, so
// that a start that arrives later has no effect.
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

// start starts an attempt that was ordered by the response to the poll sent at sentAt. It
// ignores orders whose lease was used before, and orders that exceed the free resources.
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
	duration := order.ExpectedRun
	if r.config.SlowdownPercent > 0 {
		duration += duration * clock.Millis(r.config.SlowdownPercent) / 100
	}
	attempts.running[order.Lease] = &attempt{
		Start:          order,
		end:            r.now.Add(duration),
		gangCompleteAt: sentAt,
		defect:         r.random.Int63n(100) < r.config.DefectPercent,
	}
	attempts.used[order.Lease] = r.now
	r.unreported = true
	r.logEvent(Event{EventStart, order.Lease, order.Task, order.Demand})
}

func (r *Runner) logEvent(e Event) { r.output.Events = append(r.output.Events, e) }
