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
	// holdQueryInterval is the time between two queries to the leader.
	holdQueryInterval clock.Millis = 100
	// voterAbsentAfter is how long a voter is silent before it counts as absent. It is
	// shorter than a restart takes, and longer than a few lost heartbeats.
	voterAbsentAfter clock.Millis = 500
)

// stopHold is a stop that is being delayed.
type stopHold struct {
	since   clock.Monotonic
	askedAt clock.Monotonic
	// requestID and leader identify the last query; they are zero if there was none.
	requestID uint64
	leader    wire.Peer
}

// isVoter reports whether this server is a voter.
func (s *Server) isVoter() bool {
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
		if allVotersPresent(s.raft.MemberStatuses()) {
			s.beginStop()
		}
	case hold.requestID == 0 || s.now.Since(hold.askedAt) >= holdQueryInterval:
		s.queryVoters()
	}
}

// queryVoters asks the leader, if one is known, which voters it hears.
func (s *Server) queryVoters() {
	leader, known := s.currentLeader()
	if !known || leader.ID == s.config.ID || leader.Addr == "" {
		return
	}
	s.hold.askedAt = s.now
	s.hold.requestID = s.nextRequestID()
	s.hold.leader = wire.Peer(leader.Addr)
	s.send(s.hold.leader, wire.Message{Request: &wire.Request{
		ID:     s.hold.requestID,
		Method: http.MethodGet,
		Path:   endpoint.ServersPath,
		Budget: holdQueryInterval,
		// Marks the request as forwarded already: only this leader may answer it.
		Hops: 1,
	}})
}

// handleVotersResponse handles the leader's response to a query, and reports whether the
// response was one.
func (s *Server) handleVotersResponse(from wire.Peer, response *wire.Response) bool {
	hold := s.hold
	if hold == nil || hold.requestID != response.ID || hold.leader != from {
		return false
	}
	var doc ServersDoc
	if response.Status != http.StatusOK || json.Unmarshal(response.Body, &doc) != nil {
		return true
	}
	if otherVotersPresent(doc.Servers, s.config.Addr) {
		s.beginStop()
	}
	return true
}

// allVotersPresent reports whether the leader hears all other voters and none of them is
// leaving.
func allVotersPresent(statuses []raft.MemberStatus) bool {
	for _, status := range statuses {
		if status.Voter && (status.WallTimeReadAt == 0 || status.SilentFor > voterAbsentAfter || status.Leaving) {
			return false
		}
	}
	return true
}

// otherVotersPresent reports whether the leader hears all voters other than the one at an
// address.
func otherVotersPresent(servers []ServerDoc, addr string) bool {
	for _, server := range servers {
		if server.Voter && server.Addr != addr && (!server.Heard || server.SilentFor > voterAbsentAfter) {
			return false
		}
	}
	return true
}
