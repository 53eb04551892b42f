package controlplane

import (
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

const (
	// pendingProposalsTimeout is how long a stopping leader waits for its proposals to be
	// applied, and gracefulStopTimeout how long the whole stop may take.
	pendingProposalsTimeout clock.Millis = 300
	gracefulStopTimeout     clock.Millis = 1500
)

// gracefulStop is the orderly stop of a server. A leader accepts no more requests, waits
// until its proposals are applied and every live voter has the complete log, and
// transfers leadership. A follower tells the leader that it is leaving, so that a
// caught-up learner can replace it. A stopping server never starts an election, but
// continues to vote and to forward requests until it ends.
type gracefulStop struct {
	since clock.Monotonic
	// transferred means that leadership was transferred to another voter.
	transferred bool
}

// Leave begins the graceful stop, or delays it while another voter is absent
// (stop_hold.go). The server must keep running until Left reports that it may end.
// Further calls have no effect.
func (s *Server) Leave() {
	switch {
	case s.stopping != nil || s.hold != nil:
	case s.isVoter():
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
	s.rejectDelayedOrders()
	if s.raft != nil {
		s.raft.PrepareToLeave()
	}
	s.transferLeadership()
	s.process()
}

// Left reports whether the process may end: another server leads and no forwarded request
// is pending, this server belongs to no group or has halted, or the stop has exceeded
// gracefulStopTimeout.
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

// transferLeadership transfers leadership to another voter once that loses no proposal,
// or after pendingProposalsTimeout.
func (s *Server) transferLeadership() {
	stop := s.stopping
	if stop == nil || stop.transferred || s.raft == nil || s.raft.Role() != raft.Leader {
		return
	}
	late := s.now.Since(stop.since) > pendingProposalsTimeout
	if !late && (len(s.proposals.byIndex) > 0 || !s.raft.Replicated()) {
		return
	}
	if s.raft.TransferLeadership() {
		stop.transferred = true
		s.logEvent("leadership-transferred", "undecided", len(s.proposals.byIndex))
	}
}

// transferLeadershipNow retries the transfer after an input that may have completed the
// last proposal.
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
