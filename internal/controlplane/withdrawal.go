package controlplane

import (
	"slices"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Requests to drain a zone, and to put it back into use, carry no sequence number. Their
// caller may disconnect and send the opposite request through another server; the process
// that detects the disconnect then withdraws the first request. The withdrawal follows
// the request on the same connections. The leader delays each such request by
// drainOrderDelay before it proposes it, so that a withdrawal that was queued behind the
// request, in a stalled connection or a suspended process, arrives in time. See
// docs/notes/worst-days.md.

const (
	// drainOrderDelay is how long the leader delays an order before it proposes it: long
	// enough to read the messages that arrived with it.
	drainOrderDelay clock.Millis = 25
	// maxDelayedOrders bounds the number of delayed orders, and maxDelayedBody the size
	// of each one's body in bytes; the body of such an order contains at most an
	// operation id.
	maxDelayedOrders = 256
	maxDelayedBody   = 4 << 10
)

// delayedOrder is an order that the leader has accepted but not proposed yet.
type delayedOrder struct {
	request *apiRequest
	dueAt   clock.Monotonic
}

// delayOrder delays an order and reports whether it did. An order beyond the bounds is
// not delayed.
func (s *Server) delayOrder(r *apiRequest) bool {
	if !endpoint.Withdrawable(r.Method, r.Path) || len(r.Body) > maxDelayedBody || len(s.delayedOrders) >= maxDelayedOrders {
		return false
	}
	s.delayedOrders = append(s.delayedOrders, delayedOrder{r, s.now.Add(drainOrderDelay)})
	return true
}

// postponeDelayedOrders restarts the delay of all delayed orders after a gap without
// input: a withdrawal may have arrived during the gap and not been read yet.
func (s *Server) postponeDelayedOrders(now clock.Monotonic) {
	if len(s.delayedOrders) == 0 || now.Since(s.now) <= drainOrderDelay {
		return
	}
	for i := range s.delayedOrders {
		s.delayedOrders[i].dueAt = now.Add(drainOrderDelay)
	}
}

// serveDelayedOrders serves the orders whose delay is over, in order of arrival.
func (s *Server) serveDelayedOrders() {
	for len(s.delayedOrders) > 0 && s.now >= s.delayedOrders[0].dueAt {
		r := s.delayedOrders[0].request
		s.delayedOrders = s.delayedOrders[1:]
		if s.orderExpired(r.Request) {
			s.leader.requests.expired++
			s.replyExpired(r.peer, r.ID)
			continue
		}
		s.serve(r)
	}
}

// rejectDelayedOrders rejects the delayed orders when this server stops serving them.
// None of them had any effect.
func (s *Server) rejectDelayedOrders() {
	for _, order := range s.delayedOrders {
		s.replyNotLeader(order.request.peer, order.request.ID)
	}
	s.delayedOrders = nil
}

// handleWithdrawal withdraws an order that arrived on the same connection: it drops the
// order if it is still delayed here, or forwards the withdrawal to the leader that the
// order was forwarded to. A withdrawal is not answered.
func (s *Server) handleWithdrawal(from wire.Peer, id uint64) {
	s.delayedOrders = slices.DeleteFunc(s.delayedOrders, func(order delayedOrder) bool {
		return order.request.peer == from && order.request.ID == id
	})
	for _, forwardedID := range s.forwardedIDs() {
		request := s.forwarded[forwardedID]
		if request.peer == from && request.id == id {
			s.withdrawForwarded(forwardedID)
			return
		}
	}
}

// withdrawForwarded drops a forwarded request. An order without a sequence number is also
// withdrawn at the leader.
func (s *Server) withdrawForwarded(id uint64) {
	request := s.forwarded[id]
	delete(s.forwarded, id)
	if request.withdrawable {
		s.send(request.to, wire.Message{Request: wire.NewWithdrawal(s.nextRequestID(), id)})
	}
}
