package controlplane

import (
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

const (
	// leaderHintTTL is how long a leader remains known without any server confirming it.
	leaderHintTTL clock.Millis = 2000
	// selfConfirmTTL is how long a leader's own announcement takes precedence over the
	// reports of other servers.
	selfConfirmTTL = 3 * discoveryInterval
)

// forwarderNode is the state of a server without a disk. Such a server holds no log, has
// no vote and joins no group. It tracks where the group is, reports that to other
// processes on request, and forwards requests to the leader.
type forwarderNode struct {
	nextPoll clock.Monotonic
	members  []raft.Member
	leaderID identifier.Node
	// confirmedAt is when a server last named leaderID as the leader, and selfConfirmedAt
	// when leaderID last did so itself.
	confirmedAt     clock.Monotonic
	selfConfirmedAt clock.Monotonic
	// leaderlessGroupAt is when an announcement last came from a server that belongs to a
	// group but knows no leader.
	leaderlessGroupAt clock.Monotonic
}

func (f *forwarderNode) knowsGroup() bool { return len(f.members) > 0 }

// leader returns the current leader according to recent announcements.
func (f *forwarderNode) leader(now clock.Monotonic) (leader raft.Member, ok bool) {
	if f.leaderID == 0 || now.Since(f.confirmedAt) > leaderHintTTL {
		return leader, false
	}
	for _, member := range f.members {
		if member.ID == f.leaderID {
			return member, true
		}
	}
	return leader, false
}

// describe adds what this server knows of the group to an announcement.
func (f *forwarderNode) describe(announcement *wire.Announcement, now clock.Monotonic) {
	announcement.Role = wire.RoleForwarder
	announcement.Node = 0
	announcement.Founded = f.knowsGroup()
	announcement.Members = f.members
	if leader, ok := f.leader(now); ok {
		announcement.LeaderID = leader.ID
	}
}

// undecided reports whether this server can say neither where the group is nor that there
// is none. It does not reply to announcements then.
func (f *forwarderNode) undecided(now clock.Monotonic) bool {
	return !f.knowsGroup() && f.leaderlessGroupAt != 0 && now.Since(f.leaderlessGroupAt) < foundingQuietPeriod
}

// addresses returns the distinct addresses of seeds and members in ascending order.
func (f *forwarderNode) addresses(seeds []string) []string {
	set := map[string]bool{}
	for _, addr := range seeds {
		set[addr] = true
	}
	for _, member := range f.members {
		set[member.Addr] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// pollForLeader asks the known leader whether it still leads; without a recent answer it
// asks all seeds and members for the leader.
func (s *Server) pollForLeader() {
	f := s.forwarder
	if s.now < f.nextPoll {
		return
	}
	f.nextPoll = s.now.Add(discoveryInterval)
	if leader, ok := f.leader(s.now); ok && s.now.Since(f.selfConfirmedAt) < selfConfirmTTL {
		s.send(wire.Peer(leader.Addr), wire.Message{Announcement: s.announcement(true)})
		return
	}
	for _, addr := range f.addresses(s.config.Seeds) {
		if addr != s.config.Addr {
			s.send(wire.Peer(addr), wire.Message{Announcement: s.announcement(true)})
		}
	}
}

// learnGroup records what a member announces about its group. Announcements of other
// forwarders and gateways are used only while no group is known, because they are
// second-hand.
func (s *Server) learnGroup(announcement *wire.Announcement) {
	f := s.forwarder
	if !announcement.Founded || len(announcement.Members) == 0 {
		return
	}
	byLeader := announcement.Role == wire.RoleServer && announcement.ClaimsLeadership()
	switch {
	case byLeader:
		f.selfConfirmedAt = s.now
		s.observeLeaderTime(announcement.LeaderTime)
	case announcement.Role == wire.RoleServer && announcement.LeaderID != 0:
		if _, ok := f.leader(s.now); ok && s.now.Since(f.selfConfirmedAt) < selfConfirmTTL {
			return
		}
	case announcement.Role == wire.RoleServer:
		f.leaderlessGroupAt = s.now
		return
	default:
		if !f.knowsGroup() {
			f.members = announcement.Members
		}
		return
	}
	if f.leaderID != announcement.LeaderID {
		s.logEvent("leader-known", "node", announcement.LeaderID, "members", announcement.Members)
	}
	f.members = announcement.Members
	f.leaderID = announcement.LeaderID
	f.confirmedAt = s.now
}
