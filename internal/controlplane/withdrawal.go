package controlplane

import (
	"slices"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Orders to drain a zone, and to put it back into use, have no number. Their caller may
// hang up and order the opposite by way of another server; the machine that sees the
// hang-up then withdraws the order. The withdrawal follows the order on the same
// connections. The leader keeps each such order for drainOrderDelay before it proposes
// it, so that a withdrawal which waited behind the order, in a stalled connection or a
// process that stood still, arrives in time. See docs/notes/worst-days.md.

const (
	// drainOrderDelay is how long a leader keeps an order before it proposes it: long
	// enough to read what came with it.
	drainOrderDelay clock.Millis = 25
	// maxDelayedOrders bounds the orders that are kept, and maxDelayedBody the body of
	// each, in bytes; such an order names an operation, at most.
	maxDelayedOrders = 256
	maxDelayedBody   = 4 << 10
)

// delayedOrder is an order that the leader has yet to carry out.
type delayedOrder struct {
	request *apiRequest
	dueAt   clock.Monotonic
}

// delayOrder keeps an order for a moment, and reports whether it does. One beyond the
// bounds is carried out at once.
func (s *Server) delayOrder(r *apiRequest) bool {
	if !endpoint.Withdrawable(r.Method, r.Path) || len(r.Body) > maxDelayedBody || len(s.delayedOrders) >= maxDelayedOrders {
		return false
	}
	s.delayedOrders = append(s.delayedOrders, delayedOrder{r, s.now.Add(drainOrderDelay)})
	return true
}

// postponeDelayedOrders keeps the orders for the whole delay once more after a gap without
// input: a withdrawal may have come meanwhile and not been read.
func (s *Server) postponeDelayedOrders(now clock.Monotonic) {
	if len(s.delayedOrders) == 0 || now.Since(s.now) <= drainOrderDelay {
		return
	}
	for i := range s.delayedOrders {
		s.delayedOrders[i].dueAt = now.Add(drainOrderDelay)
	}
}

// serveDelayedOrders carries out the orders whose time has come, in the order in which
// they came.
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

// returnDelayedOrders answers the orders that this server no longer carries out: none was
// taken.
func (s *Server) returnDelayedOrders() {
	for _, order := range s.delayedOrders {
		s.replyNotLeader(order.request.peer, order.request.ID)
	}
	s.delayedOrders = nil
}

// handleWithdrawal takes an order back that came on the same connection: from those that
// are kept here, or from the leader that it was passed on to. It is not answered.
func (s *Server) handleWithdrawal(from wire.Peer, id uint64) {
	s.delayedOrders = slices.DeleteFunc(s.delayedOrders, func(order delayedOrder) bool {
		return order.request.peer == from && order.request.ID == id
	})
	for _, onward := range s.forwardedIDs() {
		request := s.forwarded[onward]
		if request.peer == from && request.id == id {
			s.withdrawForwarded(onward)
			return
		}
	}
}

// withdrawForwarded gives up a request that was passed on to the leader. An order without
// a number is withdrawn there.
func (s *Server) withdrawForwarded(id uint64) {
	request := s.forwarded[id]
	delete(s.forwarded, id)
	if request.withdrawable {
		s.send(request.to, wire.Message{Request: wire.NewWithdrawal(s.takeRequestID(), id)})
	}
}
