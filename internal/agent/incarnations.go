package agent

import "orchidward/internal/api/identifier"

// maxIncarnations bounds the incarnations that are kept in a set.
const maxIncarnations = 16

// incarnationSet is a set of incarnations of bounded size.
type incarnationSet map[identifier.Incarnation]bool

// add adds an incarnation. It first drops all others once the set is full.
func (s incarnationSet) add(incarnation identifier.Incarnation) {
	if len(s) >= maxIncarnations {
		clear(s)
	}
	s[incarnation] = true
}

// over reports whether heartbeats of the incarnation are to be ignored.
func (r *runnerState) over(incarnation identifier.Incarnation) bool {
	return r.superseded[incarnation] || r.retired[incarnation]
}

// beginIncarnation records that a new incarnation of the runner reports. The attempts of the
// previous incarnation are dead.
func (a *Agent) beginIncarnation(incarnation identifier.Incarnation) {
	if a.runner.heartbeat != nil {
		previous := a.runner.heartbeat.Runner
		a.runner.superseded.add(previous)
		a.logEvent("runner-restarted", "was", previous, "is", incarnation)
	}
	a.resetAttempts()
	a.runner.heartbeat = nil
	a.runner.unannouncedAt = 0
	a.unreported = true
}

// retireIncarnation records that a later incarnation of the runner than the given one has
// reported to the control plane. If the agent follows the earlier one, a late heartbeat has
// misled it: it forgets that one, and what that one has superseded.
func (a *Agent) retireIncarnation(incarnation identifier.Incarnation) {
	a.runner.retired.add(incarnation)
	if !a.runner.isIncarnation(incarnation) {
		return
	}
	a.logEvent("runner-retired", "was", incarnation)
	clear(a.runner.superseded)
	a.resetAttempts()
	a.runner.heartbeat = nil
	a.runner.leftAt = 0
	a.runner.unannouncedAt = 0
}

// resetAttempts discards the orders and the progress of all attempts of an incarnation.
func (a *Agent) resetAttempts() {
	a.orders = newPendingOrders()
	a.progress = map[attempt]runProgress{}
}
