package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// The tasks of a gang run together or not at all. A member may continue only while the
// responses to its runner's polls confirm that all of its partners run on recently heard
// runners; otherwise its runner ends it. If the runner of one member is silent for longer
// than a few polls, the leader also revokes the whole gang: a suspected failure is enough
// reason to stop the members, though not to place them again. See docs/notes/gangs.md.

// silentGangPolls is the number of start timeouts that a runner may be silent before its
// gangs are revoked. A runner polls at least once per start timeout.
const silentGangPolls = 3

// gangLeaseLevel is the state level from which on runners support gang leases.
const gangLeaseLevel uint16 = 1

// gangLeasePercent is the duration of a gang lease as a percentage of a lease.
const gangLeasePercent = 70

// gangLease returns how long a member may continue without confirmation that its gang is
// complete, or 0 if it needs no confirmation. It is shorter than a lease and longer than
// a change of leaders takes.
func (s *Server) gangLease(lease *state.Lease) clock.Millis {
	if s.state.Level < gangLeaseLevel || !spansRunners(lease, s.state.Partners(lease)) {
		return 0
	}
	return s.newLeaseSpan() * gangLeasePercent / 100
}

// spansRunners reports whether the lease belongs to a gang member that has a partner on
// another runner.
func spansRunners(lease *state.Lease, partners []*state.Lease) bool {
	for _, partner := range partners {
		if partner.Runner != lease.Runner {
			return true
		}
	}
	return false
}

// memberRunning reports whether an attempt is known to run, or to have ended, on a runner
// that has not missed a poll. A response based on older reports could keep members
// running after a partner has died.
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

// collectCompleteGangs adds the members on this runner whose partners all run to the
// response. It reports whether any of them has not been reported to the runner yet.
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
// whose other members are all running.
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

// revokeSilentGangs revokes the gangs that have a member on a runner that has been silent
// for too long.
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
