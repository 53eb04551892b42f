package scheduler

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// A task that can only be placed where it runs long - away from its data, or on a slow
// runner - may be done sooner by waiting until a better node has free resources (delay
// scheduling: Zaharia et al., EuroSys 2010). How long that takes is read from the runs on
// that node, and not from a constant. A task waits no longer in all than the detour would
// have cost, so that a wrong prediction at most doubles that (the ski-rental bound).

// maxDeferrals bounds the tasks that one cycle defers; past it tasks are placed where they
// can be.
const maxDeferrals = 200

const (
	// minDeferralGain is what waiting must gain at least, as placing takes a moment too.
	minDeferralGain clock.Millis = 50
	// maxDeferral is how long a task waits for a better node at most, whatever it would gain:
	// a job must not stand still for seconds while there is room for it.
	maxDeferral clock.Millis = 1500
)

// expectedReleases is what will become free on a node as its runs end.
type expectedReleases struct {
	// ends are the expected ends of the runs there, the earliest first.
	ends []expectedEnd
	// claimed is the demand of tasks that wait for the node.
	claimed job.Demand
}

// expectedEnd is the expected end of a run, counted from now.
type expectedEnd struct {
	remaining clock.Millis
	demand    job.Demand
}

// releasesOn returns the future room of a node, which is looked up once in a cycle.
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

// timeUntilFree is when the node is expected to have resources for one more task; it is not ok when
// its runs that end do not free enough.
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
	// gain is how much longer the task would run where it could be placed now.
	gain clock.Millis
	wait clock.Millis
}

// shouldDefer reports whether a task had better wait than be placed on the node, and claims
// room on the node that it waits for.
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

// deferralRetention is for how long a task that is no longer deferred is remembered as one: a
// cycle need not come to every task.
const deferralRetention clock.Millis = 1000

// DeferredTasks tells how long tasks have been deferred. Its owner keeps it from cycle to
// cycle. It holds those of the last cycles only, each of which is bounded.
type DeferredTasks struct {
	spans map[identifier.TaskRef]deferredSpan
}

// deferredSpan is when a task was deferred first and last.
type deferredSpan struct {
	first clock.Monotonic
	last  clock.Monotonic
}

// NewDeferredTasks returns one without tasks.
func NewDeferredTasks() *DeferredTasks {
	return &DeferredTasks{spans: map[identifier.TaskRef]deferredSpan{}}
}

// For is how long a task has been deferred.
func (d *DeferredTasks) For(ref identifier.TaskRef, now clock.Monotonic) clock.Millis {
	if span, ok := d.spans[ref]; ok {
		return now.Since(span.first)
	}
	return 0
}

// Any reports whether any task was deferred lately.
func (d *DeferredTasks) Any() bool { return len(d.spans) > 0 }

// Update takes what a cycle deferred, and forgets what was not for a while.
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
