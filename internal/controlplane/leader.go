// What only a leader has: when each runner was last heard, its open poll, and
// what is under way. None of it is replicated; a new leader starts all timers
// anew, which can only make it wait longer than it must.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

type leaderState struct {
	runners          map[identifier.Runner]*runnerContact
	unconfirmedSince map[identifier.LeaseID]clock.Monotonic
	confirmed        map[identifier.LeaseID]bool
	lastSweep        clock.Monotonic
	drainProposal    map[string]identifier.Index
	stageEntered     map[string]stageEntry
	planProposal     identifier.Index
	lossProposal     map[identifier.Runner]identifier.Index
	gangProposal     identifier.Index
	revokeProposal   identifier.Index
	lastHealthCheck  clock.Monotonic
	levelProposal    identifier.Index
	lastChecksum     clock.Monotonic
	changedRunners   map[identifier.Runner]bool
	openPolls        []openPoll
	needsScheduling  bool
	lastCycle        clock.Monotonic
	clock            clusterClock
	lastTimeEntry    clock.Monotonic
	// since is when this lead began, enough when five members were last alive.
	since, fiveAliveAt clock.Monotonic
	// told is when the seeds that are no members were last told of the group.
	seedsToldAt clock.Monotonic
}

// runnerContact is a runner as the leader has it in hand.
type runnerContact struct {
	incarnation  identifier.Incarnation
	seq          uint64
	lastHeard    clock.Monotonic
	silentBefore clock.Millis
	hasPolled    bool
	draining     bool
	running      map[identifier.LeaseID]bool
	// told are the runs that answers to this poll called whole; before, those
	// that answers to the last one did.
	toldComplete       map[identifier.LeaseID]bool
	toldCompleteBefore map[identifier.LeaseID]bool
	ended              map[identifier.LeaseID]runnerapi.End
	pollOpen           bool
	pollPeer           wire.Peer
	pollID             uint64
	pollSince          clock.Monotonic
	reportProposal     identifier.Index
	endsProposal       identifier.Index
	agent              *agentRunner
}

// silentFor is how long nothing was heard of the runner itself.
func (c *runnerContact) silentFor(now clock.Monotonic) clock.Millis {
	return now.Since(c.lastHeard) + c.silentBefore
}

// leaseLapsed tells whether whatever ran there must have outlived its grant. The
// margin covers clocks that drift. An agent's runner holds by its own last
// heartbeat, which the agent tells of while it polls; when the agent is silent
// too, later heartbeats may have been answered, up to the end of its grant.
func (c *runnerContact) leaseLapsed(now clock.Monotonic, grant clock.Millis) bool {
	if c.agent == nil {
		return now.Since(c.lastHeard) > grant+grant/10+1000
	}
	span := grant + grant/20 + 300
	return now.Since(c.lastHeard) > span || c.silentBefore > span
}

// turn is a poll in the line of those that are answered empty in time.
type openPoll struct {
	runner identifier.Runner
	id     uint64
	since  clock.Monotonic
}

// stageEntry notes when, by this leader's clock, a closing came to its stage.
type stageEntry struct {
	stage state.Stage
	at    clock.Monotonic
}

func (s *Server) becomeLeader() {
	l := &leaderState{runners: map[identifier.Runner]*runnerContact{}, unconfirmedSince: map[identifier.LeaseID]clock.Monotonic{}, confirmed: map[identifier.LeaseID]bool{},
		drainProposal: map[string]identifier.Index{}, stageEntered: map[string]stageEntry{}, lossProposal: map[identifier.Runner]identifier.Index{}, changedRunners: map[identifier.Runner]bool{}, needsScheduling: true, lastCycle: -schedulingInterval, since: s.now, fiveAliveAt: s.now}
	for _, n := range s.state.RunnerNames() {
		l.runners[n] = &runnerContact{incarnation: s.state.Runners[n].Incarnation, lastHeard: s.now}
	}
	for id := range s.state.Leases {
		l.unconfirmedSince[id] = s.now
	}
	l.clock = newClusterClock(s.carriedClusterTime(), s.now)
	s.leader = l
	s.waitReasons = map[identifier.JobKey]map[int]string{}
}

// propose puts a command into the log. It is not decided until applied.
func (s *Server) propose(c *state.Command) identifier.Index {
	c.At = s.leader.clock.timeAt(s.now)
	i, ok := s.raft.Propose(c.Encode())
	if !ok {
		panic("keeper: proposal by a machine that does not lead")
	}
	return i
}

// actAsLeader is everything the leader does after each input.
func (s *Server) actAsLeader() {
	if !s.isActiveLeader() {
		return
	}
	s.advanceDrains()
	s.schedule()
	s.answerPolls()
}

// runPeriodicTasks run with the clock alone.
func (s *Server) runPeriodicTasks() {
	if !s.isActiveLeader() {
		return
	}
	l := s.leader
	was := l.clock.clocksAgree
	l.clock.advance(s.now, s.gatherWallClocks())
	if l.clock.clocksAgree != was {
		s.logEvent("clocks", "agree", l.clock.clocksAgree, "siteTime", l.clock.timeAt(s.now))
	}
	s.loseSilentRunners()
	s.revokeUnconfirmedStarts()
	s.revokeSilentGangs()
	s.revokeUnhealthyRuns()
	s.changeMembership()
	s.announceToSeeds()
	s.raiseLevel()
	s.proposeChecksum()
	if at, ok := s.state.NextScheduledStart(); ok && l.clock.timeAt(s.now) >= at || s.now.Since(l.lastTimeEntry) > 10000 {
		l.lastTimeEntry = s.now
		s.propose(&state.Command{})
	}
}

// loseSilentRunners counts a runner lost when it has been silent for longer than its
// grant can have lasted on its own clock.
func (s *Server) loseSilentRunners() {
	l := s.leader
	grant := s.state.LeaseSpan()
	for _, n := range s.state.RunnerNames() {
		r, c := s.state.Runners[n], l.runners[n]
		if c == nil || r.Gone || !c.leaseLapsed(s.now, grant) || l.lossProposal[n] > s.appliedIndex {
			continue
		}
		s.logEvent("runner-lost", "runner", n, "quietMs", c.silentFor(s.now))
		l.lossProposal[n] = s.propose(&state.Command{LoseRunner: &state.LoseRunner{Runner: n, Incarnation: r.Incarnation, Checkpoints: s.checkpoints(c)}})
	}
}

// unsure calls back grants whose start nobody confirmed in time.
func (s *Server) revokeUnconfirmedStarts() {
	l := s.leader
	span := s.state.Limits.SiteMillis("confirmMs")
	var late []identifier.LeaseID
	for id, at := range l.unconfirmedSince {
		g := s.state.Leases[id]
		switch {
		case g == nil || g.RevokeReason != "" || l.confirmed[id]:
			delete(l.unconfirmedSince, id)
			if g == nil {
				delete(l.confirmed, id)
			}
		case s.now.Since(at) > span:
			late = append(late, id)
			delete(l.unconfirmedSince, id)
		}
	}
	s.forgetClosedLeases()
	if len(late) > 0 {
		sortLeases(late)
		s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeStartUnconfirmed}})
	}
}

// forgetClosedLeases forgets, now and then, that grants which are no more were sure: nobody
// asks for those, and their numbers never come again.
func (s *Server) forgetClosedLeases() {
	l := s.leader
	if s.now.Since(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = s.now
	for id := range l.confirmed {
		if s.state.Leases[id] == nil {
			delete(l.confirmed, id)
		}
	}
}

// advanceDrains moves each closing on as far as the book allows.
func (s *Server) advanceDrains() {
	l := s.leader
	for _, id := range s.state.DrainIDs() {
		c := s.state.Drains[id]
		if l.drainProposal[id] > s.appliedIndex {
			continue
		}
		if l.stageEntered[id].stage != c.Stage {
			l.stageEntered[id] = stageEntry{c.Stage, s.now}
		}
		if c.Stage == state.Open {
			delete(l.drainProposal, id)
			continue
		}
		if step := s.nextDrainStep(c, s.now.Since(l.stageEntered[id].at)); step != nil {
			l.drainProposal[id] = s.propose(&state.Command{AdvanceDrain: step})
		}
	}
}

func (s *Server) nextDrainStep(c *state.Drain, in clock.Millis) *state.AdvanceDrain {
	step := &state.AdvanceDrain{ID: c.ID, From: c.Stage}
	free, loose := s.state.OpenLeases(c)
	switch c.Stage {
	case state.Cordon:
		site, due, all := s.leader.clock.timeAt(s.now), false, true
		for _, n := range c.Scope {
			all = all && s.state.StopDue(c, n, site)
		}
		for _, g := range free {
			due = due || s.state.StopDue(c, g.Runner, site)
		}
		if !due && !all {
			return nil
		}
	case state.Postdrain:
		step.JudgeNow = in > s.stopTimeout(c)
		if len(loose) > 0 && !step.JudgeNow && len(free) == 0 {
			return nil
		}
	case state.Closed:
		if len(free) == 0 && len(loose) == c.UnconfirmedStops {
			return nil
		}
	}
	return step
}

// stopTimeout is how long post-drain waits for stops before it judges.
func (s *Server) stopTimeout(c *state.Drain) clock.Millis {
	if c.Kind == state.KindRack {
		return s.state.Limits.SiteMillis("drainMs")
	}
	return s.state.Limits.SiteMillis("evacMs")
}

// schedule places what waits, one round under way at a time.
func (s *Server) schedule() {
	l := s.leader
	if !l.needsScheduling || l.planProposal > s.appliedIndex || s.now.Since(l.lastCycle) < schedulingInterval {
		return
	}
	l.needsScheduling, l.lastCycle = false, s.now
	out := scheduler.Schedule(s.state, scheduler.RunnerView{Fresh: s.schedulable(), Pace: s.workRate}, s.policyCache)
	s.waitReasons = out.Reasons
	s.recordPolicyResults(out.Policies)
	if len(out.Preemptions) > 0 {
		s.logEvent("push", "grants", len(out.Preemptions))
		l.planProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: out.Preemptions, Reason: state.RevokePreempted}})
	}
	if len(out.Placements) > 0 {
		l.planProposal = s.propose(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: out.Placements}})
	}
}

// schedulable gives a test of whether a runner has polled lately under its present
// incarnation and is not on its way out.
func (s *Server) schedulable() func(n identifier.Runner) (ok bool) {
	span := 2 * s.state.Limits.SiteMillis("startMs")
	return func(n identifier.Runner) bool {
		c := s.leader.runners[n]
		return c != nil && c.hasPolled && !c.draining && c.incarnation == s.state.Runners[n].Incarnation && c.silentFor(s.now) < span && !s.quarantined(c)
	}
}
