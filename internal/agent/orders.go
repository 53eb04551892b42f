package agent

import (
	"cmp"
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// attempt identifies one attempt at a task.
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

// startOrder is a start that the runner has not confirmed yet. sent is set once a heartbeat
// response has carried it.
type startOrder struct {
	runnerapi.Start
	expires clock.Monotonic
	sent    bool
}

// pendingOrders holds the control plane's orders for one incarnation of the runner.
type pendingOrders struct {
	starts map[attempt]*startOrder
	stops  map[attempt]bool
	// cleared holds the attempts to stop that were absent from a heartbeat received after
	// the stop order, and that therefore never run.
	cleared map[attempt]bool
	// observedThrough is the sequence number up to which the control plane has recorded
	// the ends reported by the runner.
	observedThrough uint64
}

func newPendingOrders() pendingOrders {
	return pendingOrders{starts: map[attempt]*startOrder{}, stops: map[attempt]bool{}, cleared: map[attempt]bool{}}
}

// maxStartsBytes bounds the starts in the response to one heartbeat, in bytes before they are
// encoded. A runner drops a response of over 4 MiB, and an encoded byte can take up six.
const maxStartsBytes = 512 << 10

// takeStarts returns the starts that have not been sent yet, as many as one response may hold,
// and marks them as sent. The next heartbeat shows whether the runner received them.
func (p *pendingOrders) takeStarts(now clock.Monotonic) []runnerapi.Start {
	var list []runnerapi.Start
	for _, order := range p.sortedStarts() {
		if !order.sent && now <= order.expires {
			list = append(list, order.Start)
		}
	}
	list = runnerapi.LimitStarts(list, maxStartsBytes)
	for _, start := range list {
		p.starts[attempt{start.Task, start.Attempt}].sent = true
	}
	return list
}

// sortedStarts lists the starts, ordered by lease.
func (p *pendingOrders) sortedStarts() []*startOrder {
	var list []*startOrder
	for _, order := range p.starts {
		list = append(list, order)
	}
	slices.SortFunc(list, func(x, y *startOrder) int { return cmp.Compare(x.Lease, y.Lease) })
	return list
}

// stopsForRunner lists the attempts that the runner must stop.
func (p *pendingOrders) stopsForRunner() []runnerapi.RunStop {
	list := map[attempt]bool{}
	for stopped := range p.stops {
		if !p.cleared[stopped] {
			list[stopped] = true
		}
	}
	return sortedStops(list)
}

// clearedStops lists the attempts that are certain never to run.
func (p *pendingOrders) clearedStops() []runnerapi.RunStop { return sortedStops(p.cleared) }

func sortedStops(set map[attempt]bool) []runnerapi.RunStop {
	var list []runnerapi.RunStop
	for _, one := range slices.SortedFunc(maps.Keys(set), compareAttempts) {
		list = append(list, runnerapi.RunStop{Task: one.task, Attempt: one.number})
	}
	return list
}

// dropExpired drops expired starts and reports whether there were any.
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

// dropUnsentStarts drops the starts that have not been sent, so that they never are.
func (p *pendingOrders) dropUnsentStarts() {
	for name, order := range p.starts {
		if !order.sent {
			delete(p.starts, name)
		}
	}
}

// pruneStarts drops, when a heartbeat arrives, starts that the heartbeat reports, that were
// sent although the attempt is absent, that have expired, or that a draining runner must not
// receive. It reports whether there were any.
func (p *pendingOrders) pruneStarts(reported reportedAttempts, draining bool, now clock.Monotonic) bool {
	dropped := false
	for name, order := range p.starts {
		unreceived := order.sent && reported.absent(name)
		if reported.listed[name] || unreceived || now > order.expires || draining {
			delete(p.starts, name)
			dropped = true
		}
	}
	return dropped
}

// recordCleared marks as cleared the attempts to stop that are absent from a heartbeat, and
// returns those that were not marked before.
func (p *pendingOrders) recordCleared(reported reportedAttempts) []attempt {
	var list []attempt
	for stopped := range p.stops {
		if reported.absent(stopped) && !p.cleared[stopped] {
			p.cleared[stopped] = true
			list = append(list, stopped)
		}
	}
	return list
}

// replaceStops replaces the attempts to stop, drops their pending starts, and removes the
// cleared marks of all other attempts.
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

// addStarts adds new starts and reports whether there were any. It ignores attempts that
// already have a start order, that must stop, or that the runner reports.
func (p *pendingOrders) addStarts(list []runnerapi.Start, reported reportedAttempts, expires clock.Monotonic) bool {
	added := false
	for _, start := range list {
		name := attempt{start.Task, start.Attempt}
		if p.starts[name] == nil && !p.stops[name] && !reported.listed[name] {
			p.starts[name] = &startOrder{Start: start, expires: expires}
			added = true
		}
	}
	return added
}
