// Package inflight keeps the requests that were made at one server of the
// control plane until they have an answer. It is a pure state machine: requests,
// replies and the time go in; dispatches and answers come out.
//
// Each request is given to the server's own machine as if it came from a peer
// of its own, "@" and its number. One that met no leader is given again a little
// later. When the server has been without a leader for a while, whatever waits
// is answered at once, so that the caller can go on to another server.
package inflight

import (
	"sort"
	"strconv"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
	"orchidward/internal/stalldetector"
	"orchidward/internal/transport/wire"
)

const (
	defaultBudget      clock.Millis = 2000
	retryInterval      clock.Millis = 100
	noLeaderRetryAfter clock.Millis = 500
	maxRequests                     = 4096
	maxBodyBytes                    = 64 << 20
	maxExpired                      = 4
)

// request is one that waits. While dispatched is set the machine has it; else
// it is due at retryAt.
type request struct {
	gateway.Request
	respond    func(a gateway.Response)
	deadline   clock.Monotonic
	dispatched bool
	retryAt    clock.Monotonic
	// outcomeUnknown says that an earlier dispatch may have been carried out.
	outcomeUnknown bool
	// expired counts the dispatches that were refused as too old.
	expired int
}

// Dispatch is a request on its way to the machine.
type Dispatch struct {
	Peer    wire.Peer
	Request *wire.Request
}

// Requests are those that wait at one server. They are bounded by number and by
// the bytes of their bodies.
type Requests struct {
	pending    map[uint64]*request
	bodyBytes  int
	dispatches []Dispatch
	stalls     stalldetector.Detector
}

// New makes an empty set of requests.
func New() *Requests { return &Requests{pending: map[uint64]*request{}} }

// LocalPeer is the name under which the machine knows a request made here.
func LocalPeer(id uint64) wire.Peer { return wire.Peer("@" + strconv.FormatUint(id, 10)) }

// Len is how many requests wait.
func (r *Requests) Len() int { return len(r.pending) }

// TakeDispatches hands over what is to be given to the machine.
func (r *Requests) TakeDispatches() []Dispatch {
	var list []Dispatch
	list, r.dispatches = r.dispatches, nil
	return list
}

// Observe notes that the process runs; it is called at every input of it, first.
func (r *Requests) Observe(now clock.Monotonic) { r.stalls.Observe(now) }

// Admit takes a request in. Done is called once with its answer, at once when
// it can't be dispatched: connected tells whether the server knows a leader, or
// did a moment ago. A budget of 0 is 2 s.
func (r *Requests) Admit(q gateway.Request, done func(a gateway.Response), now clock.Monotonic, connected bool) {
	r.Observe(now)
	refuse := func(a gateway.Response) {
		a.ID = q.ID
		done(a)
	}
	switch {
	case len(r.pending) >= maxRequests || r.bodyBytes+len(q.Body) > maxBodyBytes:
		refuse(Overloaded())
		return
	case q.Method != "GET" && r.stalls.Draining(now):
		refuse(Refusal(503, "woken", "this server stood still and can't tell how old the request is", retryInterval))
		return
	case !connected:
		refuse(noLeader())
		return
	}
	if q.Budget <= 0 {
		q.Budget = defaultBudget
	}
	one := &request{Request: q, respond: done, deadline: now.Add(q.Budget)}
	r.pending[q.ID] = one
	r.bodyBytes += len(q.Body)
	r.dispatch(one, now)
}

func (r *Requests) dispatch(one *request, now clock.Monotonic) {
	one.dispatched = true
	ask := &wire.Request{ID: one.ID, Method: one.Method, Path: one.Path, Query: one.Query, Body: one.Body, Budget: one.deadline.Since(now)}
	r.dispatches = append(r.dispatches, Dispatch{LocalPeer(one.ID), ask})
}

// Complete takes the machine's reply to a dispatch.
func (r *Requests) Complete(to wire.Peer, reply *wire.Response, now clock.Monotonic) {
	one := r.pending[reply.ID]
	if one == nil || to != LocalPeer(reply.ID) || !one.dispatched {
		return
	}
	left := now < one.deadline
	switch {
	case reply.NotLeader:
		one.dispatched, one.retryAt = false, now.Add(retryInterval)
	case reply.Expired && left && one.expired < maxExpired:
		one.expired++
		r.dispatch(one, now)
	case reply.Status == 504 && left && one.Repeatable():
		one.outcomeUnknown = true
		one.dispatched, one.retryAt = false, now
	case one.outcomeUnknown && one.Method != "GET" && (reply.Status == 503 || reply.Status == 429):
		r.complete(one, outcomeUnknown())
	default:
		r.complete(one, gateway.Response{Status: reply.Status, Body: reply.Body, RetryAfter: reply.RetryAfter})
	}
}

// Tick answers what is out of time or has no leader to go to, and dispatches
// again what is due.
func (r *Requests) Tick(now clock.Monotonic, connected bool) {
	r.Observe(now)
	for _, id := range r.sortedIDs() {
		one := r.pending[id]
		switch {
		case now >= one.deadline && one.dispatched:
			r.complete(one, outcomeUnknown())
		case now >= one.deadline, !one.dispatched && !connected:
			r.completeWithoutLeader(one)
		case !one.dispatched && now >= one.retryAt:
			r.dispatch(one, now)
		}
	}
}

// completeWithoutLeader answers a request that no leader has at this moment.
func (r *Requests) completeWithoutLeader(one *request) {
	if one.outcomeUnknown && one.Method != "GET" {
		r.complete(one, outcomeUnknown())
		return
	}
	r.complete(one, noLeader())
}

func (r *Requests) sortedIDs() []uint64 {
	var list []uint64
	for id := range r.pending {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (r *Requests) complete(one *request, a gateway.Response) {
	a.ID = one.ID
	r.Forget(a.ID)
	one.respond(a)
}

// Forget drops a request whose caller has gone.
func (r *Requests) Forget(id uint64) {
	if one := r.pending[id]; one != nil {
		delete(r.pending, id)
		r.bodyBytes -= len(one.Body)
	}
}

// Refusal is an answer in the one shape that errors have.
func Refusal(status int, code, why string, retry clock.Millis) gateway.Response {
	return gateway.Response{Status: status, RetryAfter: retry, Body: jsondoc.ErrorBody{Code: code, Message: why, RetryAfter: retry}.JSON()}
}

// Overloaded is the answer of a server that can take no more requests.
func Overloaded() gateway.Response { return Refusal(503, "busy", "this server is full", 1000) }

func noLeader() gateway.Response {
	return Refusal(503, "no-leader", "no leader is known here", noLeaderRetryAfter)
}

func outcomeUnknown() gateway.Response {
	return Refusal(504, "no-answer", "the leader did not answer in time; the outcome is not known", 500)
}
