package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// A runner is presumed dead once it has been silent for deadSilence and its lease
	// expired more than deadSlack ago.
	deadSilence clock.Millis = 1000
	deadSlack   clock.Millis = 100
	// leaveDelay is how long after its leave notification a runner that announced its
	// departure is considered to have left, unless it sends another heartbeat.
	leaveDelay clock.Millis = 300
)

// runnerState is what the agent knows about its runner.
type runnerState struct {
	// heartbeat is the last heartbeat, nil before the first of an incarnation, and
	// receivedAt is when it arrived.
	heartbeat  *Heartbeat
	receivedAt clock.Monotonic
	// leaseEnd is when the last lease granted to the runner, by this or an earlier agent
	// process, has expired even on the slowest permitted clock.
	leaseEnd clock.Monotonic
	// deathReported is set once the runner's death has been queued for reporting to the
	// control plane.
	deathReported bool
	// leftAt is when the runner sent its leave notification after announcing its departure,
	// unannouncedAt when it sent one without announcing it; 0 means never. A runner that
	// leaves unannounced keeps running for a while, and so do its attempts.
	leftAt        clock.Monotonic
	unannouncedAt clock.Monotonic
	// superseded holds the incarnations that another one has replaced here. A late heartbeat
	// of an earlier incarnation may have replaced a later one, so that the set is cleared
	// once the current incarnation is presumed dead or turns out to be over.
	superseded incarnationSet
	// retired holds the incarnations that the control plane has declared to be over.
	retired incarnationSet
}

// presumedDead reports whether the runner is silent and every lease it was granted has
// expired, so that none of its attempts can still be running.
func (r *runnerState) presumedDead(now clock.Monotonic) bool {
	if r.heartbeat == nil {
		return false
	}
	return now > r.leaseEnd.Add(deadSlack) && now.Since(r.receivedAt) > deadSilence
}

// left reports whether the runner has left in an orderly way.
func (r *runnerState) left(now clock.Monotonic) bool {
	return r.leftAt > 0 && now.Since(r.leftAt) > leaveDelay
}

// draining reports whether the runner is about to leave, according to its last heartbeat or
// a leave notification.
func (r *runnerState) draining() bool { return r.drainingAsOf(r.heartbeat) }

// drainingAsOf is like draining, but uses the given heartbeat in place of the last one.
func (r *runnerState) drainingAsOf(heartbeat *Heartbeat) bool {
	return heartbeat.Draining || r.unannouncedAt > 0
}

// departsIn returns the minimum time until a draining runner leaves. A runner that left
// unannounced is expected to keep running for notice after its leave notification.
func (r *runnerState) departsIn(now clock.Monotonic, notice clock.Millis) clock.Millis {
	if r.heartbeat.Draining {
		return max(0, r.heartbeat.DepartsIn-now.Since(r.receivedAt))
	}
	return max(0, notice-now.Since(r.unannouncedAt))
}

// isIncarnation reports whether the last heartbeat came from the given incarnation.
func (r *runnerState) isIncarnation(incarnation identifier.Incarnation) bool {
	return r.heartbeat != nil && r.heartbeat.Runner == incarnation
}

// HandleHeartbeat processes a heartbeat of the runner and returns the response to send
// immediately. A late heartbeat, or one from a superseded incarnation, gets no lease.
func (a *Agent) HandleHeartbeat(heartbeat Heartbeat, now clock.Monotonic) Orders {
	a.now = max(a.now, now)
	orders := Orders{NextHeartbeat: a.config.HeartbeatInterval}
	switch {
	case a.runner.over(heartbeat.Runner):
		return orders
	case !a.runner.isIncarnation(heartbeat.Runner):
		a.beginIncarnation(heartbeat.Runner)
	case heartbeat.Seq <= a.runner.heartbeat.Seq:
		return orders
	}
	a.compareWithOrders(&heartbeat)
	a.recordProgress(&heartbeat)
	a.runner.heartbeat = &heartbeat
	a.runner.receivedAt = a.now
	a.runner.leftAt = 0
	a.runner.deathReported = false
	orders.FencingToken = a.token.value
	orders.ObservedThrough = a.orders.observedThrough
	if left := a.contact.leaseLeft(a.now); left > 0 {
		orders.Lease = min(left, a.usualLease())
		a.runner.leaseEnd = max(a.runner.leaseEnd, a.now.Add(orders.Lease.WithDrift()))
		if !heartbeat.EndsTruncated {
			orders.Start = a.orders.takeStarts(a.now)
		}
	}
	orders.Stop = a.orders.stopsForRunner()
	a.pollIfDue()
	return orders
}

// RunnerLeft processes the runner's leave notification. A runner that announced its
// departure beforehand is terminating now. A runner that did not is draining from now on,
// whatever its heartbeats say: it keeps running for a while, with or without heartbeats, and
// its attempts count as running until their end is reported or their lease expires. A
// repeated notification, or one from an earlier incarnation, has no effect.
func (a *Agent) RunnerLeft(incarnation identifier.Incarnation, now clock.Monotonic) {
	a.now = max(a.now, now)
	switch {
	case !a.runner.isIncarnation(incarnation):
	case a.runner.heartbeat.Draining:
		a.runner.leftAt = a.now
	case a.runner.unannouncedAt == 0:
		a.runner.unannouncedAt = a.now
		a.unreported = true
		a.orders.dropUnsentStarts()
		a.logEvent("runner-leaves-unannounced", "runner", incarnation)
		a.pollIfDue()
	}
}

// usualLease returns the longest lease that may be granted to the runner now.
func (a *Agent) usualLease() clock.Millis {
	if a.config.UsualLease == 0 || a.stopping {
		return a.config.MaxLease
	}
	return min(a.config.UsualLease, a.config.MaxLease)
}

// compareWithOrders compares a heartbeat with the previous one and with the pending orders,
// and sets unreported if anything changed.
func (a *Agent) compareWithOrders(heartbeat *Heartbeat) {
	reported := heartbeat.attempts()
	if differs(a.runner.heartbeat, heartbeat, reported) {
		a.unreported = true
	}
	if heartbeat.EndsTruncated && (a.runner.heartbeat == nil || !a.runner.heartbeat.EndsTruncated) {
		a.logEvent("ends-truncated", "runner", heartbeat.Runner, "listed", len(heartbeat.Finished))
	}
	if a.orders.pruneStarts(reported, a.runner.drainingAsOf(heartbeat), a.now) {
		a.unreported = true
	}
	for _, stopped := range a.orders.recordCleared(reported) {
		a.unreported = true
		a.logEvent("run-never-started", "task", stopped.task, "run", stopped.number)
	}
}

// differs reports whether a heartbeat has changes over the previous one other than the
// progress of attempts.
func differs(previous, current *Heartbeat, reported reportedAttempts) bool {
	if previous == nil || previous.Draining != current.Draining || previous.Capacity != current.Capacity || previous.Pool != current.Pool {
		return true
	}
	if len(previous.Active) != len(current.Active) || len(previous.Finished) != len(current.Finished) {
		return true
	}
	for _, active := range previous.Active {
		if !reported.listed[attempt{active.Task, active.Attempt}] {
			return true
		}
	}
	for i := range previous.Finished {
		if previous.Finished[i].Seq != current.Finished[i].Seq {
			return true
		}
	}
	return false
}
