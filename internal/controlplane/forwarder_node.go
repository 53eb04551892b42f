// A porter is a keeper on a machine without a disk. It holds no log, has no
// vote and joins no group. It keeps in touch with one, tells whoever asks where
// it is, and passes requests on to the leader.

package controlplane

import (
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

type forwarderNode struct {
	nextPoll clock.Monotonic
	members  []raft.Member
	leaderID identifier.Node
	// heard is when a keeper last said that lead leads, own when that one did.
	vouchedAt, selfVouchedAt clock.Monotonic
	// leaderlessGroupAt is when a keeper was heard that is in a group, but has no leader.
	leaderlessGroupAt clock.Monotonic
}

const (
	// leaderHintLife is how long a porter goes by a leader nobody vouches for, and
	// selfVouchLife how long others' word does not count against the leader's own.
	leaderHintLife = 2000
	selfVouchLife  = 3 * discoveryInterval
)

func (p *forwarderNode) knowsGroup() bool { return len(p.members) > 0 }

// currentLeader is the member that leads, by what the porter has heard lately.
func (p *forwarderNode) leader(now clock.Monotonic) (mem raft.Member, ok bool) {
	if p.leaderID == 0 || now.Since(p.vouchedAt) > leaderHintLife {
		return mem, false
	}
	for _, mem := range p.members {
		if mem.ID == p.leaderID {
			return mem, true
		}
	}
	return mem, false
}

// pollForLeader asks the leader whether it still leads, or everybody who does.
func (s *Server) pollForLeader() {
	p := s.forwarder
	if s.now < p.nextPoll {
		return
	}
	p.nextPoll = s.now.Add(discoveryInterval)
	if mem, ok := p.leader(s.now); ok && s.now.Since(p.selfVouchedAt) < selfVouchLife {
		s.send(wire.Peer(mem.Addr), wire.Message{Announcement: s.announcement(true)})
		return
	}
	for _, addr := range p.addresses(s.config.Seeds) {
		if addr != s.config.Addr {
			s.send(wire.Peer(addr), wire.Message{Announcement: s.announcement(true)})
		}
	}
}

// unsure tells whether this porter can say neither where the group is nor that
// there is none: then it says nothing.
func (p *forwarderNode) undecided(now clock.Monotonic) bool {
	return !p.knowsGroup() && p.leaderlessGroupAt != 0 && now.Since(p.leaderlessGroupAt) < quietBeforeFounding
}

// known are the addresses of seeds and members, each once.
func (p *forwarderNode) addresses(seeds []string) []string {
	var list []string
	seen := map[string]bool{}
	for _, addr := range seeds {
		seen[addr] = true
	}
	for _, mem := range p.members {
		seen[mem.Addr] = true
	}
	for addr := range seen {
		list = append(list, addr)
	}
	sort.Strings(list)
	return list
}

// learnGroup takes what a group's keeper says of it. Others are believed only where
// the porter knows nothing yet, as they know it no better.
func (s *Server) learnGroup(t *wire.Announcement) {
	p := s.forwarder
	if !t.Founded || len(t.Members) == 0 {
		return
	}
	own := t.Role == "keeper" && t.Node != 0 && t.Node == t.LeaderID
	switch {
	case own:
		p.selfVouchedAt = s.now
		s.observeLeaderTime(t.LeaderTime)
	case t.Role == "keeper" && t.LeaderID != 0:
		if _, ok := p.leader(s.now); ok && s.now.Since(p.selfVouchedAt) < selfVouchLife {
			return
		}
	case t.Role == "keeper":
		p.leaderlessGroupAt = s.now
		return
	default:
		if !p.knowsGroup() {
			p.members = t.Members
		}
		return
	}
	if p.leaderID != t.LeaderID {
		s.logEvent("leader-known", "node", t.LeaderID, "members", t.Members)
	}
	p.members, p.leaderID, p.vouchedAt = t.Members, t.LeaderID, s.now
}

// currentLeader is who leads, as far as this keeper knows: another, or itself.
func (s *Server) currentLeader() (mem raft.Member, ok bool) {
	switch {
	case s.forwarder != nil:
		return s.forwarder.leader(s.now)
	case s.raft == nil || s.raft.Leader() == 0:
		return mem, false
	}
	return s.raft.Member(s.raft.Leader())
}

// KnowsLeader tells whether this keeper knows who leads.
func (s *Server) KnowsLeader() bool {
	if s.raft != nil {
		return s.raft.Leader() != 0
	}
	_, yes := s.currentLeader()
	return yes
}

// trackLeader keeps track of when this keeper last had a leader to go to: itself
// while its lease stands, or another that it has heard.
func (s *Server) trackLeader() {
	if s.reachesLeader() {
		s.leaderReachedAt = s.now
	}
	mem, ok := s.currentLeader()
	if !ok || wire.Peer(mem.Addr) == s.followedLeader {
		return
	}
	s.followedLeader, s.leaderContact = wire.Peer(mem.Addr), leaderContact{heardAt: s.now}
	s.failForwardedExcept(s.followedLeader)
}

func (s *Server) reachesLeader() bool {
	if s.raft != nil && s.raft.Role() == raft.Leader {
		return s.raft.HasLease(s.now)
	}
	return s.KnowsLeader() && !s.leaderContact.lost
}

// Connected tells whether this keeper has a leader to go to, or had one until
// so short a time ago that the next one may be about to be elected.
func (s *Server) Connected() bool {
	return !s.leaderContact.lost && s.now.Since(s.leaderReachedAt) <= 2*s.config.Timing.ElectionTimeout
}
