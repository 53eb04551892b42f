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
func (m *Machine) round() {
	p := m.porter
	if m.now < p.next {
		return
	}
	p.next = m.now.Add(seekGap)
	if mem, ok := p.leader(m.now); ok && m.now.Since(p.own) < ownLife {
		m.send(wire.Peer(mem.Addr), wire.Msg{Tell: m.self(true)})
		return
	}
	for _, addr := range p.known(m.boot.Seeds) {
		if addr != m.boot.Addr {
			m.send(wire.Peer(addr), wire.Msg{Tell: m.self(true)})
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
func (m *Machine) learn(t *wire.Tell) {
	p := m.porter
	if !t.Founded || len(t.Members) == 0 {
		return
	}
	own := t.Role == "keeper" && t.Node != 0 && t.Node == t.Lead
	switch {
	case own:
		p.own = m.now
		m.heardLeader(t.Leader)
	case t.Role == "keeper" && t.Lead != 0:
		if _, ok := p.leader(m.now); ok && m.now.Since(p.own) < ownLife {
			return
		}
	case t.Role == "keeper":
		p.rumour = m.now
		return
	default:
		if !p.knows() {
			p.members = t.Members
		}
		return
	}
	if p.lead != t.Lead {
		m.event("leader-known", "node", t.Lead, "members", t.Members)
	}
	p.members, p.lead, p.heard = t.Members, t.Lead, m.now
}

// leader is who leads, as far as this keeper knows: another, or itself.
func (m *Machine) leader() (mem raft.Member, ok bool) {
	switch {
	case m.porter != nil:
		return m.porter.leader(m.now)
	case m.raft == nil || m.raft.Lead() == 0:
		return mem, false
	}
	return m.raft.Member(m.raft.Lead())
}

// Led tells whether this keeper knows who leads.
func (m *Machine) Led() bool {
	if m.raft != nil {
		return m.raft.Lead() != 0
	}
	_, yes := m.leader()
	return yes
}

// noteLeader keeps track of when this keeper last had a leader to go to: itself
// while its lease stands, or another that it has heard.
func (m *Machine) noteLeader() {
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

func (m *Machine) reaches() bool {
	if m.raft != nil && m.raft.Role() == raft.Leader {
		return m.raft.Leased(m.now)
	}
	return m.Led() && !m.reach.lost
}

// Connected tells whether this keeper has a leader to go to, or had one until
// so short a time ago that the next one may be about to be elected.
func (m *Machine) Connected() bool {
	return !m.reach.lost && m.now.Since(m.reached) <= 2*m.boot.Timing.Elect
}
