package controlplane

import (
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	// notLeaderRetryAfter is when a client may come back to a server that has no
	// leader to pass its request to.
	notLeaderRetryAfter clock.Millis = 200
	// minForwardTimeout is how long the response to a forwarded request is awaited at
	// least.
	minForwardTimeout clock.Millis = 500
)

// forwardedRequest is a request that was passed on to the leader. peer and id are
// the sender's own; to is whom it was passed to, and the only one whose response
// counts.
type forwardedRequest struct {
	peer    wire.Peer
	id      uint64
	to      wire.Peer
	expires clock.Monotonic
	// withdrawable says that it is an order without a number.
	withdrawable bool
}

// forward passes a request on to the leader. It goes over one server at most, and
// is refused where no leader is known or the leader is out of reach.
func (s *Server) forward(from wire.Peer, r *wire.Request) {
	leader, known := s.currentLeader()
	toOther := known && leader.ID != s.config.ID && leader.Addr != ""
	if !toOther || r.Hops > 0 || len(s.forwarded) >= maxProposals || s.leaderLink.lost {
		s.replyNotLeader(from, r.ID)
		return
	}
	id := s.takeRequestID()
	to := wire.Peer(leader.Addr)
	onward := *r
	onward.ID = id
	onward.Hops = r.Hops + 1
	s.stampLeaderTime(from, &onward)
	s.leaderLink.requestSent(s.now, len(s.forwarded) == 0)
	s.forwarded[id] = forwardedRequest{
		peer:         from,
		id:           r.ID,
		to:           to,
		expires:      s.now.Add(max(r.Budget, minForwardTimeout)),
		withdrawable: endpoint.Withdrawable(r.Method, r.Path),
	}
	s.send(to, wire.Message{Request: &onward})
}

// replyNotLeader answers a request that was not taken, as this server neither leads nor
// can pass it on.
func (s *Server) replyNotLeader(to wire.Peer, id uint64) {
	s.send(to, wire.Message{Response: &wire.Response{
		ID:         id,
		Status:     http.StatusServiceUnavailable,
		NotLeader:  true,
		RetryAfter: notLeaderRetryAfter,
	}})
}

// takeRequestID is the number of the next request of this server's own. Numbers
// begin at random with every start, so that no response to a request of an earlier
// incarnation is taken for one of this.
func (s *Server) takeRequestID() uint64 {
	s.lastRequestID++
	return s.lastRequestID
}

// forwardResponse hands the response to a forwarded request back to its sender. A
// response from any other server than the one that was asked answers something else.
func (s *Server) forwardResponse(from wire.Peer, r *wire.Response) {
	request, ok := s.forwarded[r.ID]
	if !ok || request.to != from {
		return
	}
	delete(s.forwarded, r.ID)
	s.observeLeaderTime(r.LeaderTime)
	back := *r
	back.ID = request.id
	s.send(request.peer, wire.Message{Response: &back})
}

// failForwardedExcept answers the requests that were passed to any other server than
// this leader: what became of them is not known here, and waiting tells no more.
func (s *Server) failForwardedExcept(leader wire.Peer) {
	for _, id := range s.forwardedIDs() {
		request := s.forwarded[id]
		if request.to == leader {
			continue
		}
		s.withdrawForwarded(id)
		s.replyError(request.peer, request.id, errLeaderChanged)
	}
}

// forwardedIDs lists the forwarded requests in the order in which they were passed on.
func (s *Server) forwardedIDs() []uint64 { return slices.Sorted(maps.Keys(s.forwarded)) }

// forgetExpired drops forwarded requests whose senders have given up, and gateways
// that are gone.
func (s *Server) forgetExpired() {
	s.gateways.forgetExpired(s.now)
	for id, request := range s.forwarded {
		if s.now > request.expires {
			delete(s.forwarded, id)
		}
	}
}
