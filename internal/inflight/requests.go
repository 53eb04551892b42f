package inflight

import (
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
	"orchidward/internal/stalldetector"
	"orchidward/internal/transport/wire"
)

const (
	// defaultBudget is the budget of a request whose caller gives none.
	defaultBudget clock.Millis = 2000
	// retryInterval is the delay before a request that reached no leader is dispatched
	// again.
	retryInterval clock.Millis = 100
	// maxRequests and maxBodyBytes bound the pending requests and the size of their bodies.
	maxRequests  = 4096
	maxBodyBytes = 64 << 20
	// maxExpired is how often a request that was refused as expired is dispatched again.
	maxExpired = 4
)

// request is a pending request. While dispatched is set, the server's state machine is
// processing it; otherwise it is due to be dispatched at retryAt.
type request struct {
	gateway.Request
	respond    func(response gateway.Response)
	deadline   clock.Monotonic
	dispatched bool
	retryAt    clock.Monotonic
	// mayHaveExecuted is set if an earlier dispatch may have been executed.
	mayHaveExecuted bool
	// expired counts the dispatches that were refused as expired.
	expired int
}

// mayHaveChanged reports whether an earlier dispatch may have changed something.
func (r *request) mayHaveChanged() bool { return r.mayHaveExecuted && r.Method != http.MethodGet }

// Dispatch is a request on its way to the server's state machine.
type Dispatch struct {
	Peer    wire.Peer
	Request *wire.Request
}

// Requests is the set of pending requests of one server, bounded by number and by the bytes
// of their bodies. It is not safe for concurrent use.
type Requests struct {
	pending    map[uint64]*request
	bodyBytes  int
	dispatches []Dispatch
	stalls     stalldetector.Detector
}

// New returns an empty set of requests.
func New() *Requests { return &Requests{pending: map[uint64]*request{}} }

// Len returns the number of pending requests.
func (r *Requests) Len() int { return len(r.pending) }

// TakeDispatches returns the dispatches for the server's state machine and clears them.
func (r *Requests) TakeDispatches() []Dispatch {
	dispatches := r.dispatches
	r.dispatches = nil
	return dispatches
}

// Observe records that the process is running, to detect stalls. It must be called for
// every input of the process before the input is processed.
func (r *Requests) Observe(now clock.Monotonic) { r.stalls.Observe(now) }

// Admit accepts a request. respond is called once with the response; if the request can't be
// dispatched, it is called before Admit returns. connected reports whether the server knows
// a leader, or did until recently. A budget of 0 selects the default of 2 s.
func (r *Requests) Admit(admitted gateway.Request, respond func(response gateway.Response), now clock.Monotonic, connected bool) {
	r.Observe(now)
	if admitted.Budget <= 0 {
		admitted.Budget = defaultBudget
	}
	if refusal, refused := r.refuse(admitted, now, connected); refused {
		refusal.ID = admitted.ID
		respond(refusal)
		return
	}
	pending := &request{Request: admitted, respond: respond, deadline: now.Add(admitted.Budget - admitted.Waited)}
	r.pending[admitted.ID] = pending
	r.bodyBytes += len(admitted.Body)
	r.dispatch(pending, now)
}

// refuse reports whether a request is refused immediately, and with which response.
func (r *Requests) refuse(q gateway.Request, now clock.Monotonic, connected bool) (refusal gateway.Response, refused bool) {
	switch {
	case len(r.pending) >= maxRequests || r.bodyBytes+len(q.Body) > maxBodyBytes:
		return Overloaded(), true
	case q.Waited >= q.Budget:
		return waitedTooLong(), true
	case q.Method != http.MethodGet && r.stalls.Draining(now):
		return stalled(), true
	case !connected:
		return noLeader(), true
	}
	return gateway.Response{}, false
}

func (r *Requests) dispatch(q *request, now clock.Monotonic) {
	q.dispatched = true
	r.dispatches = append(r.dispatches, Dispatch{
		Peer: wire.LocalPeer(q.ID),
		Request: &wire.Request{
			ID:     q.ID,
			Method: q.Method,
			Path:   q.Path,
			Query:  q.Query,
			Body:   q.Body,
			Budget: q.deadline.Since(now),
		},
	})
}

// Complete processes the reply to a dispatch: depending on the reply, the request is
// dispatched again or answered. A reply to another peer, or to a request that is not
// dispatched, is ignored.
func (r *Requests) Complete(to wire.Peer, reply *wire.Response, now clock.Monotonic) {
	q := r.pending[reply.ID]
	if q == nil || to != wire.LocalPeer(reply.ID) || !q.dispatched {
		return
	}
	inTime := now < q.deadline
	switch {
	case reply.NotLeader:
		q.dispatched = false
		q.retryAt = now.Add(retryInterval)
	case reply.Expired && inTime && q.expired < maxExpired:
		q.expired++
		r.dispatch(q, now)
	case reply.Status == http.StatusGatewayTimeout && inTime && q.Idempotent():
		q.mayHaveExecuted = true
		q.dispatched = false
		q.retryAt = now
	case q.mayHaveChanged() && reply.IsRejection():
		r.respond(q, outcomeUnknown())
	default:
		r.respond(q, gateway.Response{Status: reply.Status, Body: reply.Body, RetryAfter: reply.RetryAfter})
	}
}

// Tick answers requests whose budget is used up, and undispatched ones if no leader is
// known. It dispatches requests whose retry is due.
func (r *Requests) Tick(now clock.Monotonic, connected bool) {
	r.Observe(now)
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		q := r.pending[id]
		switch {
		case now >= q.deadline && q.dispatched:
			r.withdraw(q)
			r.respond(q, outcomeUnknown())
		case now >= q.deadline, !q.dispatched && !connected:
			r.respondNoLeader(q)
		case !q.dispatched && now >= q.retryAt:
			r.dispatch(q, now)
		}
	}
}

// respondNoLeader answers a request that is not currently dispatched because no leader was
// reached.
func (r *Requests) respondNoLeader(q *request) {
	if q.mayHaveChanged() {
		r.respond(q, outcomeUnknown())
		return
	}
	r.respond(q, noLeader())
}

func (r *Requests) respond(q *request, response gateway.Response) {
	response.ID = q.ID
	r.remove(q.ID)
	q.respond(response)
}

// Forget drops a request whose caller has disconnected. An order to start or end a drain is
// withdrawn.
func (r *Requests) Forget(id uint64) {
	if q := r.pending[id]; q != nil {
		r.withdraw(q)
		r.remove(id)
	}
}

// withdraw asks the server's state machine to withdraw an abandoned request, if it is an
// order whose copies can't be told from a new order.
func (r *Requests) withdraw(q *request) {
	if q.dispatched && endpoint.Withdrawable(q.Method, q.Path) {
		r.dispatches = append(r.dispatches, Dispatch{Peer: wire.LocalPeer(q.ID), Request: wire.NewWithdrawal(q.ID, q.ID)})
	}
}

func (r *Requests) remove(id uint64) {
	if q := r.pending[id]; q != nil {
		delete(r.pending, id)
		r.bodyBytes -= len(q.Body)
	}
}
