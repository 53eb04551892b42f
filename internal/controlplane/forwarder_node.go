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
	// leaderHintTTL is how long a leader counts that nobody vouches for.
	leaderHintTTL clock.Millis = 2000
	// selfVouchTTL is how long what others say does not count against a leader's own
	// word.
	selfVouchTTL = 3 * discoveryInterval
)

// forwarderNode is what a server on a machine without a disk knows. It holds no log,
// has no vote and joins no group: it keeps in touch with a group, tells whoever asks
// where the group is, and forwards requests to the leader.
type forwarderNode struct {
	nextPoll clock.Monotonic
	members  []raft.Member
	leaderID identifier.Node
	// vouchedAt is when a server last said that leaderID leads, and selfVouchedAt when
	// that one itself did.
	vouchedAt     clock.Monotonic
	selfVouchedAt clock.Monotonic
	// leaderlessGroupAt is when a server was heard that is in a group but knows of no
	// leader.
	leaderlessGroupAt clock.Monotonic
}

func (f *forwarderNode) knowsGroup() bool { return len(f.members) > 0 }

// leader is the member that leads, by what was heard lately.
func (f *forwarderNode) leader(now clock.Monotonic) (leader raft.Member, ok bool) {
	if f.leaderID == 0 || now.Since(f.vouchedAt) > leaderHintTTL {
		return leader, false
	}
	for _, member := range f.members {
		if member.ID == f.leaderID {
			return member, true
		}
	}
	return leader, false
}

// describe puts what this server knows of the group into an announcement.
func (f *forwarderNode) describe(announcement *wire.Announcement, now clock.Monotonic) {
	announcement.Role = wire.RoleForwarder
	announcement.Node = 0
	announcement.Founded = f.knowsGroup()
	announcement.Members = f.members
	if leader, ok := f.leader(now); ok {
		announcement.LeaderID = leader.ID
	}
}

// undecided reports whether this server can say neither where the group is nor that
// there is none: then it says nothing.
func (f *forwarderNode) undecided(now clock.Monotonic) bool {
	return !f.knowsGroup() && f.leaderlessGroupAt != 0 && now.Since(f.leaderlessGroupAt) < quietBeforeFounding
}

// addresses are those of seeds and members in order, each once.
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

// pollForLeader asks the leader whether it still leads, or everybody who does.
func (s *Server) pollForLeader() {
	f := s.forwarder
	if s.now < f.nextPoll {
		return
	}
	f.nextPoll = s.now.Add(discoveryInterval)
	if leader, ok := f.leader(s.now); ok && s.now.Since(f.selfVouchedAt) < selfVouchTTL {
		s.send(wire.Peer(leader.Addr), wire.Message{Announcement: s.announcement(true)})
		return
	}
	for _, addr := range f.addresses(s.config.Seeds) {
		if addr != s.config.Addr {
			s.send(wire.Peer(addr), wire.Message{Announcement: s.announcement(true)})
		}
	}
}

// learnGroup takes what a member says of its group. Others are believed only where
// nothing is known yet, as they know it no better.
func (s *Server) learnGroup(announcement *wire.Announcement) {
	f := s.forwarder
	if !announcement.Founded || len(announcement.Members) == 0 {
		return
	}
	byLeader := announcement.Role == wire.RoleServer && announcement.NamesSenderLeader()
	switch {
	case byLeader:
		f.selfVouchedAt = s.now
		s.observeLeaderTime(announcement.LeaderTime)
	case announcement.Role == wire.RoleServer && announcement.LeaderID != 0:
		if _, ok := f.leader(s.now); ok && s.now.Since(f.selfVouchedAt) < selfVouchTTL {
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
	f.vouchedAt = s.now
}
