// The orderly stop of a keeper. One that leads takes no more requests, waits
// until those under way are decided and every live voter has the whole log, and
// hands leadership on; one that follows says to the leader that it leaves, so
// that its seat can go to a learner that is ready. A keeper that leaves never
// asks for an election, but goes on voting and passing requests on to the end.

package controlplane

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// decideWait is how long a leader that leaves waits for what is under way,
	// and leaveWait how long the whole may take, in milliseconds.
	decideWait clock.Millis = 300
	leaveWait  clock.Millis = 1500
)

// leaving is an orderly stop under way.
type leaving struct {
	since clock.Monotonic
	// handed says that leadership was handed on, or need not be.
	handed bool
}

// Leave begins the orderly stop; the machine must go on being run until Left
// says that it may end. Asking again does nothing.
func (m *Server) Leave() {
	if m.leave != nil {
		return
	}
	m.leave = &leaving{since: m.now}
	m.event("leaving")
	if m.raft != nil {
		m.raft.PrepareToLeave()
	}
	m.handOn()
	m.settle()
}

// Left tells whether the process may end: another leads, nobody does and this
// keeper can't change that, or it has taken too long.
func (m *Server) Left() bool {
	if m.leave == nil {
		return false
	}
	if m.raft == nil || m.over || m.now.Since(m.leave.since) > leaveWait {
		return true
	}
	lead := m.raft.Leader()
	return m.raft.Role() == raft.Follower && lead != 0 && lead != m.config.ID && len(m.relays) == 0
}

// handOn hands leadership to another voter once nothing is lost by it.
func (m *Server) handOn() {
	l := m.leave
	if l == nil || l.handed || m.raft == nil || m.raft.Role() != raft.Leader {
		return
	}
	late := m.now.Since(l.since) > decideWait
	if !late && (len(m.waits) > 0 || !m.raft.Replicated()) {
		return
	}
	if m.raft.TransferLeadership() {
		l.handed = true
		m.event("handed-on", "undecided", len(m.waits))
	}
}

// handOnNow is handOn after an input that may have decided the last request.
func (m *Server) handOnNow() {
	if m.leave == nil || m.leave.handed || m.over {
		return
	}
	if m.handOn(); m.leave.handed {
		m.turn()
		m.settle()
	}
}
