// Seats of the group. A learner that has caught up takes the seat of a voter
// that is gone: first it becomes a voter, then the dead one leaves, each by its
// own entry. A member whose address another identity has taken lost its disk
// and never comes back, so that nothing is waited for; one that is merely
// silent is given a little time, and can ask for a seat again when it returns.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

const (
	// silentMs is how long a voter is silent before a learner that stands ready
	// takes its seat. Losses may follow one another within few seconds.
	silentMs = 2000
	// A group has fewSeats voters, and mostSeats where so many members live.
	fewSeats  = 3
	mostSeats = 5
	// readyGap is how many entries a learner may lack when it becomes a voter.
	readyGap = 64
)

// seats changes the group by one member when there is reason to.
func (m *Server) seats() {
	list := m.seatList()
	calm := m.now.Since(m.lead.rose) > silentMs
	if next := reseat(list, m.wanted(list), calm); next != nil {
		m.raft.ProposeMembers(next)
	}
}

// wanted is how many voters there should be. Five become three only when fewer
// than five have been alive for long; on the way up or down, with four, there
// is no reason to linger.
func (m *Server) wanted(list []seat) int {
	live, voters := 0, 0
	for _, s := range list {
		if s.live {
			live++
		}
		if s.Voter {
			voters++
		}
	}
	if live >= mostSeats {
		m.lead.enough = m.now
		return mostSeats
	}
	if voters >= mostSeats && m.now.Since(m.lead.enough) <= deadMs {
		return mostSeats
	}
	return fewSeats
}

// seatList is the group as this leader sees it. Whoever it has not heard in
// its own term is neither live nor ready.
func (m *Server) seatList() []seat {
	var out []seat
	list, seen := m.raft.Members(), map[identifier.Node]raft.MemberStatus{}
	for _, s := range m.raft.MemberStatuses() {
		seen[s.ID] = s
	}
	for _, mem := range list {
		s, other := seen[mem.ID]
		if !other {
			out = append(out, seat{Member: mem, self: true, live: true})
			continue
		}
		gone := outlived(list, mem)
		quiet := s.SilentFor
		if gone {
			quiet = max(quiet, deadMs) * 2
		}
		heard := s.WallTimeReadAt != 0 && quiet < silentMs && !s.Leaving
		out = append(out, seat{Member: mem, quiet: quiet, live: heard, dead: mem.Voter && (quiet > silentMs || s.Leaving), idle: !mem.Voter && quiet > deadMs,
			ready: !mem.Voter && heard && quiet < silentMs/2 && s.Match >= m.raft.TermStart() && s.Match+readyGap >= m.raft.CommitIndex()})
	}
	return out
}

// outlived tells whether a later member has this one's address: its process
// and its disk are gone.
func outlived(list []raft.Member, one raft.Member) bool {
	var yes bool
	seen := false
	for _, mem := range list {
		seen = seen || mem.ID == one.ID
		yes = yes || seen && mem.ID != one.ID && mem.Addr == one.Addr
	}
	return yes
}
