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
	// notLeaderRetryAfter is when a client may retry at a server that knows no leader to
	// forward its request to.
	notLeaderRetryAfter clock.Millis = 200
	// minForwardTimeout is the minimum time to wait for the response to a forwarded
	// request.
	minForwardTimeout clock.Millis = 500
)

// forwardedRequest is a request that was forwarded to the leader. peer and id identify it
// for its sender; to is the server that it was forwarded to, and only a response from
// that server is accepted.
type forwardedRequest struct {
	peer    wire.Peer
	id      uint64
	to      wire.Peer
	expires clock.Monotonic
	// withdrawable marks an order without a sequence number, of which a copy cannot be
	// told from a new order.
	withdrawable bool
}

// forward forwards a request to the leader. A request is forwarded at most once, and is
// refused if no leader is known or the leader is unreachable.
func (s *Server) forward(from wire.Peer, r *wire.Request) {
	leader, known := s.currentLeader()
	otherLeads := known && leader.ID != s.config.ID && leader.Addr != ""
	if !otherLeads || r.Hops > 0 || len(s.forwarded) >= maxProposals || s.leaderLink.unreachable {
		s.replyNotLeader(from, r.ID)
		return
	}
	id := s.nextRequestID()
	to := wire.Peer(leader.Addr)
	outgoing := *r
	outgoing.ID = id
	outgoing.Hops = r.Hops + 1
	s.stampLeaderTime(from, &outgoing)
	s.leaderLink.requestSent(s.now, len(s.forwarded) == 0)
	s.forwarded[id] = forwardedRequest{
		peer:         from,
		id:           r.ID,
		to:           to,
		expires:      s.now.Add(max(r.Budget, minForwardTimeout)),
		withdrawable: endpoint.Withdrawable(r.Method, r.Path),
	}
	s.send(to, wire.Message{Request: &outgoing})
}

// replyNotLeader rejects a request that this server can neither serve nor forward. The
// request had no effect.
func (s *Server) replyNotLeader(to wire.Peer, id uint64) {
	s.send(to, wire.Message{Response: &wire.Response{
		ID:         id,
		Status:     http.StatusServiceUnavailable,
		NotLeader:  true,
		RetryAfter: notLeaderRetryAfter,
	}})
}

// nextRequestID returns the id of this server's next request. Ids start at a random
// number after each restart, so that a response to a request of an earlier incarnation
// does not match a current one.
func (s *Server) nextRequestID() uint64 {
	s.lastRequestID++
	return s.lastRequestID
}

// forwardResponse returns the response to a forwarded request to its sender. It ignores a
// response that does not come from the server that the request was forwarded to.
func (s *Server) forwardResponse(from wire.Peer, r *wire.Response) {
	request, ok := s.forwarded[r.ID]
	if !ok || request.to != from {
		return
	}
	delete(s.forwarded, r.ID)
	s.observeLeaderTime(r.LeaderTime)
	reply := *r
	reply.ID = request.id
	s.send(request.peer, wire.Message{Response: &reply})
}

// failForwardedExcept fails the requests that were forwarded to any server other than
// this leader: their outcome is unknown here, and waiting longer would not reveal it.
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

// forwardedIDs lists the forwarded requests in the order in which they were forwarded.
func (s *Server) forwardedIDs() []uint64 { return slices.Sorted(maps.Keys(s.forwarded)) }

// forgetExpired removes forwarded requests whose senders have timed out, and gateways
// that are no longer live.
func (s *Server) forgetExpired() {
	s.gateways.forgetExpired(s.now)
	for id, request := range s.forwarded {
		if s.now > request.expires {
			delete(s.forwarded, id)
		}
	}
}
