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

type lead struct {
	runners map[identifier.Runner]*contact
	placed  map[identifier.LeaseID]clock.Monotonic
	sure    map[identifier.LeaseID]bool
	swept   clock.Monotonic
	duty    map[string]identifier.Index
	entered map[string]entry
	place   identifier.Index
	losing  map[identifier.Runner]identifier.Index
	doubt   identifier.Index
	moving  identifier.Index
	looked  clock.Monotonic
	raising identifier.Index
	checked clock.Monotonic
	hot     map[identifier.Runner]bool
	line    []turn
	dirty   bool
	planned clock.Monotonic
	clock   clusterClock
	beat    clock.Monotonic
	// rose is when this lead began, enough when five members were last alive.
	rose, enough clock.Monotonic
	// told is when the seeds that are no members were last told of the group.
	told clock.Monotonic
}

// contact is a runner as the leader has it in hand.
type contact struct {
	inc     identifier.Incarnation
	seq     uint64
	heard   clock.Monotonic
	silent  clock.Millis
	known   bool
	drain   bool
	running map[identifier.LeaseID]bool
	// told are the runs that answers to this poll called whole; before, those
	// that answers to the last one did.
	told   map[identifier.LeaseID]bool
	before map[identifier.LeaseID]bool
	ended  map[identifier.LeaseID]runnerapi.End
	open   bool
	peer   wire.Peer
	id     uint64
	since  clock.Monotonic
	facts  identifier.Index
	ends   identifier.Index
	agent  *agentSide
}

// quiet is how long nothing was heard of the runner itself.
func (c *contact) quiet(now clock.Monotonic) clock.Millis {
	return now.Since(c.heard) + c.silent
}

// lapsed tells whether whatever ran there must have outlived its grant. The
// margin covers clocks that drift. An agent's runner holds by its own last
// heartbeat, which the agent tells of while it polls; when the agent is silent
// too, later heartbeats may have been answered, up to the end of its grant.
func (c *contact) lapsed(now clock.Monotonic, grant clock.Millis) bool {
	if c.agent == nil {
		return now.Since(c.heard) > grant+grant/10+1000
	}
	span := grant + grant/20 + 300
	return now.Since(c.heard) > span || c.silent > span
}

// turn is a poll in the line of those that are answered empty in time.
type turn struct {
	runner identifier.Runner
	id     uint64
	since  clock.Monotonic
}

// entry notes when, by this leader's clock, a closing came to its stage.
type entry struct {
	stage state.Stage
	at    clock.Monotonic
}

func (m *Server) rise() {
	l := &lead{runners: map[identifier.Runner]*contact{}, placed: map[identifier.LeaseID]clock.Monotonic{}, sure: map[identifier.LeaseID]bool{},
		duty: map[string]identifier.Index{}, entered: map[string]entry{}, losing: map[identifier.Runner]identifier.Index{}, hot: map[identifier.Runner]bool{}, dirty: true, planned: -planGap, rose: m.now, enough: m.now}
	for _, n := range m.state.RunnerNames() {
		l.runners[n] = &contact{inc: m.state.Runners[n].Incarnation, heard: m.now}
	}
	for id := range m.state.Leases {
		l.placed[id] = m.now
	}
	l.clock = newClusterClock(m.carried(), m.now)
	m.lead = l
	m.reason = map[identifier.JobKey]map[int]string{}
}

// propose puts a command into the log. It is not decided until applied.
func (m *Server) propose(c *state.Command) identifier.Index {
	c.At = m.lead.clock.site(m.now)
	i, ok := m.raft.Propose(c.Encode())
	if !ok {
		panic("keeper: proposal by a machine that does not lead")
	}
	return i
}

// work is everything the leader does after each input.
func (m *Server) work() {
	if !m.leads() {
		return
	}
	m.closings()
	m.plan()
	m.polls()
}

// duties run with the clock alone.
func (m *Server) duties() {
	if !m.leads() {
		return
	}
	l := m.lead
	was := l.clock.agreed
	l.clock.tick(m.now, m.walls())
	if l.clock.agreed != was {
		m.event("clocks", "agree", l.clock.agreed, "siteTime", l.clock.site(m.now))
	}
	m.lapses()
	m.unsure()
	m.doubts()
	m.health()
	m.seats()
	m.report()
	m.raise()
	m.check()
	if at, ok := m.state.NextScheduledStart(); ok && l.clock.site(m.now) >= at || m.now.Since(l.beat) > 10000 {
		l.beat = m.now
		m.propose(&state.Command{})
	}
}

// lapses counts a runner lost when it has been silent for longer than its
// grant can have lasted on its own clock.
func (m *Server) lapses() {
	l := m.lead
	grant := m.state.LeaseSpan()
	for _, n := range m.state.RunnerNames() {
		r, c := m.state.Runners[n], l.runners[n]
		if c == nil || r.Gone || !c.lapsed(m.now, grant) || l.losing[n] > m.at {
			continue
		}
		m.event("runner-lost", "runner", n, "quietMs", c.quiet(m.now))
		l.losing[n] = m.propose(&state.Command{LoseRunner: &state.LoseRunner{Runner: n, Incarnation: r.Incarnation, Checkpoints: m.saves(c)}})
	}
}

// unsure calls back grants whose start nobody confirmed in time.
func (m *Server) unsure() {
	l := m.lead
	span := m.state.Limits.SiteMillis("confirmMs")
	var late []identifier.LeaseID
	for id, at := range l.placed {
		g := m.state.Leases[id]
		switch {
		case g == nil || g.RevokeReason != "" || l.sure[id]:
			delete(l.placed, id)
			if g == nil {
				delete(l.sure, id)
			}
		case m.now.Since(at) > span:
			late = append(late, id)
			delete(l.placed, id)
		}
	}
	m.sweep()
	if len(late) > 0 {
		sortGrants(late)
		m.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeStartUnconfirmed}})
	}
}

// sweep forgets, now and then, that grants which are no more were sure: nobody
// asks for those, and their numbers never come again.
func (m *Server) sweep() {
	l := m.lead
	if m.now.Since(l.swept) < sweepGap {
		return
	}
	l.swept = m.now
	for id := range l.sure {
		if m.state.Leases[id] == nil {
			delete(l.sure, id)
		}
	}
}

// closings moves each closing on as far as the book allows.
func (m *Server) closings() {
	l := m.lead
	for _, id := range m.state.DrainIDs() {
		c := m.state.Drains[id]
		if l.duty[id] > m.at {
			continue
		}
		if l.entered[id].stage != c.Stage {
			l.entered[id] = entry{c.Stage, m.now}
		}
		if c.Stage == state.Open {
			delete(l.duty, id)
			continue
		}
		if step := m.next(c, m.now.Since(l.entered[id].at)); step != nil {
			l.duty[id] = m.propose(&state.Command{AdvanceDrain: step})
		}
	}
}

func (m *Server) next(c *state.Drain, in clock.Millis) *state.AdvanceDrain {
	s := &state.AdvanceDrain{ID: c.ID, From: c.Stage}
	free, loose := m.state.OpenLeases(c)
	switch c.Stage {
	case state.Cordon:
		site, due, all := m.lead.clock.site(m.now), false, true
		for _, n := range c.Scope {
			all = all && m.state.StopDue(c, n, site)
		}
		for _, g := range free {
			due = due || m.state.StopDue(c, g.Runner, site)
		}
		if !due && !all {
			return nil
		}
	case state.Postdrain:
		s.JudgeNow = in > m.patience(c)
		if len(loose) > 0 && !s.JudgeNow && len(free) == 0 {
			return nil
		}
	case state.Closed:
		if len(free) == 0 && len(loose) == c.UnconfirmedStops {
			return nil
		}
	}
	return s
}

// patience is how long post-drain waits for stops before it judges.
func (m *Server) patience(c *state.Drain) clock.Millis {
	if c.Kind == state.KindRack {
		return m.state.Limits.SiteMillis("drainMs")
	}
	return m.state.Limits.SiteMillis("evacMs")
}

// plan places what waits, one round under way at a time.
func (m *Server) plan() {
	l := m.lead
	if !l.dirty || l.place > m.at || m.now.Since(l.planned) < planGap {
		return
	}
	l.dirty, l.planned = false, m.now
	out := scheduler.Schedule(m.state, scheduler.RunnerView{Fresh: m.fresh(), Pace: m.pace}, m.shelf)
	m.reason = out.Reasons
	m.fare(out.Policies)
	if len(out.Preemptions) > 0 {
		m.event("push", "grants", len(out.Preemptions))
		l.place = m.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: out.Preemptions, Reason: state.RevokePreempted}})
	}
	if len(out.Placements) > 0 {
		l.place = m.propose(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: out.Placements}})
	}
}

// fresh gives a test of whether a runner has polled lately under its present
// incarnation and is not on its way out.
func (m *Server) fresh() func(n identifier.Runner) (ok bool) {
	span := 2 * m.state.Limits.SiteMillis("startMs")
	return func(n identifier.Runner) bool {
		c := m.lead.runners[n]
		return c != nil && c.known && !c.drain && c.inc == m.state.Runners[n].Incarnation && c.quiet(m.now) < span && !m.ill(c)
	}
}
