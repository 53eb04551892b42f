package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

const (
	// unreachedAfter is how long a leader may leave requests and pings without any
	// answer before it counts as out of reach.
	unreachedAfter clock.Millis = 400
	// pingAfter is how long the leader may be silent before it is pinged, and
	// pingInterval how often it then is.
	pingAfter    clock.Millis = 150
	pingInterval clock.Millis = 100
)

// leaderLink is what a server knows of its way to the leader it follows. That a
// follower hears the leader does not show that the leader hears the follower: where
// a link carries one way only, forwarded requests go nowhere. While requests wait
// for the leader's responses the leader is therefore pinged. When no answer comes
// it counts as lost: the requests are failed, and others refused at once, until it
// answers again.
type leaderLink struct {
	// leader is where the last known leader listens.
	leader wire.Peer
	// reachedAt is when this server last had a leader to go to: itself while its
	// lease held, or another one within reach.
	reachedAt clock.Monotonic
	// latestTime is the latest reading of a leader's clock that came here.
	latestTime wire.LeaderTime
	// hint is who says that it leads, by its own messages: the member list known here
	// may be older than that leader's membership.
	hint leaderHint

	// waitingSince is since when some forwarded request has had no response.
	waitingSince clock.Monotonic
	// heardAt is when the leader last answered anything, pingedAt when it was last
	// pinged.
	heardAt  clock.Monotonic
	pingedAt clock.Monotonic
	lost     bool
}

// leaderHint is a server that acts as the leader and the connection it was heard on.
type leaderHint struct {
	id   identifier.Node
	peer wire.Peer
}

// follow begins anew with another leader.
func (l *leaderLink) follow(leader wire.Peer, now clock.Monotonic) {
	l.leader = leader
	l.waitingSince = 0
	l.heardAt = now
	l.pingedAt = 0
	l.lost = false
}

// requestSent notes that a request goes to the leader; first says that no other was
// waiting for it.
func (l *leaderLink) requestSent(now clock.Monotonic, first bool) {
	if first {
		l.waitingSince = now
	}
}

// answered notes a response or a sign of life, and reports whether the leader had
// been lost.
func (l *leaderLink) answered(now clock.Monotonic) (wasLost bool) {
	wasLost = l.lost
	l.heardAt = now
	l.lost = false
	return wasLost
}

// silentFor is how long the leader has owed an answer.
func (l *leaderLink) silentFor(now clock.Monotonic) clock.Millis {
	return now.Since(max(l.waitingSince, l.heardAt))
}

// currentLeader is who leads, as far as this server knows: another one, or itself.
func (s *Server) currentLeader() (leader raft.Member, ok bool) {
	switch {
	case s.forwarder != nil:
		return s.forwarder.leader(s.now)
	case s.raft == nil || s.raft.Leader() == 0:
		return leader, false
	}
	return s.raft.Member(s.raft.Leader())
}

// KnowsLeader reports whether this server knows who leads.
func (s *Server) KnowsLeader() bool {
	if s.raft != nil {
		return s.raft.Leader() != 0
	}
	_, known := s.currentLeader()
	return known
}

// Connected reports whether this server has a leader to go to, or had one until so
// short a time ago that the next one may be about to be elected.
func (s *Server) Connected() bool {
	return !s.leaderLink.lost && s.now.Since(s.leaderLink.reachedAt) <= 2*s.config.Timing.ElectionTimeout
}

// trackLeader notes whether a leader is in reach, and turns to a new one.
func (s *Server) trackLeader() {
	if s.reachesLeader() {
		s.leaderLink.reachedAt = s.now
	}
	leader, ok := s.currentLeader()
	if !ok || wire.Peer(leader.Addr) == s.leaderLink.leader {
		return
	}
	s.leaderLink.follow(wire.Peer(leader.Addr), s.now)
	s.failForwardedExcept(s.leaderLink.leader)
}

func (s *Server) reachesLeader() bool {
	if s.raft != nil && s.raft.Role() == raft.Leader {
		return s.raft.HasLease(s.now)
	}
	return s.KnowsLeader() && !s.leaderLink.lost
}

// probeLeader pings a leader that owes answers, and fails the requests forwarded to
// it when it has been silent for too long.
func (s *Server) probeLeader() {
	link := &s.leaderLink
	if link.leader == "" || len(s.forwarded) == 0 && !link.lost {
		return
	}
	silent := link.silentFor(s.now)
	if silent > pingAfter && s.now.Since(link.pingedAt) >= pingInterval {
		link.pingedAt = s.now
		s.send(link.leader, wire.Message{Announcement: s.announcement(true)})
	}
	if silent > unreachedAfter && !link.lost {
		link.lost = true
		s.logEvent("leader-unreachable", "leader", link.leader, "requests", len(s.forwarded))
		s.failForwardedExcept("")
	}
}

// leaderAnswered notes that the leader has answered something.
func (s *Server) leaderAnswered() {
	if s.leaderLink.answered(s.now) {
		s.logEvent("leader-reachable", "leader", s.leaderLink.leader)
	}
}
