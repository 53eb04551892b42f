package controlplane

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// undecidedTimeout is how long a leader that stops waits for what it has proposed,
	// and gracefulStopTimeout how long the stop may take in all.
	undecidedTimeout    clock.Millis = 300
	gracefulStopTimeout clock.Millis = 1500
)

// gracefulStop is the orderly stop of a server. One that leads takes no more requests,
// waits until what it has proposed is applied and every live voter has the complete log,
// and transfers leadership. One that follows tells the leader that it leaves, so that a
// learner that has caught up can take its place. A server that stops never asks for an
// election, but goes on voting and forwarding requests to the end.
type gracefulStop struct {
	since clock.Monotonic
	// transferred says that leadership was handed to another voter.
	transferred bool
}

// Leave begins the graceful stop, or has it held back for as long as another voter is away
// (stop_hold.go). The server must go on being run until Left says that it may end. Calling
// it again does nothing.
func (s *Server) Leave() {
	switch {
	case s.stopping != nil || s.hold != nil:
	case s.holdsSeat():
		s.hold = &stopHold{since: s.now}
		s.continueHold()
	default:
		s.beginStop()
	}
}

func (s *Server) beginStop() {
	s.hold = nil
	s.stopping = &gracefulStop{since: s.now}
	s.logEvent("leaving")
	s.returnDelayedOrders()
	if s.raft != nil {
		s.raft.PrepareToLeave()
	}
	s.transferLeadership()
	s.process()
}

// Left reports whether the process may end: another server leads, nobody does and this
// server can't change that, or the stop has taken too long.
func (s *Server) Left() bool {
	if s.stopping == nil {
		return false
	}
	if s.raft == nil || s.halted || s.now.Since(s.stopping.since) > gracefulStopTimeout {
		return true
	}
	leader := s.raft.Leader()
	otherLeads := leader != 0 && leader != s.config.ID
	return s.raft.Role() == raft.Follower && otherLeads && len(s.forwarded) == 0
}

// transferLeadership hands leadership to another voter once nothing is lost by it.
func (s *Server) transferLeadership() {
	stop := s.stopping
	if stop == nil || stop.transferred || s.raft == nil || s.raft.Role() != raft.Leader {
		return
	}
	late := s.now.Since(stop.since) > undecidedTimeout
	if !late && (len(s.proposals.byIndex) > 0 || !s.raft.Replicated()) {
		return
	}
	if s.raft.TransferLeadership() {
		stop.transferred = true
		s.logEvent("leadership-transferred", "undecided", len(s.proposals.byIndex))
	}
}

// transferLeadershipNow tries again after an input that may have decided the last
// proposal.
func (s *Server) transferLeadershipNow() {
	if s.stopping == nil || s.stopping.transferred || s.halted {
		return
	}
	s.transferLeadership()
	if s.stopping.transferred {
		s.updateLeadership()
		s.process()
	}
}
