package controlplane

import (
	"net/http"

	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// An order, a request that changes state, must not be carried out after its sender has
// timed out: the sender may since have sent one that says the opposite. An order carries
// the latest reading of the leader's clock that its sender had received, and how long the
// sender waits from then on. The leader accepts the order only while no more than that
// time has passed since the reading, measured by the same clock: neither clock
// differences nor links and processes that delay a message can make an order look younger
// than it is. See docs/notes/worst-days.md.

// expiredRetryAfter is when a client may retry an order that had expired.
const expiredRetryAfter clock.Millis = 200

// leaderTime returns a reading of this leader's clock.
func (s *Server) leaderTime() wire.LeaderTime {
	return wire.LeaderTime{Term: s.raft.Term(), At: s.now}
}

// orderExpired reports whether an order may have arrived after its sender's timeout. An
// order without a reading comes from a program of an earlier version, or from this
// process itself, and never expires.
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

// observeLeaderTime records a reading of the leader's clock that arrived with a message.
func (s *Server) observeLeaderTime(reading wire.LeaderTime) {
	if reading.Later(s.leaderLink.latestTime) {
		s.leaderLink.latestTime = reading
	}
}

// observeAppend records the reading carried by an append message of the leader.
func (s *Server) observeAppend(msg *raft.Message) {
	s.observeLeaderTime(wire.LeaderTime{Term: msg.Term, At: msg.SentAt})
}

// stampLeaderTime adds the latest known reading of the leader's clock to a request made
// in this process. A request from another process keeps the reading that its sender had.
func (s *Server) stampLeaderTime(from wire.Peer, request *wire.Request) {
	if from.Local() {
		request.HasLeaderTime = true
		request.LeaderTime = s.leaderLink.latestTime
	}
}

// replyExpired rejects an order that may have expired. The order had no effect, and the
// reading in the response lets its sender retry at once.
func (s *Server) replyExpired(from wire.Peer, id uint64) {
	s.send(from, wire.Message{Response: &wire.Response{
		ID:         id,
		Status:     http.StatusServiceUnavailable,
		Expired:    true,
		RetryAfter: expiredRetryAfter,
	}})
}
