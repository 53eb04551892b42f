package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Agent is the agent of one runner as a pure state machine. It does no input or output and
// reads no clock. It is not safe for concurrent use.
type Agent struct {
	config Config
	now    clock.Monotonic
	output Output
	// stopping says that this process is about to end.
	stopping bool

	runner   runnerState
	orders   pendingOrders
	progress map[attempt]runProgress

	polls   pollState
	contact controlPlaneContact
	token   fencingToken
	// unreported says that the control plane has yet to hear of something.
	unreported bool
}

// controlPlaneContact is when the control plane last heard this agent, and for how long
// that holds.
type controlPlaneContact struct {
	// sentAt is when the last poll was sent that was answered.
	sentAt      clock.Monotonic
	established bool
	lease       clock.Millis
}

// leaseLeft is what is left of the control plane's lease, 0 or less when it is over.
func (c *controlPlaneContact) leaseLeft(now clock.Monotonic) clock.Millis {
	if !c.established {
		return 0
	}
	return c.lease - now.Since(c.sentAt)
}

// recordAnswer notes that a poll sent at that time was recordAnswer.
func (c *controlPlaneContact) recordAnswer(sentAt clock.Monotonic) {
	c.sentAt = max(c.sentAt, sentAt)
	c.established = true
}

// New makes an agent that has heard neither its runner nor the control plane. It assumes
// that an agent before it has just given the runner the longest lease there is.
func New(config Config, now clock.Monotonic) *Agent {
	a := &Agent{
		config: config,
		now:    now,
		runner: runnerState{
			leaseEnd:   now.Add(config.MaxLease.WithDrift()),
			superseded: map[identifier.Incarnation]bool{},
		},
		polls: newPollState(config),
	}
	a.forgetRuns()
	return a
}

// PrepareToStop says that this agent is about to end: from now on its runner is given the
// longest lease there is.
func (a *Agent) PrepareToStop() { a.stopping = true }

// InContact reports whether the control plane has answered within its lease.
func (a *Agent) InContact() bool { return a.contact.leaseLeft(a.now) > 0 }

// FencingToken is the highest fencing token that this agent knows of, 0 for none.
func (a *Agent) FencingToken() uint64 { return a.token.value }

// TakeOutput returns the output so far and clears it.
func (a *Agent) TakeOutput() Output {
	out := a.output
	a.output = Output{}
	return out
}

// Tick passes in the time: it drops starts that have expired, reports a runner that is
// dead, and polls when due. It should come every TickInterval.
func (a *Agent) Tick(now clock.Monotonic) {
	a.now = max(a.now, now)
	a.requestFencingToken()
	if a.orders.dropExpired(a.now) {
		a.unreported = true
	}
	if a.runner.presumedDead(a.now) && !a.runner.deathReported {
		a.runner.deathReported = true
		a.unreported = true
		a.logEvent("runner-dead", "runner", a.runner.heartbeat.Runner, "silentMs", a.now.Since(a.runner.heardAt))
	}
	if a.polls.open != nil && a.now.Since(a.polls.open.sentAt) > a.pollTimeout() {
		a.polls.open = nil
		a.polls.recordFailure(a.now)
	}
	a.pollIfDue()
}

// HandleMessage passes in a message of the control plane.
func (a *Agent) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic) {
	a.now = max(a.now, now)
	if announcement := msg.Announcement; announcement != nil && announcement.NamesSenderLeader() {
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
