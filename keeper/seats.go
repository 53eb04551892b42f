// Seats of the group. A learner that has caught up takes the seat of a voter
// that is gone: first it becomes a voter, then the dead one leaves, each by its
// own entry. A member whose address another identity has taken lost its disk
// and never comes back, so that nothing is waited for; one that is merely
// silent is given a little time, and can ask for a seat again when it returns.
package keeper

import (
	"orchidward/ids"
	"orchidward/raft"
)

const (
	// silentMs is how long a voter is silent before a learner that stands ready
	// takes its seat. Losses may follow one another within few seconds.
	silentMs  = 2000
	wantSeats = 3
)

// seats changes the group by one member when there is reason to.
func (m *Machine) seats() {
	list := m.raft.Members()
	voters, dead, ready, idle := 0, ids.Node(0), ids.Node(0), ids.Node(0)
	worst := ids.Span(silentMs)
	for _, mem := range list {
		if mem.Voter {
			voters++
		}
	}
	for _, s := range m.raft.See() {
		quiet := s.Quiet
		if outlived(list, s.Member) {
			quiet = max(quiet, deadMs) * 2
		}
		switch {
		case s.Voter && quiet > worst:
			dead, worst = s.ID, quiet
		case !s.Voter && s.Quiet < silentMs/2 && s.Match+64 >= m.raft.Commit():
			ready = s.ID
		case !s.Voter && quiet > deadMs:
			idle = s.ID
		}
	}
	switch {
	case voters > wantSeats && dead != 0:
		m.raft.Change(without(list, dead))
	case ready != 0 && (voters < wantSeats || dead != 0 && voters == wantSeats):
		next := []raft.Member{}
		for _, mem := range list {
			mem.Voter = mem.Voter || mem.ID == ready
			next = append(next, mem)
		}
		m.raft.Change(next)
	case idle != 0:
		m.raft.Change(without(list, idle))
	}
}

// outlived tells whether a later member has this one's address: its process
// and its disk are gone.
func outlived(list []raft.Member, one raft.Member) (yes bool) {
	seen := false
	for _, mem := range list {
		seen = seen || mem.ID == one.ID
		yes = yes || seen && mem.ID != one.ID && mem.Addr == one.Addr
	}
	return yes
}

func without(list []raft.Member, id ids.Node) (next []raft.Member) {
	for _, mem := range list {
		if mem.ID != id {
			next = append(next, mem)
		}
	}
	return next
}
