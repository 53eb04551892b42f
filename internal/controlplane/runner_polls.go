package controlplane

import (
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	// pollGapLimit is the gap between polls after which a runner's next poll is answered
	// at once, so that a runner that was cut off learns that it is connected again.
	pollGapLimit clock.Millis = 1000
	// departureTolerance is the largest difference between two reported departure times,
	// in milliseconds, that is not worth a log entry.
	departureTolerance = 1000
)

// startTimeout returns how long a runner may take to confirm a start, from the limits
// table. It also sets the pace of polls.
func (s *Server) startTimeout() clock.Millis {
	return s.state.Limits.SiteMillis(limits.SiteStartTimeout)
}

// newLeaseSpan returns the duration of leases that a poll response renews now. Leases
// renewed earlier may last longer: see [state.Store.LeaseSpan].
func (s *Server) newLeaseSpan() clock.Millis {
	return s.state.Limits.SiteMillis(limits.SiteLeaseSpan)
}

// openPoll is an entry in the queue of open polls, which are answered without orders once
// they time out.
type openPoll struct {
	runner identifier.Runner
	id     uint64
	since  clock.Monotonic
}

// handlePoll handles a runner's poll: it proposes what the runner reports if that differs
// from the state, and keeps the poll open until there is something to send to the runner.
func (s *Server) handlePoll(peer wire.Peer, id uint64, name identifier.Runner, body []byte) {
	var faults jsondoc.FieldErrors
	poll := runnerapi.Read(body, &faults)
	if faults.Any() {
		s.replyFieldErrors(peer, id, &faults)
		return
	}
	contact, ok := s.admitPoll(peer, id, name, poll)
	if !ok {
		return
	}
	s.closePoll(contact)
	s.openPoll(peer, id, contact, poll)
	s.leader.changedRunners[name] = true
	s.leader.openPolls = append(s.leader.openPolls, openPoll{name, id, s.now})
	if poll.Agent {
		s.recordAgentPoll(name, contact, poll)
	}
	s.recordRunning(contact, poll)
	s.recordEnded(contact, poll)
	if s.runnerPresent(name, contact, poll) {
		s.reportRunnerIfChanged(name, contact, poll)
	}
	s.reportNewEnds(name, contact)
	s.leader.cycle.needed = true
}

// admitPoll returns the contact that a poll belongs to. It rejects polls of a superseded
// incarnation, polls that a later one has overtaken, and polls of runners beyond the
// bound: it answers them and returns false.
func (s *Server) admitPoll(
	peer wire.Peer, id uint64, name identifier.Runner, poll *runnerapi.PollRequest,
) (contact *runnerContact, ok bool) {
	if poll.Agent && s.state.Level < state.CatalogLevel {
		s.replyError(peer, id, errAgentsTooNew)
		return nil, false
	}
	runner := s.state.Runners[name]
	if runner != nil && runner.WasIncarnation(poll.Incarnation) {
		s.replyJSON(peer, id, http.StatusOK, runnerapi.PollResponse{Retired: true})
		return nil, false
	}
	contact = s.leader.runners[name]
	if contact == nil && len(s.leader.runners) >= state.MaxRunners {
		s.replyError(peer, id, errRunnersFull)
		return nil, false
	}
	if contact == nil {
		contact = &runnerContact{}
		s.leader.runners[name] = contact
	}
	if contact.incarnation != poll.Incarnation {
		s.closePoll(contact)
		*contact = runnerContact{incarnation: poll.Incarnation, lastHeard: s.now, agent: s.carryOverAgent(contact)}
	}
	if poll.Seq <= contact.seq {
		contact.lastHeard = s.now
		response := s.emptyPollResponse(contact)
		response.Seq = contact.seq
		s.replyJSON(peer, id, http.StatusOK, response)
		return nil, false
	}
	return contact, true
}

// openPoll makes a poll the runner's open poll.
func (s *Server) openPoll(peer wire.Peer, id uint64, contact *runnerContact, poll *runnerapi.PollRequest) {
	wasSilent := !contact.hasPolled || s.now.Since(contact.lastHeard) > pollGapLimit
	contact.seq = poll.Seq
	contact.lastHeard = s.now
	contact.agentReportedSilence = poll.SilentFor
	contact.hasPolled = true
	contact.draining = poll.Mode == runnerapi.ModeDraining
	contact.poll = pollState{open: true, peer: peer, id: id, since: s.now}
	if wasSilent {
		contact.poll.since -= clock.Monotonic(s.startTimeout())
	}
	contact.beginPoll()
}

// recordRunning records the attempts that a poll reports as running. If one of them is
// newly reported, the runners of its gang's other members are marked as changed.
func (s *Server) recordRunning(contact *runnerContact, poll *runnerapi.PollRequest) {
	for _, id := range poll.Running {
		contact.running[id] = true
		notified := contact.gangs.previous[id]
		if notified {
			contact.gangs.current[id] = true
		}
		lease := s.state.Leases[id]
		if lease == nil {
			continue
		}
		s.leader.leases.confirmed[id] = true
		if notified {
			continue
		}
		for _, partner := range s.state.Partners(lease) {
			s.leader.changedRunners[partner.Runner] = true
		}
	}
}

// recordEnded records the attempts that a poll reports as ended. The first end of an attempt
// is the one that counts: a runner also reports that it refused a repeated start.
func (s *Server) recordEnded(contact *runnerContact, poll *runnerapi.PollRequest) {
	for _, end := range poll.Ended {
		if _, reported := contact.ended[end.Lease]; reported {
			continue
		}
		contact.ended[end.Lease] = end
		if s.state.Leases[end.Lease] != nil {
			s.leader.leases.confirmed[end.Lease] = true
		}
	}
}

// reportRunnerIfChanged proposes the runner's report about itself if it differs from the
// state.
func (s *Server) reportRunnerIfChanged(name identifier.Runner, contact *runnerContact, poll *runnerapi.PollRequest) {
	if contact.reportProposal > s.appliedIndex {
		return
	}
	report := &state.ReportRunner{
		Runner:      name,
		Incarnation: poll.Incarnation,
		Capacity:    job.Demand{Cores: poll.Cores, Mem: poll.Mem, MilliCores: poll.MilliCores, GPUs: poll.GPUs},
		Labels:      poll.Labels,
		Pool:        poll.Pool,
		AgentAddr:   poll.AgentAddr,
		Domain:      poll.Domain,
		Rack:        poll.Rack,
		Draining:    poll.Mode == runnerapi.ModeDraining,
	}
	runner := s.state.Runners[name]
	if report.Draining {
		report.DepartsAt = s.leader.clock.timeAt(s.now).Add(poll.DepartsIn)
		if runner != nil && runner.Draining && poll.DepartsIn == 0 {
			report.DepartsAt = runner.DepartsAt
		}
	}
	if runner != nil && matchesReport(runner, report) {
		return
	}
	report.Checkpoints = s.checkpoints(contact)
	contact.reportProposal = s.propose(&state.Command{ReportRunner: report})
}

// matchesReport reports whether a report contains nothing new to the state.
func matchesReport(runner *state.Runner, report *state.ReportRunner) bool {
	gap := report.DepartsAt - runner.DepartsAt
	return runner.Incarnation == report.Incarnation &&
		!runner.Gone &&
		runner.Capacity == report.Capacity &&
		runner.Pool == report.Pool &&
		runner.AgentAddr == report.AgentAddr &&
		slices.Equal(runner.Labels, report.Labels) &&
		runner.Domain == report.Domain &&
		runner.Rack == report.Rack &&
		runner.Draining == report.Draining &&
		gap < departureTolerance && gap > -departureTolerance
}

// reportNewEnds proposes the reported ends that the state does not contain yet.
func (s *Server) reportNewEnds(name identifier.Runner, contact *runnerContact) {
	if contact.endsProposal > s.appliedIndex {
		return
	}
	report := &state.ReportEnds{Runner: name, Incarnation: contact.incarnation}
	for _, id := range contact.endedIDs() {
		end := contact.ended[id]
		if s.state.AcceptsEnd(name, contact.incarnation, end.Lease, end.Task) {
			report.Ends = append(report.Ends, state.End{
				Lease:      end.Lease,
				Task:       end.Task,
				Outcome:    state.Outcome(end.Outcome),
				Checkpoint: end.Checkpoint,
			})
		}
	}
	if len(report.Ends) > 0 {
		contact.endsProposal = s.propose(&state.Command{ReportEnds: report})
	}
}
