package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// Gangs run together or not at all. A member may go on only while the answers to its
// runner's polls repeat that all of its partners run on runners heard lately; otherwise its
// runner ends it. And as soon as one member's runner is silent for longer than a
// few polls, the leader revokes the whole gang: suspicion is enough to stop, though not to
// place anew. See docs/notes/gangs.md.

// silentGangPolls is for how many start time-outs a runner may be silent before its
// partners are stopped; it polls at least once in each.
const silentGangPolls = 3

// gangLeaseLevel is the level of the state from which on runners know gang leases.
const gangLeaseLevel uint16 = 1

// gangLeasePercent is the part of a lease that a gang lease lasts.
const gangLeasePercent = 70

// gangLease is how long a member may go on without being told that its gang is complete, 0
// where it need not be told: less than a lease, and longer than a change of leaders takes.
func (s *Server) gangLease(lease *state.Lease) clock.Millis {
	if s.state.Level < gangLeaseLevel || !spansRunners(lease, s.state.Partners(lease)) {
		return 0
	}
	return s.newLeaseSpan() * gangLeasePercent / 100
}

// spansRunners reports whether the lease is a gang member's whose partners are on other
// runners.
func spansRunners(lease *state.Lease, partners []*state.Lease) bool {
	for _, partner := range partners {
		if partner.Runner != lease.Runner {
			return true
		}
	}
	return false
}

// memberRunning reports whether an attempt is seen running, or ended, on a runner that has
// not missed a poll: an answer based on older reports would outlive a dead partner.
func (s *Server) memberRunning(lease *state.Lease) bool {
	contact := s.leader.runners[lease.Runner]
	if contact == nil || !contact.hasPolled || contact.incarnation != lease.Incarnation || lease.RevokeReason != "" {
		return false
	}
	missedPoll := s.startTimeout() * 3 / 2
	if contact.silentFor(s.now) > missedPoll {
		return false
	}
	_, ended := contact.ended[lease.ID]
	return contact.running[lease.ID] || ended
}

// collectCompleteGangs names the members running here whose partners all run. It reports
// whether there is one that the runner has not been told of since it began.
func (s *Server) collectCompleteGangs(contact *runnerContact, response *runnerapi.PollResponse) bool {
	anyNew := false
	for id := range contact.running {
		lease := s.state.Leases[id]
		if lease == nil || lease.RevokeReason != "" {
			continue
		}
		if s.gangComplete(lease) {
			response.CompleteGangs = append(response.CompleteGangs, id)
			anyNew = anyNew || !contact.gangs.current[id]
		}
	}
	slices.Sort(response.CompleteGangs)
	return anyNew
}

// gangComplete reports whether a lease belongs to a gang that spans several runners and
// whose other members all run.
func (s *Server) gangComplete(lease *state.Lease) bool {
	partners := s.state.Partners(lease)
	if !spansRunners(lease, partners) {
		return false
	}
	for _, partner := range partners {
		if !s.memberRunning(partner) {
			return false
		}
	}
	return true
}

// revokeSilentGangs revokes the gangs of runners that have been silent for too long.
func (s *Server) revokeSilentGangs() {
	l := s.leader
	if l.gangProposal > s.appliedIndex {
		return
	}
	limit := silentGangPolls * s.startTimeout()
	var late []identifier.LeaseID
	for name, contact := range l.runners {
		runner := s.state.Runners[name]
		if runner == nil || runner.Gone || runner.OpenLeases() == 0 || contact.silentFor(s.now) <= limit {
			continue
		}
		for _, id := range runner.LeaseIDs() {
			lease := s.state.Leases[id]
			if lease.RevokeReason == "" && spansRunners(lease, s.state.Partners(lease)) {
				late = append(late, id)
			}
		}
	}
	if len(late) == 0 {
		return
	}
	slices.Sort(late)
	s.logEvent("gang-member-silent", "leases", len(late))
	l.gangProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeGangMemberSilent}})
}
