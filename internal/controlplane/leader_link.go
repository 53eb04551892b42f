package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

const (
	// leaderUnreachableAfter is how long requests and pings to the leader may go
	// unanswered before it counts as unreachable.
	leaderUnreachableAfter clock.Millis = 400
	// pingAfter is how long the leader may be silent before it is pinged, and
	// pingInterval how often it is pinged from then on.
	pingAfter    clock.Millis = 150
	pingInterval clock.Millis = 100
)

// leaderLink tracks the connection to the leader that a server follows. A follower that
// receives the leader's messages cannot conclude that the leader receives its own: if a
// link works in one direction only, forwarded requests are lost. The leader is therefore
// pinged while forwarded requests await its responses. If it answers nothing, it counts
// as unreachable: pending requests fail, and new ones are refused at once until it
// answers again.
type leaderLink struct {
	// leader is the address of the last known leader.
	leader wire.Peer
	// reachedAt is when this server last had a reachable leader: itself while it held its
	// lease, or another server.
	reachedAt clock.Monotonic
	// latestTime is the latest reading of a leader's clock that this server has received.
	latestTime wire.LeaderTime
	// hint is the server that acts as the leader according to its own consensus messages.
	// The member list known here may predate that leader's membership.
	hint leaderHint

	// waitingSince is since when at least one forwarded request has been pending.
	waitingSince clock.Monotonic
	// heardAt is when the leader last answered anything, pingedAt when it was last
	// pinged.
	heardAt     clock.Monotonic
	pingedAt    clock.Monotonic
	unreachable bool
}

// leaderHint is a server that acts as the leader and the connection that it was heard on.
type leaderHint struct {
	id   identifier.Node
	peer wire.Peer
}

// follow resets the link for another leader.
func (l *leaderLink) follow(leader wire.Peer, now clock.Monotonic) {
	l.leader = leader
	l.waitingSince = 0
	l.heardAt = now
	l.pingedAt = 0
	l.unreachable = false
}

// requestSent records that a request is sent to the leader; first means that no other
// request was pending.
func (l *leaderLink) requestSent(now clock.Monotonic, first bool) {
	if first {
		l.waitingSince = now
	}
}

// answered records a response or announcement from the leader and reports whether the
// leader had been unreachable.
func (l *leaderLink) answered(now clock.Monotonic) (wasUnreachable bool) {
	wasUnreachable = l.unreachable
	l.heardAt = now
	l.unreachable = false
	return wasUnreachable
}

// silentFor returns how long the leader has left requests or pings unanswered.
func (l *leaderLink) silentFor(now clock.Monotonic) clock.Millis {
	return now.Since(max(l.waitingSince, l.heardAt))
}

// currentLeader returns the leader known to this server, which may be the server itself.
func (s *Server) currentLeader() (leader raft.Member, ok bool) {
	switch {
	case s.forwarder != nil:
		return s.forwarder.leader(s.now)
	case s.raft == nil || s.raft.Leader() == 0:
		return leader, false
	}
	return s.raft.Member(s.raft.Leader())
}

// KnowsLeader reports whether this server knows the current leader.
func (s *Server) KnowsLeader() bool {
	if s.raft != nil {
		return s.raft.Leader() != 0
	}
	_, known := s.currentLeader()
	return known
}

// Connected reports whether this server has a reachable leader, or had one so recently
// that the next one may be about to be elected.
func (s *Server) Connected() bool {
	return !s.leaderLink.unreachable && s.now.Since(s.leaderLink.reachedAt) <= 2*s.config.Timing.ElectionTimeout
}

// trackLeader records whether a leader is reachable, and switches to a new leader.
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
	return s.KnowsLeader() && !s.leaderLink.unreachable
}

// probeLeader pings a leader that has not answered, and fails the requests forwarded to
// it once it counts as unreachable.
func (s *Server) probeLeader() {
	link := &s.leaderLink
	if link.leader == "" || len(s.forwarded) == 0 && !link.unreachable {
		return
	}
	silent := link.silentFor(s.now)
	if silent > pingAfter && s.now.Since(link.pingedAt) >= pingInterval {
		link.pingedAt = s.now
		s.send(link.leader, wire.Message{Announcement: s.announcement(true)})
	}
	if silent > leaderUnreachableAfter && !link.unreachable {
		link.unreachable = true
		s.logEvent("leader-unreachable", "leader", link.leader, "requests", len(s.forwarded))
		s.failForwardedExcept("")
	}
}

// leaderAnswered records that the leader has answered.
func (s *Server) leaderAnswered() {
	if s.leaderLink.answered(s.now) {
		s.logEvent("leader-reachable", "leader", s.leaderLink.leader)
	}
}
