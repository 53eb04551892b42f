package scheduler

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// A task for which only a bad node is free (away from its data, or on a slow runner) may
// finish sooner if it waits for a better node to have free resources (delay scheduling:
// Zaharia et al., EuroSys 2010). The expected wait is derived from the runs on that node
// rather than being a constant. The total wait of a task is bounded by the time that the
// worse placement would have cost, so that a wrong prediction at most doubles that cost
// (the ski-rental bound).

// maxDeferrals bounds the tasks that one cycle defers; further tasks are placed without
// deferral.
const maxDeferrals = 200

const (
	// minDeferralGain is the minimum net gain that justifies waiting, as placing a task
	// takes time too.
	minDeferralGain clock.Millis = 50
	// maxDeferral bounds the time that a task waits for a better node, whatever the gain:
	// a job must not be idle for seconds while resources for it are free.
	maxDeferral clock.Millis = 1500
)

// expectedReleases holds the resources that a node is expected to release as its runs end.
type expectedReleases struct {
	// ends are the expected ends of the node's runs, the earliest first.
	ends []expectedEnd
	// claimed is the demand of the deferred tasks that wait for the node.
	claimed job.Demand
}

// expectedEnd is the expected remaining time of a run and the demand that it then releases.
type expectedEnd struct {
	remaining clock.Millis
	demand    job.Demand
}

// releasesOn returns the expected releases of a node, computed once per cycle.
func (c *cycle) releasesOn(n *node) *expectedReleases {
	if n.releases != nil {
		return n.releases
	}
	n.releases = &expectedReleases{}
	n.runner.EachLease(func(lease *state.Lease) {
		if remaining, ok := c.view.Remaining(lease); ok {
			n.releases.ends = append(n.releases.ends, expectedEnd{remaining, lease.Demand})
		}
	})
	slices.SortFunc(n.releases.ends, func(a, b expectedEnd) int {
		return cmp.Or(
			cmp.Compare(a.remaining, b.remaining),
			cmp.Compare(a.demand.CPU(), b.demand.CPU()),
			cmp.Compare(a.demand.Mem, b.demand.Mem),
		)
	})
	return n.releases
}

// timeUntilFree returns how long it takes until the node is expected to have resources for
// one more task; ok is false if its ending runs do not release enough.
func (c *cycle) timeUntilFree(n *node, demand job.Demand) (remaining clock.Millis, ok bool) {
	releases := c.releasesOn(n)
	free := n.unreserved().Minus(releases.claimed)
	if demand.Fits(free) {
		return 0, true
	}
	for _, end := range releases.ends {
		free = free.Plus(end.demand)
		if demand.Fits(free) {
			return end.remaining, true
		}
	}
	return 0, false
}

// deferral is a better node that a task may wait for.
type deferral struct {
	node *node
	// gain is how much shorter the task runs on the node than where it could be placed now.
	gain clock.Millis
	wait clock.Millis
}

// shouldDefer reports whether waiting for a better node is preferable to placing the task
// on the available one. If so, it claims resources on the better node.
func (c *cycle) shouldDefer(u unit, available *node) bool {
	step := u.spec()
	if step.Service || step.Gang || step.MaxPerRunner > 0 || len(c.plan.Deferred) >= maxDeferrals {
		return false
	}
	run := c.view.Predict(u.job.Terms.Queue, step.ExpectedRun).Run
	availableRun := c.expectedRun(step, available)
	var best *deferral
	for _, n := range c.pools[u.job.Terms.Pool] {
		candidateRun := c.expectedRun(step, n)
		if candidateRun >= availableRun || !n.eligible(step) {
			continue
		}
		gain := run * clock.Millis(availableRun-candidateRun) / oneInThousandths
		if gain <= minDeferralGain {
			continue
		}
		wait, ok := c.timeUntilFree(n, step.Demand)
		if ok && wait+minDeferralGain < gain && wait < maxDeferral && (best == nil || wait-gain < best.wait-best.gain) {
			best = &deferral{n, gain, wait}
		}
	}
	ref := u.firstTask()
	if best == nil || c.view.DeferredFor(ref) >= min(best.gain, maxDeferral) {
		return false
	}
	releases := c.releasesOn(best.node)
	releases.claimed = releases.claimed.Plus(step.Demand)
	c.plan.Deferred = append(c.plan.Deferred, ref)
	return true
}

// deferralRetention is how long a deferred task is remembered after it was last deferred: a
// cycle does not necessarily consider every task.
const deferralRetention clock.Millis = 1000

// DeferredTasks tracks how long tasks have been deferred. The caller keeps it from cycle to
// cycle. Its size is bounded: it holds only tasks of recent cycles, and each cycle defers at
// most maxDeferrals.
type DeferredTasks struct {
	spans map[identifier.TaskRef]deferredSpan
}

// deferredSpan holds when a task was first and last deferred.
type deferredSpan struct {
	first clock.Monotonic
	last  clock.Monotonic
}

// NewDeferredTasks returns an empty set.
func NewDeferredTasks() *DeferredTasks {
	return &DeferredTasks{spans: map[identifier.TaskRef]deferredSpan{}}
}

// For returns how long a task has been deferred, 0 if it is not.
func (d *DeferredTasks) For(ref identifier.TaskRef, now clock.Monotonic) clock.Millis {
	if span, ok := d.spans[ref]; ok {
		return now.Since(span.first)
	}
	return 0
}

// Any reports whether any task was deferred recently.
func (d *DeferredTasks) Any() bool { return len(d.spans) > 0 }

// Update records the tasks that a cycle deferred, and drops those not deferred for longer
// than deferralRetention.
func (d *DeferredTasks) Update(refs []identifier.TaskRef, now clock.Monotonic) {
	for ref, span := range d.spans {
		if now.Since(span.last) > deferralRetention {
			delete(d.spans, ref)
		}
	}
	for _, ref := range refs {
		span, ok := d.spans[ref]
		if !ok {
			span.first = now
		}
		span.last = now
		d.spans[ref] = span
	}
}
