// Runners' polls: what they report is committed when it is news, and their
// open polls are answered when there is something to order or acknowledge.

package controlplane

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// awayAfter is how long a runner has not polled when its next poll is answered at
// once, so that whoever was cut off knows that it no longer is.
const awayAfter = 1000

func sortLeases(list []identifier.LeaseID) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}

func (s *Server) handlePoll(peer wire.Peer, id uint64, name identifier.Runner, body []byte) {
	var f jsondoc.FieldErrors
	p := runnerapi.Read(body, &f)
	if f.Any() {
		s.reply(peer, id, f.Status(), f.ErrorBody(), 0)
		return
	}
	if p.Agent && s.state.Level < state.CatalogLevel {
		s.replyError(peer, id, 503, "level", "agents wait until every keeper has been upgraded", 500)
		return
	}
	l := s.leader
	r := s.state.Runners[name]
	c := l.runners[name]
	if r != nil && r.WasIncarnation(p.Incarnation) {
		s.replyJSON(peer, id, 200, runnerapi.PollResponse{Retired: true})
		return
	}
	if c == nil && len(l.runners) >= state.MaxRunners {
		s.replyError(peer, id, 503, "runners-full", "no room for another runner", 60000)
		return
	}
	if c == nil {
		c = &runnerContact{}
		l.runners[name] = c
	}
	if c.incarnation != p.Incarnation {
		s.closePoll(c)
		*c = runnerContact{incarnation: p.Incarnation, lastHeard: s.now, agent: s.carryOverAgent(c)}
	}
	if p.Seq <= c.seq {
		a := s.emptyPollResponse(c)
		a.Seq = c.seq
		s.replyJSON(peer, id, 200, a)
		return
	}
	s.closePoll(c)
	back := !c.hasPolled || s.now.Since(c.lastHeard) > awayAfter
	c.seq, c.lastHeard, c.silentBefore, c.hasPolled, c.draining = p.Seq, s.now, p.SilentFor, true, p.Mode == runnerapi.ModeDraining
	c.pollOpen, c.pollPeer, c.pollID, c.pollSince = true, peer, id, s.now
	if back {
		c.pollSince -= clock.Monotonic(s.state.Limits.SiteMillis("startMs"))
	}
	c.beginPoll()
	was := c.toldCompleteBefore
	l.changedRunners[name] = true
	l.openPolls = append(l.openPolls, openPoll{name, id, s.now})
	if p.Agent {
		s.recordAgentPoll(name, c, p)
	}
	for _, g := range p.Running {
		c.running[g] = true
		if was[g] {
			c.toldComplete[g] = true
		}
		one := s.state.Leases[g]
		if one == nil {
			continue
		}
		l.confirmed[g] = true
		if was[g] {
			continue
		}
		for _, p := range s.state.Partners(one) {
			l.changedRunners[p.Runner] = true
		}
	}
	for _, e := range p.Ended {
		c.ended[e.Lease] = e
		if s.state.Leases[e.Lease] != nil {
			l.confirmed[e.Lease] = true
		}
	}
	if s.runnerPresent(name, c, p) {
		s.reportRunnerIfChanged(name, c, p)
	}
	s.reportNewEnds(name, c)
	l.needsScheduling = true
}

// begin empties what a poll says anew; what was told before it is kept aside.
func (c *runnerContact) beginPoll() {
	if c.running == nil {
		c.running, c.ended, c.toldComplete, c.toldCompleteBefore = map[identifier.LeaseID]bool{}, map[identifier.LeaseID]runnerapi.End{}, map[identifier.LeaseID]bool{}, map[identifier.LeaseID]bool{}
		return
	}
	c.toldComplete, c.toldCompleteBefore = c.toldCompleteBefore, c.toldComplete
	clear(c.running)
	clear(c.ended)
	clear(c.toldComplete)
}

// closePoll answers a poll that a later one has replaced.
func (s *Server) closePoll(c *runnerContact) {
	if c.pollOpen {
		c.pollOpen = false
		s.replyJSON(c.pollPeer, c.pollID, 200, s.emptyPollResponse(c))
	}
}

func (s *Server) emptyPollResponse(c *runnerContact) runnerapi.PollResponse {
	a := runnerapi.PollResponse{Lease: s.state.Limits.SiteMillis("grantMs"), StartTimeout: s.state.Limits.SiteMillis("startMs")}
	if c.agent == nil {
		a.Gateways = s.liveGateways()
		return a
	}
	a.FencingToken, a.Servers = uint64(s.term), s.serverAddrs()
	return a
}

// facts commits what the runner says of itself when it differs from the book.
func (s *Server) reportRunnerIfChanged(name identifier.Runner, c *runnerContact, p *runnerapi.PollRequest) {
	if c.reportProposal > s.appliedIndex {
		return
	}
	rep := &state.ReportRunner{Runner: name, Incarnation: p.Incarnation, Capacity: job.Demand{Cores: p.Cores, Mem: p.Mem, MilliCores: p.MilliCores, GPUs: p.GPUs}, Labels: p.Labels, Pool: p.Pool, AgentAddr: p.AgentAddr,
		Domain: p.Domain, Rack: p.Rack, Draining: p.Mode == runnerapi.ModeDraining}
	if rep.Draining {
		rep.DepartsAt = s.leader.clock.timeAt(s.now).Add(p.DepartsIn)
	}
	r := s.state.Runners[name]
	if r != nil && r.Draining && rep.Draining && p.DepartsIn == 0 {
		rep.DepartsAt = r.DepartsAt
	}
	if r != nil && r.Incarnation == p.Incarnation && !r.Gone && r.Capacity == rep.Capacity && r.Pool == p.Pool && r.AgentAddr == p.AgentAddr && sameLabels(r.Labels, p.Labels) &&
		r.Domain == p.Domain && r.Rack == p.Rack && r.Draining == rep.Draining {
		if gap := rep.DepartsAt - r.DepartsAt; gap < 1000 && gap > -1000 {
			return
		}
	}
	rep.Checkpoints = s.checkpoints(c)
	c.reportProposal = s.propose(&state.Command{ReportRunner: rep})
}

func sameLabels(a, b []identifier.Label) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// reportNewEnds commits the ends the book has yet to hear of.
func (s *Server) reportNewEnds(name identifier.Runner, c *runnerContact) {
	if c.endsProposal > s.appliedIndex {
		return
	}
	e := &state.ReportEnds{Runner: name, Incarnation: c.incarnation}
	for _, id := range c.endedIDs() {
		one := c.ended[id]
		if s.state.AcceptsEnd(name, c.incarnation, one.Lease, one.Task) {
			e.Ends = append(e.Ends, state.End{Lease: one.Lease, Task: one.Task, Outcome: state.Outcome(one.Outcome), Checkpoint: one.Checkpoint})
		}
	}
	if len(e.Ends) > 0 {
		c.endsProposal = s.propose(&state.Command{ReportEnds: e})
	}
}

func (c *runnerContact) endedIDs() []identifier.LeaseID {
	var list []identifier.LeaseID
	for id := range c.ended {
		list = append(list, id)
	}
	sortLeases(list)
	return list
}

// answerPolls answers the open polls that have something to hear, or have been open
// long enough. Starts go out only for grants in the book as it now stands. Only
// those are visited whose runner something happened to, or whose time has come.
func (s *Server) answerPolls() {
	l := s.leader
	hold := s.state.Limits.SiteMillis("startMs") * 6 / 10
	for len(l.openPolls) > 0 && s.now.Since(l.openPolls[0].since) >= hold {
		if c := l.runners[l.openPolls[0].runner]; c != nil && c.pollOpen && c.pollID == l.openPolls[0].id {
			l.changedRunners[l.openPolls[0].runner] = true
		}
		l.openPolls = l.openPolls[1:]
	}
	for _, n := range s.takeChangedRunners() {
		c := l.runners[n]
		if c == nil || !c.pollOpen {
			continue
		}
		s.reportNewEnds(n, c)
		a := runnerapi.PollResponse{}
		s.collectOrders(n, c, &a)
		if c.agent != nil {
			s.answerAgentPoll(n, c, &a, hold)
			continue
		}
		word := s.collectCompleteGangs(c, &a)
		for _, id := range c.endedIDs() {
			if one := c.ended[id]; !s.state.AcceptsEnd(n, c.incarnation, one.Lease, one.Task) {
				a.AckedEnds = append(a.AckedEnds, id)
			}
		}
		if !word && len(a.Starts)+len(a.Stops)+len(a.AckedEnds) == 0 && s.now.Since(c.pollSince) < hold {
			continue
		}
		c.pollOpen = false
		for _, id := range a.CompleteGangs {
			c.toldComplete[id] = true
		}
		bare := s.emptyPollResponse(c)
		a.Lease, a.StartTimeout, a.Gateways = bare.Lease, bare.StartTimeout, bare.Gateways
		s.replyJSON(c.pollPeer, c.pollID, 200, a)
	}
}

// takeChangedRunners takes the runners to look at, in order.
func (s *Server) takeChangedRunners() []identifier.Runner {
	var list []identifier.Runner
	for n := range s.leader.changedRunners {
		list = append(list, n)
	}
	clear(s.leader.changedRunners)
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (s *Server) collectOrders(n identifier.Runner, c *runnerContact, a *runnerapi.PollResponse) {
	r := s.state.Runners[n]
	if r == nil || r.Incarnation != c.incarnation {
		return
	}
	r.EachLease(func(g *state.Lease) {
		_, over := c.ended[g.ID]
		switch {
		case over:
		case g.RevokeReason != "":
			a.Stops = append(a.Stops, g.ID)
		case !c.running[g.ID] && !c.draining && r.CordonedBy() == "":
			a.Starts = append(a.Starts, runnerapi.Start{Lease: g.ID, Task: g.Task, Demand: g.Demand, ExpectedRun: g.ExpectedRun, GangLease: s.gangLease(g), Attempt: g.Attempt})
		}
	})
	slices.SortFunc(a.Starts, func(x, y runnerapi.Start) int { return cmp.Compare(x.Lease, y.Lease) })
	for id := range c.running {
		if s.state.Leases[id] == nil {
			a.Stops = append(a.Stops, id)
		}
	}
	sortLeases(a.Stops)
}

func (s *Server) replyJSON(peer wire.Peer, id uint64, status int, doc any) {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.reply(peer, id, status, text, 0)
}

func (s *Server) reply(peer wire.Peer, id uint64, status int, body []byte, retry clock.Millis) {
	s.send(peer, wire.Message{Response: &wire.Response{ID: id, Status: status, Body: body, RetryAfter: retry}})
}

func (s *Server) replyError(peer wire.Peer, id uint64, status int, code, why string, retry clock.Millis) {
	s.reply(peer, id, status, jsondoc.ErrorBody{Code: code, Message: why, RetryAfter: retry}.JSON(), retry)
}
