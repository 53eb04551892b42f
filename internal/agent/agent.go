package agent

import (
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Agent is the agent of one runner as a pure state machine. It performs no I/O and reads no
// clock. It is not safe for concurrent use.
type Agent struct {
	config Config
	now    clock.Monotonic
	output Output
	// stopping is set once this process is about to exit.
	stopping bool

	runner   runnerState
	orders   pendingOrders
	progress map[attempt]runProgress

	polls   pollState
	contact controlPlaneContact
	token   fencingToken
	// unreported is set while there are changes that no poll has reported yet.
	unreported bool
}

// controlPlaneContact records the last confirmed contact with the control plane and the
// duration of the lease that it granted.
type controlPlaneContact struct {
	// pollSentAt is when the agent sent the last poll that was answered.
	pollSentAt  clock.Monotonic
	established bool
	lease       clock.Millis
}

// leaseLeft returns the remaining time of the control plane's lease, 0 or less once it has
// expired.
func (c *controlPlaneContact) leaseLeft(now clock.Monotonic) clock.Millis {
	if !c.established {
		return 0
	}
	return c.lease - now.Since(c.pollSentAt)
}

// recordAnswer records that a poll sent at sentAt was answered.
func (c *controlPlaneContact) recordAnswer(sentAt clock.Monotonic) {
	c.pollSentAt = max(c.pollSentAt, sentAt)
	c.established = true
}

// New returns an agent that has had no contact yet with its runner or the control plane. It
// assumes that a previous agent process has just granted the runner the longest possible
// lease.
func New(config Config, now clock.Monotonic) *Agent {
	a := &Agent{
		config: config,
		now:    now,
		runner: runnerState{
			leaseEnd:   now.Add(config.MaxLease.WithDrift()),
			superseded: incarnationSet{},
			retired:    incarnationSet{},
		},
		polls: newPollState(config),
	}
	a.resetAttempts()
	return a
}

// PrepareToStop announces that this process is about to exit: from now on the agent grants
// its runner the longest possible lease.
func (a *Agent) PrepareToStop() { a.stopping = true }

// InContact reports whether the control plane's lease is still valid.
func (a *Agent) InContact() bool { return a.contact.leaseLeft(a.now) > 0 }

// FencingToken returns the highest fencing token known to this agent, 0 if there is none.
func (a *Agent) FencingToken() uint64 { return a.token.value }

// TakeOutput returns the pending output and clears it.
func (a *Agent) TakeOutput() Output {
	out := a.output
	a.output = Output{}
	return out
}

// Tick advances the time: it drops expired starts, reports a dead runner, and polls when
// due. The owner should call it every TickInterval.
func (a *Agent) Tick(now clock.Monotonic) {
	a.now = max(a.now, now)
	a.requestFencingToken()
	if a.orders.dropExpired(a.now) {
		a.unreported = true
	}
	if a.runner.presumedDead(a.now) && !a.runner.deathReported {
		a.runner.deathReported = true
		clear(a.runner.superseded)
		a.unreported = true
		a.logEvent("runner-dead", "runner", a.runner.heartbeat.Runner, "silentMs", a.now.Since(a.runner.receivedAt))
	}
	if a.polls.open != nil && a.now.Since(a.polls.open.sentAt) > a.pollTimeout() {
		a.polls.open = nil
		a.polls.recordFailure(a.now)
	}
	a.pollIfDue()
}

// HandleMessage processes a message from the control plane.
func (a *Agent) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic) {
	a.now = max(a.now, now)
	if announcement := msg.Announcement; announcement != nil && announcement.ClaimsLeadership() {
		a.switchToLeader(announcement)
		return
	}
	if msg.Response == nil {
		return
	}
	if msg.Response.ID == a.token.requestID {
		a.handleFencingToken(msg.Response)
		return
	}
	a.handlePollResponse(from, msg.Response)
}

func (a *Agent) logEvent(name string, fields ...any) {
	a.output.Events = append(a.output.Events, Event{name, fields})
}

func (a *Agent) send(to string, request *wire.Request) {
	a.output.Messages = append(a.output.Messages, wire.Envelope{To: wire.Peer(to), Message: wire.Message{Request: request}})
}
