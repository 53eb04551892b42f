package controlplane

import (
	"net/http"

	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// Orders that their sender has given up on must not be carried out later: the sender
// may since have sent another one that says the opposite. An order carries the latest
// reading of the leader's clock that its sender had seen, and how long the sender
// waits from then on. The leader takes it only while no more time than that has
// passed since the reading, by the very clock that was read: neither clocks that
// differ nor links and processes that delay a message can make it look younger than
// it is. See docs/notes/worst-days.md.

// expiredRetryAfter is when a client may come back whose order was too old.
const expiredRetryAfter clock.Millis = 200

// leaderTime is a reading of this leader's clock.
func (s *Server) leaderTime() wire.LeaderTime {
	return wire.LeaderTime{Term: s.raft.Term(), At: s.now}
}

// orderExpired reports whether an order may have come later than its sender waits. An
// order without a reading comes from a program of an earlier version, or from this
// process itself, and is not judged.
func (s *Server) orderExpired(request *wire.Request) bool {
	if !request.HasLeaderTime || !request.IsOrder() {
		return false
	}
	if request.LeaderTime.Term != s.raft.Term() {
		return true
	}
	age := s.now.Since(request.LeaderTime.At)
	return age.WithDrift() > request.Budget
}

// observeLeaderTime takes a reading of the leader's clock that came with a message.
func (s *Server) observeLeaderTime(reading wire.LeaderTime) {
	if reading.Later(s.leaderLink.latestTime) {
		s.leaderLink.latestTime = reading
	}
}

// observeAppend takes the reading that a leader's append carries.
func (s *Server) observeAppend(msg *raft.Message) {
	s.observeLeaderTime(wire.LeaderTime{Term: msg.Term, At: msg.SentAt})
}

// stampLeaderTime adds to a request that was made at this process what it knows of
// the leader's clock. One that came from elsewhere keeps what its sender knew.
func (s *Server) stampLeaderTime(from wire.Peer, request *wire.Request) {
	if from.Local() {
		request.HasLeaderTime = true
		request.LeaderTime = s.leaderLink.latestTime
	}
}

// replyExpired answers an order that may be too old. It was not taken, and the
// reading that goes with the answer lets its sender try again at once.
func (s *Server) replyExpired(from wire.Peer, id uint64) {
	s.send(from, wire.Message{Response: &wire.Response{
		ID:         id,
		Status:     http.StatusServiceUnavailable,
		Expired:    true,
		RetryAfter: expiredRetryAfter,
	}})
}
