package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// A runner is presumed dead once it has been silent for deadSilence and its lease has
	// been over for deadSlack.
	deadSilence clock.Millis = 1000
	deadSlack   clock.Millis = 100
	// leaveDelay is how long after its farewell a runner counts as gone that had
	// announced its departure, unless it is heard again.
	leaveDelay clock.Millis = 300
	// maxSuperseded bounds the incarnations that are remembered.
	maxSuperseded = 16
)

// runnerState is what the agent knows of its runner.
type runnerState struct {
	// heartbeat is the last one, nil before the first of an incarnation, and heardAt when
	// it came.
	heartbeat *Heartbeat
	heardAt   clock.Monotonic
	// leaseEnd is when the last lease given to the runner, by this process or one before
	// it, has run out on the slowest clock.
	leaseEnd clock.Monotonic
	// deathReported says that the control plane is told that the runner is dead.
	deathReported bool
	// leftAt is when the runner said farewell at the end of an announced departure, 0
	// when it has not. unannouncedAt is when it did so without having announced it, 0
	// when it has not: it goes on for a while, and what it runs does too.
	leftAt        clock.Monotonic
	unannouncedAt clock.Monotonic
	// superseded are the incarnations that another has replaced.
	superseded map[identifier.Incarnation]bool
}

// presumedDead reports whether the runner is silent and whatever it ran is over.
func (r *runnerState) presumedDead(now clock.Monotonic) bool {
	if r.heartbeat == nil {
		return false
	}
	return now > r.leaseEnd.Add(deadSlack) && now.Since(r.heardAt) > deadSilence
}

// hasLeft reports whether the runner has ended in order.
func (r *runnerState) hasLeft(now clock.Monotonic) bool {
	return r.leftAt > 0 && now.Since(r.leftAt) > leaveDelay
}

// draining reports whether the runner is about to leave: by its last heartbeat, or since it
// has said farewell.
func (r *runnerState) draining() bool { return r.drainingAsOf(r.heartbeat) }

// drainingAsOf reports the same by a given heartbeat.
func (r *runnerState) drainingAsOf(heartbeat *Heartbeat) bool {
	return heartbeat.Draining || r.unannouncedAt > 0
}

// departsIn is the least time that a draining runner has left. One that said farewell
// without notice is expected to go on for notice.
func (r *runnerState) departsIn(now clock.Monotonic, notice clock.Millis) clock.Millis {
	if r.heartbeat.Draining {
		return max(0, r.heartbeat.DepartsIn-now.Since(r.heardAt))
	}
	return max(0, notice-now.Since(r.unannouncedAt))
}

// isIncarnation reports whether the last heartbeat came from this incarnation.
func (r *runnerState) isIncarnation(incarnation identifier.Incarnation) bool {
	return r.heartbeat != nil && r.heartbeat.Runner == incarnation
}

// HandleHeartbeat takes a heartbeat of the runner and answers it at once. One that comes
// late, or from an incarnation that another has replaced, is answered without a lease.
func (a *Agent) HandleHeartbeat(heartbeat Heartbeat, now clock.Monotonic) Orders {
	a.now = max(a.now, now)
	orders := Orders{NextHeartbeat: a.config.HeartbeatInterval}
	switch {
	case a.runner.superseded[heartbeat.Runner]:
		return orders
	case !a.runner.isIncarnation(heartbeat.Runner):
		a.beginIncarnation(heartbeat.Runner)
	case heartbeat.Seq <= a.runner.heartbeat.Seq:
		return orders
	}
	a.compareWithOrders(&heartbeat)
	a.recordProgress(&heartbeat)
	a.runner.heartbeat = &heartbeat
	a.runner.heardAt = a.now
	a.runner.leftAt = 0
	a.runner.deathReported = false
	orders.FencingToken = a.token.value
	orders.ObservedThrough = a.orders.observedThrough
	if left := a.contact.leaseLeft(a.now); left > 0 {
		orders.Lease = min(left, a.usualLease())
		a.runner.leaseEnd = max(a.runner.leaseEnd, a.now.Add(orders.Lease.WithDrift()))
		orders.Start = a.orders.takeStarts(a.now)
	}
	orders.Stop = a.orders.stopsForRunner()
	a.pollIfDue()
	return orders
}

// RunnerLeft takes the runner's farewell. One that had announced its departure ends now.
// One that had not is draining from now on, whatever its heartbeats say: it goes on for a
// while, with or without heartbeats, and what it runs counts as running until its end is
// reported or its lease has run out. A farewell that is repeated, or comes from an earlier
// incarnation, changes nothing.
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

// usualLease is the longest lease to give the runner now.
func (a *Agent) usualLease() clock.Millis {
	if a.config.UsualLease == 0 || a.stopping {
		return a.config.MaxLease
	}
	return min(a.config.UsualLease, a.config.MaxLease)
}

// beginIncarnation notes that another incarnation of the runner reports: whatever the
// earlier one ran is dead.
func (a *Agent) beginIncarnation(incarnation identifier.Incarnation) {
	if a.runner.heartbeat != nil {
		previous := a.runner.heartbeat.Runner
		if len(a.runner.superseded) >= maxSuperseded {
			clear(a.runner.superseded)
		}
		a.runner.superseded[previous] = true
		a.logEvent("runner-restarted", "was", previous, "is", incarnation)
	}
	a.forgetRuns()
	a.runner.heartbeat = nil
	a.runner.unannouncedAt = 0
	a.unreported = true
}

// forgetRuns drops everything that concerns the attempts of one incarnation.
func (a *Agent) forgetRuns() {
	a.orders = newPendingOrders()
	a.progress = map[attempt]runProgress{}
}

// compareWithOrders compares a heartbeat with the one before it, and with what was
// ordered.
func (a *Agent) compareWithOrders(heartbeat *Heartbeat) {
	present := heartbeat.attempts()
	if differs(a.runner.heartbeat, heartbeat, present) {
		a.unreported = true
	}
	if a.orders.pruneStarts(present, a.runner.drainingAsOf(heartbeat), a.now) {
		a.unreported = true
	}
	for _, stopped := range a.orders.recordCleared(present) {
		a.unreported = true
		a.logEvent("run-never-started", "task", stopped.task, "run", stopped.number)
	}
}

// attempts is the set of those that a heartbeat reports, as running or ended.
func (h *Heartbeat) attempts() map[attempt]bool {
	set := map[attempt]bool{}
	for _, active := range h.Active {
		set[attempt{active.Task, active.Attempt}] = true
	}
	for _, finished := range h.Finished {
		set[attempt{finished.Task, finished.Attempt}] = true
	}
	return set
}

// differs reports whether a heartbeat says something that the one before it did not, beyond
// the progress of attempts.
func differs(previous, current *Heartbeat, present map[attempt]bool) bool {
	if previous == nil || previous.Draining != current.Draining || previous.Capacity != current.Capacity || previous.Pool != current.Pool {
		return true
	}
	if len(previous.Active) != len(current.Active) || len(previous.Finished) != len(current.Finished) {
		return true
	}
	for _, active := range previous.Active {
		if !present[attempt{active.Task, active.Attempt}] {
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
