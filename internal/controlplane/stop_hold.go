package controlplane

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// A server that stops leaves its seat empty until it is back, and where no learner is
// ready to take it the group tolerates one loss less. So a planned stop is held back for a
// while as long as another voter is away: the server goes on as before, and stops once
// all seats are taken or its patience is over. Only the leader knows who is away; another
// server asks it.

const (
	// maxStopHold is how long a stop is held back at most.
	maxStopHold clock.Millis = 2000
	// holdQuestionInterval lies between two questions to the leader.
	holdQuestionInterval clock.Millis = 100
	// seatEmptyAfter is how long a voter is silent before its seat counts as empty; it is less
	// than what a restart takes, and more than a few lost heartbeats.
	seatEmptyAfter clock.Millis = 500
)

// stopHold is a stop that is held back.
type stopHold struct {
	since   clock.Monotonic
	askedAt clock.Monotonic
	// requestID and leader are of the last question, 0 and empty for none.
	requestID uint64
	leader    wire.Peer
}

// holdsSeat reports whether this server is a voter.
func (s *Server) holdsSeat() bool {
	if s.raft == nil {
		return false
	}
	self, known := s.raft.Member(s.config.ID)
	return known && self.Voter
}

// continueHold ends the hold when all other seats are taken or it has lasted for long
// enough, and otherwise asks the leader.
func (s *Server) continueHold() {
	hold := s.hold
	switch {
	case hold == nil:
	case s.now.Since(hold.since) >= maxStopHold:
		s.logEvent("stop-hold-over", "heldMs", s.now.Since(hold.since))
		s.beginStop()
	case s.raft.Role() == raft.Leader:
		if seatsTaken(s.raft.MemberStatuses()) {
			s.beginStop()
		}
	case hold.requestID == 0 || s.now.Since(hold.askedAt) >= holdQuestionInterval:
		s.askForSeats()
	}
}

// askForSeats asks the leader, if one is known, who is away.
func (s *Server) askForSeats() {
	leader, known := s.currentLeader()
	if !known || leader.ID == s.config.ID || leader.Addr == "" {
		return
	}
	s.hold.askedAt = s.now
	s.hold.requestID = s.takeRequestID()
	s.hold.leader = wire.Peer(leader.Addr)
	s.send(s.hold.leader, wire.Message{Request: &wire.Request{
		ID:     s.hold.requestID,
		Method: http.MethodGet,
		Path:   endpoint.ServersPath,
		Budget: holdQuestionInterval,
		// It is for this leader only, and must not be passed on.
		Hops: 1,
	}})
}

// handleSeats takes the leader's answer, and reports whether the response was one.
func (s *Server) handleSeats(from wire.Peer, response *wire.Response) bool {
	hold := s.hold
	if hold == nil || hold.requestID != response.ID || hold.leader != from {
		return false
	}
	var doc ServersDoc
	if response.Status != http.StatusOK || json.Unmarshal(response.Body, &doc) != nil {
		return true
	}
	if seatsTakenBut(doc.Servers, s.config.Addr) {
		s.beginStop()
	}
	return true
}

// seatsTaken reports whether a leader hears all other voters and none of them leaves.
func seatsTaken(statuses []raft.MemberStatus) bool {
	for _, status := range statuses {
		if status.Voter && (status.WallTimeReadAt == 0 || status.SilentFor > seatEmptyAfter || status.Leaving) {
			return false
		}
	}
	return true
}

// seatsTakenBut reports whether the leader hears all voters but the one at an address.
func seatsTakenBut(servers []ServerDoc, addr string) bool {
	for _, server := range servers {
		if server.Voter && server.Addr != addr && (!server.Heard || server.SilentFor > seatEmptyAfter) {
			return false
		}
	}
	return true
}
