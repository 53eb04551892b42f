package controlplane

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// pollTimeout returns how long a poll stays open when there is nothing to send to the
// runner.
func (s *Server) pollTimeout() clock.Millis { return runnerapi.PollTimeout(s.startTimeout()) }

// closePoll answers a poll that a later one has superseded.
func (s *Server) closePoll(contact *runnerContact) {
	if contact.poll.open {
		contact.poll.open = false
		s.replyJSON(contact.poll.peer, contact.poll.id, http.StatusOK, s.emptyPollResponse(contact))
	}
}

// emptyPollResponse returns a response without orders.
func (s *Server) emptyPollResponse(contact *runnerContact) runnerapi.PollResponse {
	response := runnerapi.PollResponse{
		Lease:        s.newLeaseSpan(),
		StartTimeout: s.startTimeout(),
	}
	if contact.agent == nil {
		response.Gateways = s.gateways.liveClientAddrs(s.now)
		return response
	}
	response.FencingToken = uint64(s.term)
	response.Servers = s.serverAddrs()
	return response
}

// answerPolls answers the open polls of runners that there is something to send to, and
// those that have timed out. It visits only the runners marked as changed.
func (s *Server) answerPolls() {
	timeout := s.pollTimeout()
	s.markOverduePolls(timeout)
	for _, name := range s.takeChangedRunners() {
		contact := s.leader.runners[name]
		if contact == nil || !contact.poll.open {
			continue
		}
		s.reportNewEnds(name, contact)
		response := s.pollOrders(name, contact)
		if contact.agent != nil {
			s.answerAgentPoll(name, contact, &response, timeout)
		} else {
			s.answerPoll(name, contact, &response, timeout)
		}
	}
}

// markOverduePolls marks the runners whose polls have timed out.
func (s *Server) markOverduePolls(timeout clock.Millis) {
	l := s.leader
	for len(l.openPolls) > 0 && s.now.Since(l.openPolls[0].since) >= timeout {
		first := l.openPolls[0]
		if contact := l.runners[first.runner]; contact != nil && contact.poll.open && contact.poll.id == first.id {
			l.changedRunners[first.runner] = true
		}
		l.openPolls = l.openPolls[1:]
	}
}

// answerPoll answers a runner's open poll if there is something to send or the poll has
// timed out.
func (s *Server) answerPoll(name identifier.Runner, contact *runnerContact, response *runnerapi.PollResponse, timeout clock.Millis) {
	newGang := s.collectCompleteGangs(contact, response)
	for _, id := range contact.endedIDs() {
		end := contact.ended[id]
		if !s.state.AcceptsEnd(name, contact.incarnation, end.Lease, end.Task) {
			response.AckedEnds = append(response.AckedEnds, id)
		}
	}
	orders := len(response.Starts) + len(response.Stops) + len(response.AckedEnds)
	if !newGang && orders == 0 && s.now.Since(contact.poll.since) < timeout {
		return
	}
	contact.poll.open = false
	for _, id := range response.CompleteGangs {
		contact.gangs.current[id] = true
	}
	empty := s.emptyPollResponse(contact)
	response.Lease = empty.Lease
	response.StartTimeout = empty.StartTimeout
	response.Gateways = empty.Gateways
	s.replyJSON(contact.poll.peer, contact.poll.id, http.StatusOK, response)
}

// takeChangedRunners returns the runners marked as changed, in order of name, and clears
// the marks.
func (s *Server) takeChangedRunners() []identifier.Runner {
	list := slices.Sorted(maps.Keys(s.leader.changedRunners))
	clear(s.leader.changedRunners)
	return list
}

// pollOrders collects the attempts that a runner must start and stop. Starts are sent
// only for leases in the current state.
func (s *Server) pollOrders(name identifier.Runner, contact *runnerContact) runnerapi.PollResponse {
	var response runnerapi.PollResponse
	runner := s.state.Runners[name]
	if runner == nil || runner.Incarnation != contact.incarnation {
		return response
	}
	runner.EachLease(func(lease *state.Lease) {
		_, ended := contact.ended[lease.ID]
		switch {
		case ended:
		case lease.RevokeReason != "":
			response.Stops = append(response.Stops, lease.ID)
		case contact.running[lease.ID] || contact.draining || runner.CordonedBy() != "":
		case !s.exceedsQuota(lease):
			response.Starts = append(response.Starts, s.startOrder(lease))
		}
	})
	slices.SortFunc(response.Starts, func(x, y runnerapi.Start) int { return cmp.Compare(x.Lease, y.Lease) })
	for id := range contact.running {
		if s.state.Leases[id] == nil {
			response.Stops = append(response.Stops, id)
		}
	}
	slices.Sort(response.Stops)
	return response
}

func (s *Server) startOrder(lease *state.Lease) runnerapi.Start {
	return runnerapi.Start{
		Lease:       lease.ID,
		Task:        lease.Task,
		Demand:      lease.Demand,
		ExpectedRun: lease.ExpectedRun,
		GangLease:   s.gangLease(lease),
		Attempt:     lease.Attempt,
	}
}
