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

type porter struct {
	next    clock.Monotonic
	members []raft.Member
	lead    identifier.Node
	// heard is when a keeper last said that lead leads, own when that one did.
	heard, own clock.Monotonic
	// rumour is when a keeper was heard that is in a group, but has no leader.
	rumour clock.Monotonic
}

const (
	// vouchLife is how long a porter goes by a leader nobody vouches for, and
	// ownLife how long others' word does not count against the leader's own.
	vouchLife = 2000
	ownLife   = 3 * seekGap
)

func (p *porter) knows() bool { return len(p.members) > 0 }

// leader is the member that leads, by what the porter has heard lately.
func (p *porter) leader(now clock.Monotonic) (mem raft.Member, ok bool) {
	if p.lead == 0 || now.Since(p.heard) > vouchLife {
		return mem, false
	}
	for _, mem := range p.members {
		if mem.ID == p.lead {
			return mem, true
		}
	}
	return mem, false
}

// round asks the leader whether it still leads, or everybody who does.
func (m *Server) round() {
	p := m.porter
	if m.now < p.next {
		return
	}
	p.next = m.now.Add(seekGap)
	if mem, ok := p.leader(m.now); ok && m.now.Since(p.own) < ownLife {
		m.send(wire.Peer(mem.Addr), wire.Message{Announcement: m.self(true)})
		return
	}
	for _, addr := range p.known(m.config.Seeds) {
		if addr != m.config.Addr {
			m.send(wire.Peer(addr), wire.Message{Announcement: m.self(true)})
		}
	}
}

// unsure tells whether this porter can say neither where the group is nor that
// there is none: then it says nothing.
func (p *porter) unsure(now clock.Monotonic) bool {
	return !p.knows() && p.rumour != 0 && now.Since(p.rumour) < stillMs
}

// known are the addresses of seeds and members, each once.
func (p *porter) known(seeds []string) []string {
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

// learn takes what a group's keeper says of it. Others are believed only where
// the porter knows nothing yet, as they know it no better.
func (m *Server) learn(t *wire.Announcement) {
	p := m.porter
	if !t.Founded || len(t.Members) == 0 {
		return
	}
	own := t.Role == wire.RoleServer && t.Node != 0 && t.Node == t.LeaderID
	switch {
	case own:
		p.own = m.now
		m.heardLeader(t.LeaderTime)
	case t.Role == wire.RoleServer && t.LeaderID != 0:
		if _, ok := p.leader(m.now); ok && m.now.Since(p.own) < ownLife {
			return
		}
	case t.Role == wire.RoleServer:
		p.rumour = m.now
		return
	default:
		if !p.knows() {
			p.members = t.Members
		}
		return
	}
	if p.lead != t.LeaderID {
		m.event("leader-known", "node", t.LeaderID, "members", t.Members)
	}
	p.members, p.lead, p.heard = t.Members, t.LeaderID, m.now
}

// leader is who leads, as far as this keeper knows: another, or itself.
func (m *Server) leader() (mem raft.Member, ok bool) {
	switch {
	case m.porter != nil:
		return m.porter.leader(m.now)
	case m.raft == nil || m.raft.Leader() == 0:
		return mem, false
	}
	return m.raft.Member(m.raft.Leader())
}

// KnowsLeader tells whether this keeper knows who leads.
func (m *Server) KnowsLeader() bool {
	if m.raft != nil {
		return m.raft.Leader() != 0
	}
	_, yes := m.leader()
	return yes
}

// noteLeader keeps track of when this keeper last had a leader to go to: itself
// while its lease stands, or another that it has heard.
func (m *Server) noteLeader() {
	if m.reaches() {
		m.reached = m.now
	}
	mem, ok := m.leader()
	if !ok || wire.Peer(mem.Addr) == m.follows {
		return
	}
	m.follows, m.reach = wire.Peer(mem.Addr), reach{heard: m.now}
	m.abandon(m.follows)
}

func (m *Server) reaches() bool {
	if m.raft != nil && m.raft.Role() == raft.Leader {
		return m.raft.HasLease(m.now)
	}
	return m.KnowsLeader() && !m.reach.lost
}

// Connected tells whether this keeper has a leader to go to, or had one until
// so short a time ago that the next one may be about to be elected.
func (m *Server) Connected() bool {
	return !m.reach.lost && m.now.Since(m.reached) <= 2*m.config.Timing.ElectionTimeout
}
