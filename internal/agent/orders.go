package agent

import (
	"cmp"
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// attempt names one attempt at a task.
type attempt struct {
	task   identifier.TaskRef
	number uint64
}

func compareAttempts(x, y attempt) int {
	return cmp.Or(
		cmp.Compare(x.task.Job, y.task.Job),
		cmp.Compare(x.task.Step, y.task.Step),
		cmp.Compare(x.task.Num, y.task.Num),
		cmp.Compare(x.number, y.number),
	)
}

// startOrder is a start on its way to the runner. handedOut says that the
// answer to a heartbeat carried it.
type startOrder struct {
	runnerapi.Start
	expires clock.Monotonic
	sent    bool
}

// pendingOrders are the orders of the control plane for one incarnation of the runner.
type pendingOrders struct {
	starts map[attempt]*startOrder
	stops  map[attempt]bool
	// cleared are attempts to be stopped that were in no heartbeat after the order, and
	// so never will run.
	cleared map[attempt]bool
	// observedThrough is the number up to which the control plane has the runner's ends.
	observedThrough uint64
}

func newPendingOrders() pendingOrders {
	return pendingOrders{starts: map[attempt]*startOrder{}, stops: map[attempt]bool{}, cleared: map[attempt]bool{}}
}

// takeStarts hands out the starts that were not handed out yet. The next heartbeat shows
// whether they arrived.
func (p *pendingOrders) takeStarts(now clock.Monotonic) []runnerapi.Start {
	var list []runnerapi.Start
	for _, order := range p.sortedStarts() {
		if !order.sent && now <= order.expires {
			order.sent = true
			list = append(list, order.Start)
		}
	}
	return list
}

// sortedStarts lists the starts in the order of their leases.
func (p *pendingOrders) sortedStarts() []*startOrder {
	var list []*startOrder
	for _, order := range p.starts {
		list = append(list, order)
	}
	slices.SortFunc(list, func(x, y *startOrder) int { return cmp.Compare(x.Lease, y.Lease) })
	return list
}

// stopsForRunner lists the attempts that the runner is to stop.
func (p *pendingOrders) stopsForRunner() []runnerapi.RunStop {
	list := map[attempt]bool{}
	for stopped := range p.stops {
		if !p.cleared[stopped] {
			list[stopped] = true
		}
	}
	return sortedStops(list)
}

// clearedStops lists the attempts that never will run.
func (p *pendingOrders) clearedStops() []runnerapi.RunStop { return sortedStops(p.cleared) }

func sortedStops(set map[attempt]bool) []runnerapi.RunStop {
	var list []runnerapi.RunStop
	for _, one := range slices.SortedFunc(maps.Keys(set), compareAttempts) {
		list = append(list, runnerapi.RunStop{Task: one.task, Attempt: one.number})
	}
	return list
}

// dropExpired drops starts whose time is up and reports whether there were any.
func (p *pendingOrders) dropExpired(now clock.Monotonic) bool {
	dropped := false
	for name, order := range p.starts {
		if now > order.expires {
			delete(p.starts, name)
			dropped = true
		}
	}
	return dropped
}

// dropUnsentStarts drops the starts that were not handed out: the runner is to get none of them.
func (p *pendingOrders) dropUnsentStarts() {
	for name, order := range p.starts {
		if !order.sent {
			delete(p.starts, name)
		}
	}
}

// pruneStarts drops, at a heartbeat, starts that the runner has or was handed, that have
// expired, or that a draining runner must not get. It reports whether there were any.
func (p *pendingOrders) pruneStarts(present map[attempt]bool, draining bool, now clock.Monotonic) bool {
	dropped := false
	for name, order := range p.starts {
		if present[name] || order.sent || now > order.expires || draining {
			delete(p.starts, name)
			dropped = true
		}
	}
	return dropped
}

// recordCleared notes attempts to be stopped that a heartbeat does not report, and lists
// those that are new.
func (p *pendingOrders) recordCleared(present map[attempt]bool) []attempt {
	var list []attempt
	for stopped := range p.stops {
		if !present[stopped] && !p.cleared[stopped] {
			p.cleared[stopped] = true
			list = append(list, stopped)
		}
	}
	return list
}

// replaceStops takes the attempts that are to stop now, and forgets what was cleared of
// others.
func (p *pendingOrders) replaceStops(list []runnerapi.RunStop) {
	stops := map[attempt]bool{}
	for _, stop := range list {
		name := attempt{stop.Task, stop.Attempt}
		stops[name] = true
		delete(p.starts, name)
		if !p.stops[name] {
			delete(p.cleared, name)
		}
	}
	p.stops = stops
	for name := range p.cleared {
		if !stops[name] {
			delete(p.cleared, name)
		}
	}
}

// addStarts takes new starts and reports whether there were any. An attempt that is already
// ordered, is to stop, or that the runner reports, is passed over.
func (p *pendingOrders) addStarts(list []runnerapi.Start, present map[attempt]bool, expires clock.Monotonic) bool {
	added := false
	for _, start := range list {
		name := attempt{start.Task, start.Attempt}
		if p.starts[name] == nil && !p.stops[name] && !present[name] {
			p.starts[name] = &startOrder{Start: start, expires: expires}
			added = true
		}
	}
	return added
}
