package agent

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	// initialPollTimeout is the poll timeout until the agent learns how long the control
	// plane holds a poll open. From then on the timeout is that time plus pollSlack.
	initialPollTimeout clock.Millis = 1000
	pollSlack          clock.Millis = 150
	// reconnectTimeout replaces the poll timeout once no poll that was sent within
	// contactLostAfter has been answered.
	reconnectTimeout clock.Millis = 300
	contactLostAfter clock.Millis = 2000
	// replaceDelay is the minimum age of an open poll before a poll with new information
	// replaces it.
	replaceDelay clock.Millis = 10
)

// pollTimeout returns how long to wait for the response to the open poll. While the agent has
// lost contact it polls more often, since the control plane answers the first poll after
// contact is restored immediately.
func (a *Agent) pollTimeout() clock.Millis {
	if a.polls.backoff > 0 && a.now.Since(a.contact.pollSentAt) > contactLostAfter {
		return reconnectTimeout
	}
	return a.polls.timeout
}

// pollIfDue keeps one poll open. Unreported changes are sent in a new poll that replaces it.
func (a *Agent) pollIfDue() {
	p := &a.polls
	if a.runner.heartbeat == nil || len(p.servers) == 0 || a.now < p.nextAt {
		return
	}
	if p.open != nil && (!a.unreported || a.now.Since(p.open.sentAt) < replaceDelay) {
		return
	}
	a.unreported = false
	p.begin(a.runner.heartbeat.Runner, a.now)
	body, err := json.Marshal(a.pollRequest())
	if err != nil {
		panic("agent: encoding a poll: " + err.Error())
	}
	a.send(p.server(), &wire.Request{
		ID:     p.seq,
		Method: http.MethodPost,
		Path:   endpoint.PollPath(a.config.Name),
		Body:   body,
		Budget: initialPollTimeout,
	})
}

// pollRequest builds the agent's report on its runner.
func (a *Agent) pollRequest() runnerapi.PollRequest {
	heartbeat := a.runner.heartbeat
	silentFor := a.now.Since(a.runner.receivedAt)
	request := runnerapi.PollRequest{
		Agent:        true,
		Incarnation:  heartbeat.Runner,
		Seq:          a.polls.seq,
		Cores:        heartbeat.Capacity.Cores,
		MilliCores:   heartbeat.Capacity.MilliCores,
		Mem:          heartbeat.Capacity.Mem,
		GPUs:         heartbeat.Capacity.GPUs,
		Pool:         heartbeat.Pool,
		AgentAddr:    a.config.Addr,
		Labels:       heartbeat.Labels,
		Domain:       heartbeat.Domain,
		Rack:         heartbeat.Rack,
		Mode:         runnerapi.ModeActive,
		SilentFor:    silentFor,
		Active:       a.activeRuns(),
		Finished:     heartbeat.Finished,
		Cleared:      a.orders.clearedStops(),
		LeftInOrder:  a.runner.left(a.now),
		PresumedDead: a.runner.presumedDead(a.now),
	}
	if a.runner.draining() {
		request.Mode = runnerapi.ModeDraining
		request.DepartsIn = a.runner.departsIn(a.now, a.config.DepartureNotice)
	}
	return request
}

// activeRuns lists the attempts that the last heartbeat reports as running, with the stalls
// and progress rates that the agent has measured, and the starts in flight to the runner.
func (a *Agent) activeRuns() []runnerapi.RunState {
	var list []runnerapi.RunState
	for _, active := range a.runner.heartbeat.Active {
		p := a.progress[attempt{active.Task, active.Attempt}]
		if p.stalled(a.now) {
			active.StalledFor = a.now.Since(p.changedAt)
		}
		active.ProgressRate = p.rate
		list = append(list, active)
	}
	for _, order := range a.orders.sortedStarts() {
		list = append(list, runnerapi.RunState{Task: order.Task, Attempt: order.Attempt})
	}
	return list
}

// handlePollResponse processes the response to a poll.
func (a *Agent) handlePollResponse(from wire.Peer, r *wire.Response) {
	open := a.polls.open
	if open == nil || r.ID != open.seq {
		a.handleReplacedPoll(r)
		return
	}
	a.polls.open = nil
	delete(a.polls.sentAt, open.seq)
	response, ok := decodePollResponse(r)
	if !ok {
		if !r.NotLeader && r.Status != a.polls.refusedStatus {
			a.polls.refusedStatus = r.Status
			a.logEvent("poll-refused", "status", r.Status, "body", string(r.Body), "via", from)
		}
		a.polls.recordFailure(a.now)
		return
	}
	a.polls.backoff = 0
	a.polls.nextAt = a.now
	a.polls.refusedStatus = 0
	if response.Retired {
		a.retireIncarnation(open.incarnation)
		return
	}
	if !a.InContact() {
		a.logEvent("in-touch", "via", from)
	}
	a.contact.recordAnswer(open.sentAt)
	a.applyOrders(response, open)
	a.pollIfDue()
}

func decodePollResponse(r *wire.Response) (response *runnerapi.PollResponse, ok bool) {
	if r.NotLeader || r.Status != http.StatusOK {
		return nil, false
	}
	response = &runnerapi.PollResponse{}
	return response, json.Unmarshal(r.Body, response) == nil
}

// handleReplacedPoll processes the response to a poll that was replaced or timed out. Its
// orders are ignored, since the control plane repeats them, but the response proves that the
// control plane has received that poll, and so renews the lease from when it was sent.
func (a *Agent) handleReplacedPoll(r *wire.Response) {
	sentAt, ok := a.polls.sentAt[r.ID]
	if !ok {
		return
	}
	delete(a.polls.sentAt, r.ID)
	response, ok := decodePollResponse(r)
	if !ok || response.Retired {
		return
	}
	a.contact.recordAnswer(sentAt)
	a.updateLease(response)
}

// updateLease stores the lease duration and the fencing token from a response.
func (a *Agent) updateLease(response *runnerapi.PollResponse) {
	if response.Lease > 0 {
		a.contact.lease = response.Lease
	}
	a.token.value = max(a.token.value, response.FencingToken)
}

// applyOrders applies the orders in a poll response. They are meant for the incarnation that the
// poll reported on.
func (a *Agent) applyOrders(response *runnerapi.PollResponse, open *openPoll) {
	a.updateLease(response)
	if response.StartTimeout > 0 {
		a.polls.timeout = runnerapi.PollTimeout(response.StartTimeout) + pollSlack
	}
	a.polls.seq = max(a.polls.seq, response.Seq)
	if len(response.Servers) > 0 {
		a.polls.servers = response.Servers
		a.polls.current = 0
	}
	if !a.runner.isIncarnation(open.incarnation) {
		return
	}
	a.orders.observedThrough = max(a.orders.observedThrough, response.ObservedThrough)
	a.orders.replaceStops(response.StopRuns)
	if a.runner.draining() {
		return
	}
	expires := open.sentAt.Add(response.StartTimeout)
	if a.orders.addStarts(response.Starts, a.runner.heartbeat.attempts(), expires) {
		a.unreported = true
	}
}

// switchToLeader switches to a new leader that has announced itself, and polls it immediately.
func (a *Agent) switchToLeader(announcement *wire.Announcement) {
	p := &a.polls
	if len(p.servers) > 0 && p.server() == announcement.Addr && p.open != nil {
		return
	}
	servers := []string{announcement.Addr}
	for _, member := range announcement.Members {
		if member.Addr != announcement.Addr {
			servers = append(servers, member.Addr)
		}
	}
	p.servers = servers
	p.current = 0
	p.backoff = 0
	p.nextAt = a.now
	p.open = nil
	a.pollIfDue()
}
