package controlplane

import (
	"cmp"
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	// awayAfter is how long a runner has not polled when its next poll is answered at
	// once, so that a runner that was cut off knows that it no longer is.
	awayAfter clock.Millis = 1000
	// departureSlack is the difference between two reported times of departure, in
	// milliseconds, that is not worth an entry.
	departureSlack = 1000
)

// openPoll is a poll in the order of those that are answered empty in time.
type openPoll struct {
	runner identifier.Runner
	id     uint64
	since  clock.Monotonic
}

// handlePoll takes a runner's poll: what it reports is proposed when it differs from
// the state, and the poll stays open until there is something to tell the runner.
func (s *Server) handlePoll(peer wire.Peer, id uint64, name identifier.Runner, body []byte) {
	var faults jsondoc.FieldErrors
	p := runnerapi.Read(body, &faults)
	if faults.Any() {
		s.replyFieldErrors(peer, id, &faults)
		return
	}
	c, ok := s.admitPoll(peer, id, name, p)
	if !ok {
		return
	}
	s.closePoll(c)
	s.openPoll(peer, id, c, p)
	s.leader.changedRunners[name] = true
	s.leader.openPolls = append(s.leader.openPolls, openPoll{name, id, s.now})
	if p.Agent {
		s.recordAgentPoll(name, c, p)
	}
	s.recordRunning(c, p)
	s.recordEnded(c, p)
	if s.runnerPresent(name, c, p) {
		s.reportRunnerIfChanged(name, c, p)
	}
	s.reportNewEnds(name, c)
	s.leader.cycle.needed = true
}

// admitPoll finds the contact that a poll belongs to. A poll that must not be taken is
// answered here, and ok is false: one of an incarnation that was replaced, one that a
// later poll has overtaken, and one of a runner beyond the bound.
func (s *Server) admitPoll(peer wire.Peer, id uint64, name identifier.Runner, p *runnerapi.PollRequest) (c *runnerContact, ok bool) {
	if p.Agent && s.state.Level < state.CatalogLevel {
		s.replyError(peer, id, errAgentsTooNew)
		return nil, false
	}
	runner := s.state.Runners[name]
	if runner != nil && runner.WasIncarnation(p.Incarnation) {
		s.replyJSON(peer, id, http.StatusOK, runnerapi.PollResponse{Retired: true})
		return nil, false
	}
	c = s.leader.runners[name]
	if c == nil && len(s.leader.runners) >= state.MaxRunners {
		s.replyError(peer, id, errRunnersFull)
		return nil, false
	}
	if c == nil {
		c = &runnerContact{}
		s.leader.runners[name] = c
	}
	if c.incarnation != p.Incarnation {
		s.closePoll(c)
		*c = runnerContact{incarnation: p.Incarnation, lastHeard: s.now, agent: s.carryOverAgent(c)}
	}
	if p.Seq <= c.seq {
		response := s.emptyPollResponse(c)
		response.Seq = c.seq
		s.replyJSON(peer, id, http.StatusOK, response)
		return nil, false
	}
	return c, true
}

// openPoll makes this the open poll of a runner.
func (s *Server) openPoll(peer wire.Peer, id uint64, c *runnerContact, p *runnerapi.PollRequest) {
	wasAway := !c.hasPolled || s.now.Since(c.lastHeard) > awayAfter
	c.seq = p.Seq
	c.lastHeard = s.now
	c.silentBefore = p.SilentFor
	c.hasPolled = true
	c.draining = p.Mode == runnerapi.ModeDraining
	c.poll = pollState{open: true, peer: peer, id: id, since: s.now}
	if wasAway {
		c.poll.since -= clock.Monotonic(s.state.Limits.SiteMillis("startMs"))
	}
	c.beginPoll()
}

// recordRunning takes the attempts that a poll says run. When one is new here, the
// runners of its gang have something to hear.
func (s *Server) recordRunning(c *runnerContact, p *runnerapi.PollRequest) {
	for _, id := range p.Running {
		c.running[id] = true
		toldBefore := c.gangs.before[id]
		if toldBefore {
			c.gangs.told[id] = true
		}
		lease := s.state.Leases[id]
		if lease == nil {
			continue
		}
		s.leader.leases.confirmed[id] = true
		if toldBefore {
			continue
		}
		for _, partner := range s.state.Partners(lease) {
			s.leader.changedRunners[partner.Runner] = true
		}
	}
}

// recordEnded takes the attempts that a poll says have ended.
func (s *Server) recordEnded(c *runnerContact, p *runnerapi.PollRequest) {
	for _, end := range p.Ended {
		c.ended[end.Lease] = end
		if s.state.Leases[end.Lease] != nil {
			s.leader.leases.confirmed[end.Lease] = true
		}
	}
}

// closePoll answers a poll that a later one has replaced.
func (s *Server) closePoll(c *runnerContact) {
	if c.poll.open {
		c.poll.open = false
		s.replyJSON(c.poll.peer, c.poll.id, http.StatusOK, s.emptyPollResponse(c))
	}
}

// emptyPollResponse is an answer without orders.
func (s *Server) emptyPollResponse(c *runnerContact) runnerapi.PollResponse {
	response := runnerapi.PollResponse{
		Lease:        s.state.Limits.SiteMillis("grantMs"),
		StartTimeout: s.state.Limits.SiteMillis("startMs"),
	}
	if c.agent == nil {
		response.Gateways = s.gateways.liveClientAddrs(s.now)
		return response
	}
	response.FencingToken = uint64(s.term)
	response.Servers = s.serverAddrs()
	return response
}

// reportRunnerIfChanged proposes what the runner says of itself when it differs from
// the state.
func (s *Server) reportRunnerIfChanged(name identifier.Runner, c *runnerContact, p *runnerapi.PollRequest) {
	if c.reportProposal > s.appliedIndex {
		return
	}
	report := &state.ReportRunner{
		Runner:      name,
		Incarnation: p.Incarnation,
		Capacity:    job.Demand{Cores: p.Cores, Mem: p.Mem, MilliCores: p.MilliCores, GPUs: p.GPUs},
		Labels:      p.Labels,
		Pool:        p.Pool,
		AgentAddr:   p.AgentAddr,
		Domain:      p.Domain,
		Rack:        p.Rack,
		Draining:    p.Mode == runnerapi.ModeDraining,
	}
	runner := s.state.Runners[name]
	if report.Draining {
		report.DepartsAt = s.leader.clock.timeAt(s.now).Add(p.DepartsIn)
		if runner != nil && runner.Draining && p.DepartsIn == 0 {
			report.DepartsAt = runner.DepartsAt
		}
	}
	if runner != nil && matchesReport(runner, report) {
		return
	}
	report.Checkpoints = s.checkpoints(c)
	c.reportProposal = s.propose(&state.Command{ReportRunner: report})
}

// matchesReport tells whether a report says nothing that the state does not have.
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
		gap < departureSlack && gap > -departureSlack
}

// reportNewEnds proposes the ends that the state has yet to hear of.
func (s *Server) reportNewEnds(name identifier.Runner, c *runnerContact) {
	if c.endsProposal > s.appliedIndex {
		return
	}
	report := &state.ReportEnds{Runner: name, Incarnation: c.incarnation}
	for _, id := range c.endedIDs() {
		end := c.ended[id]
		if s.state.AcceptsEnd(name, c.incarnation, end.Lease, end.Task) {
			report.Ends = append(report.Ends, state.End{Lease: end.Lease, Task: end.Task, Outcome: state.Outcome(end.Outcome), Checkpoint: end.Checkpoint})
		}
	}
	if len(report.Ends) > 0 {
		c.endsProposal = s.propose(&state.Command{ReportEnds: report})
	}
}

// answerPolls answers the open polls that have something to hear, or have been open
// long enough. Only those are visited whose runner something happened to, or whose time
// has come.
func (s *Server) answerPolls() {
	hold := s.state.Limits.SiteMillis("startMs") * 6 / 10
	s.markOverduePolls(hold)
	for _, name := range s.takeChangedRunners() {
		c := s.leader.runners[name]
		if c == nil || !c.poll.open {
			continue
		}
		s.reportNewEnds(name, c)
		response := s.pollOrders(name, c)
		if c.agent != nil {
			s.answerAgentPoll(name, c, &response, hold)
		} else {
			s.answerPoll(name, c, &response, hold)
		}
	}
}

// markOverduePolls marks the runners whose polls have been open for long enough.
func (s *Server) markOverduePolls(hold clock.Millis) {
	l := s.leader
	for len(l.openPolls) > 0 && s.now.Since(l.openPolls[0].since) >= hold {
		first := l.openPolls[0]
		if c := l.runners[first.runner]; c != nil && c.poll.open && c.poll.id == first.id {
			l.changedRunners[first.runner] = true
		}
		l.openPolls = l.openPolls[1:]
	}
}

// answerPoll answers a runner's open poll if there is something to tell, or the poll
// has been open for long enough.
func (s *Server) answerPoll(name identifier.Runner, c *runnerContact, response *runnerapi.PollResponse, hold clock.Millis) {
	newGang := s.collectCompleteGangs(c, response)
	for _, id := range c.endedIDs() {
		end := c.ended[id]
		if !s.state.AcceptsEnd(name, c.incarnation, end.Lease, end.Task) {
			response.AckedEnds = append(response.AckedEnds, id)
		}
	}
	orders := len(response.Starts) + len(response.Stops) + len(response.AckedEnds)
	if !newGang && orders == 0 && s.now.Since(c.poll.since) < hold {
		return
	}
	c.poll.open = false
	for _, id := range response.CompleteGangs {
		c.gangs.told[id] = true
	}
	empty := s.emptyPollResponse(c)
	response.Lease = empty.Lease
	response.StartTimeout = empty.StartTimeout
	response.Gateways = empty.Gateways
	s.replyJSON(c.poll.peer, c.poll.id, http.StatusOK, response)
}

// takeChangedRunners takes the runners whose polls are to be looked at, in order.
func (s *Server) takeChangedRunners() []identifier.Runner {
	var list []identifier.Runner
	for name := range s.leader.changedRunners {
		list = append(list, name)
	}
	clear(s.leader.changedRunners)
	slices.Sort(list)
	return list
}

// pollOrders collects what a runner is to start and to stop. Starts go out only for
// leases in the state as it now stands.
func (s *Server) pollOrders(name identifier.Runner, c *runnerContact) runnerapi.PollResponse {
	var response runnerapi.PollResponse
	r := s.state.Runners[name]
	if r == nil || r.Incarnation != c.incarnation {
		return response
	}
	r.EachLease(func(g *state.Lease) {
		_, over := c.ended[g.ID]
		switch {
		case over:
		case g.RevokeReason != "":
			response.Stops = append(response.Stops, g.ID)
		case !c.running[g.ID] && !c.draining && r.CordonedBy() == "":
			response.Starts = append(response.Starts, s.startOrder(g))
		}
	})
	slices.SortFunc(response.Starts, func(x, y runnerapi.Start) int { return cmp.Compare(x.Lease, y.Lease) })
	for id := range c.running {
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
