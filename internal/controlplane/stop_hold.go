package controlplane

import (
	"encoding/json"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// A voter that stops leaves the group with one voter fewer until it is back; unless a
// learner is ready to replace it, the group tolerates one loss fewer during that time. A
// planned stop is therefore delayed while another voter is absent: the server continues
// as before, and stops once all other voters are present or maxStopHold has passed. Only
// the leader knows which voters are absent; other servers ask it.

const (
	// maxStopHold is the longest time that a stop is delayed.
	maxStopHold clock.Millis = 2000
	// holdQuestionInterval is the time between two queries to the leader.
	holdQuestionInterval clock.Millis = 100
	// seatEmptyAfter is how long a voter is silent before it counts as absent. It is
	// shorter than a restart takes, and longer than a few lost heartbeats.
	seatEmptyAfter clock.Millis = 500
)

// stopHold is a stop that is being delayed.
type stopHold struct {
	since   clock.Monotonic
	askedAt clock.Monotonic
	// requestID and leader identify the last query; they are zero if there was none.
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

// continueHold ends the delay once all other voters are present or maxStopHold has
// passed, and otherwise queries the leader.
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

// askForSeats asks the leader, if one is known, which voters it hears.
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
		// Marks the request as forwarded already: only this leader may answer it.
		Hops: 1,
	}})
}

// handleSeats handles the leader's response to a query, and reports whether the response
// was one.
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

// seatsTaken reports whether the leader hears all other voters and none of them is
// leaving.
func seatsTaken(statuses []raft.MemberStatus) bool {
	for _, status := range statuses {
		if status.Voter && (status.WallTimeReadAt == 0 || status.SilentFor > seatEmptyAfter || status.Leaving) {
			return false
		}
	}
	return true
}

// seatsTakenBut reports whether the leader hears all voters other than the one at an
// address.
func seatsTakenBut(servers []ServerDoc, addr string) bool {
	for _, server := range servers {
		if server.Voter && server.Addr != addr && (!server.Heard || server.SilentFor > seatEmptyAfter) {
			return false
		}
	}
	return true
}
