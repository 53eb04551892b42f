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
	// undecidedTimeout is how long a leader that leaves waits for what is under way,
	// and gracefulStopTimeout how long the whole may take, in milliseconds.
	undecidedTimeout    clock.Millis = 300
	gracefulStopTimeout clock.Millis = 1500
)

// gracefulStop is an orderly stop under way.
type gracefulStop struct {
	since clock.Monotonic
	// transferred says that leadership was handed on, or need not be.
	transferred bool
}

// Leave begins the orderly stop; the machine must go on being run until Left
// says that it may end. Asking again does nothing.
func (s *Server) Leave() {
	if s.gracefulStop != nil {
		return
	}
	s.gracefulStop = &gracefulStop{since: s.now}
	s.logEvent("leaving")
	if s.raft != nil {
		s.raft.PrepareToLeave()
	}
	s.transferLeadership()
	s.process()
}

// Left tells whether the process may end: another leads, nobody does and this
// keeper can't change that, or it has taken too long.
func (s *Server) Left() bool {
	if s.gracefulStop == nil {
		return false
	}
	if s.raft == nil || s.stopped || s.now.Since(s.gracefulStop.since) > gracefulStopTimeout {
		return true
	}
	lead := s.raft.Leader()
	return s.raft.Role() == raft.Follower && lead != 0 && lead != s.config.ID && len(s.forwarded) == 0
}

// transferLeadership hands leadership to another voter once nothing is lost by it.
func (s *Server) transferLeadership() {
	l := s.gracefulStop
	if l == nil || l.transferred || s.raft == nil || s.raft.Role() != raft.Leader {
		return
	}
	late := s.now.Since(l.since) > undecidedTimeout
	if !late && (len(s.proposals) > 0 || !s.raft.Replicated()) {
		return
	}
	if s.raft.TransferLeadership() {
		l.transferred = true
		s.logEvent("handed-on", "undecided", len(s.proposals))
	}
}

// transferLeadershipNow is transferLeadership after an input that may have decided the last request.
func (s *Server) transferLeadershipNow() {
	if s.gracefulStop == nil || s.gracefulStop.transferred || s.stopped {
		return
	}
	if s.transferLeadership(); s.gracefulStop.transferred {
		s.updateLeadership()
		s.process()
	}
}
