// Runners are judged by what their tasks do. The leader watches how far each run
// says it is: one that stands still is called back, with its saved progress, and
// its runner gets no work for a while; a runner on which work goes slowly comes
// last. All of it is evidence of this leader alone; the next one gathers its own.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// pace is how a run has come along: how far it was when first seen and when it
// is now, and how long it had stood still at the last poll.
type pace struct {
	from    int64
	percent int64
	still   clock.Millis
	// rate is how fast it goes, in thousandths of its estimate; 0 for unknown.
	rate int64
}

const (
	healthGap = 100
	// stillLeast is what leastStill is for a run of no span.
	stillLeast = 600
	// restoring is how long a run may take to find its saved progress.
	restoring = 800
	illSpan   = 6000
	// slowRate is the rate under which a runner is slow, in thousandths: below
	// what a wrong estimate, a far rack and an old machine come to together.
	slowRate = 350
	// forgotten is how long a rate counts without new evidence.
	forgotten = 4000
	// moveCost is what moving a run takes at the least, and what must be gained.
	moveCost = 400
	// mostMoves bounds the runs called back at once.
	mostMoves = 16
)

// progress takes what a run says of itself.
func (m *Server) progress(a *agentSide, h *held, s runnerapi.RunState) {
	p, g := h.pace, m.state.Leases[h.id]
	if g == nil {
		return
	}
	if s.StalledFor > 0 {
		a.doubt = min(a.doubt, m.now.Add(leastStill(g)-s.StalledFor))
	}
	if p == nil {
		h.pace = &pace{from: s.ProgressPercent, percent: s.ProgressPercent, still: s.StalledFor}
		return
	}
	p.still, p.percent = s.StalledFor, s.ProgressPercent
	if p.rate = s.ProgressRate * int64(g.ExpectedRun) / 1000; s.ProgressPercent >= whole {
		p.rate = 0
	}
}

// rated takes the rate of a runner from those of its runs that tell one. Members
// of a gang that stands on several runners go as fast as the slowest of them,
// and say nothing of their own. Old evidence is forgotten.
func (m *Server) rated(a *agentSide) {
	sum, n := int64(0), int64(0)
	for id, h := range a.runs {
		p, g := h.pace, m.state.Leases[id]
		if p != nil && p.rate > 0 && g != nil && !spread(g, m.state.Partners(g)) {
			sum += min(p.rate, 2000)
			n++
		}
	}
	switch {
	case n > 0:
		a.rate, a.rated = sum/n, m.now
	case m.now.Since(a.rated) > forgotten:
		a.rate = 1000
	}
}

// whole is what a run says once it has taken as long as was estimated; past
// that it says no more.
const whole = 99

// leastStill is the least time without a move that is held against a run.
func leastStill(g *state.Lease) clock.Millis { return stillLeast + g.ExpectedRun/8 }

// still tells whether a run has not moved for longer than any sound one would,
// a slow one included: a hundredth of a slow run is some hundredths of its span.
func (m *Server) still(c *contact, p *pace, g *state.Lease) bool {
	j := m.state.Jobs[g.Task.Job]
	st := j.Spec.Steps[g.Task.Step]
	span := leastStill(g)
	switch {
	case p.still == 0 || st.Service:
		return false
	case p.percent >= whole:
		span = 2 * (stillLeast + g.ExpectedRun)
	case p.percent == p.from && j.Task(g.Task).Checkpoint != "":
		span += restoring
	}
	if p.percent == 0 && st.Gang && !m.gathered(g) {
		return false
	}
	return p.still+m.now.Since(c.heard) > span
}

// gathered tells whether all members of a run's gang are there.
func (m *Server) gathered(g *state.Lease) bool {
	for _, p := range m.state.Partners(g) {
		c := m.lead.runners[p.Runner]
		if c == nil || !c.running[p.ID] {
			return false
		}
	}
	return true
}

// health calls back what stands still.
func (m *Server) health() {
	l := m.lead
	if l.moving > m.at || m.now.Since(l.looked) < healthGap {
		return
	}
	l.looked = m.now
	var late, slow []identifier.LeaseID
	room := map[identifier.Runner]job.Demand{}
	for _, n := range m.state.RunnerNames() {
		c := l.runners[n]
		if c == nil || c.agent == nil || c.silent > 400 || m.now.Since(c.heard) > 1000 {
			continue
		}
		if m.now <= c.agent.doubt && c.agent.rate >= slowRate {
			continue
		}
		for _, id := range m.state.Runners[n].LeaseIDs() {
			h, g := c.agent.runs[id], m.state.Leases[id]
			if h == nil || h.pace == nil || g.RevokeReason != "" || len(late)+len(slow) >= mostMoves {
				continue
			}
			if !m.still(c, h.pace, g) {
				if m.slower(c, h.pace, g) && m.roomElsewhere(n, g, room) {
					slow = append(slow, id)
				}
				continue
			}
			late = append(late, id)
			c.agent.ill = m.now.Add(illSpan)
			m.event("stands-still", "runner", n, "task", g.Task, "run", g.Attempt, "percent", h.pace.percent)
		}
	}
	if len(slow) > 0 {
		sortGrants(slow)
		m.event("slow", "grants", len(slow))
		l.moving = m.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: slow, Reason: state.RevokeSlow}})
	}
	if never := m.never(); len(never) > 0 {
		l.moving = m.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: never, Reason: state.RevokeStartUnconfirmed}})
	}
	if len(late) > 0 {
		sortGrants(late)
		l.moving = m.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeStalled}})
	}
}

// slower tells whether a run on a slow runner would be done sooner if it began
// elsewhere, with what progress is saved.
func (m *Server) slower(c *contact, p *pace, g *state.Lease) bool {
	st := m.state.Jobs[g.Task.Job].Spec.Steps[g.Task.Step]
	if c.agent.rate >= slowRate || p.rate == 0 || p.rate >= slowRate || st.Service || p.percent >= whole {
		return false
	}
	left := g.ExpectedRun * clock.Millis(100-p.percent) / 100
	here, there := left*1000/clock.Millis(p.rate), g.ExpectedRun
	if st.Checkpoints {
		there = min(there, left+restoring)
	}
	return here > there+there/4+moveCost
}

// roomElsewhere takes room for a run, or for its whole gang, on other runners of
// the pool that are well; room is what was taken before.
func (m *Server) roomElsewhere(from identifier.Runner, g *state.Lease, room map[identifier.Runner]job.Demand) bool {
	need := 1 + len(m.state.Partners(g))
	pool, fresh := m.state.Runners[from].Pool, m.fresh()
	var at []identifier.Runner
	for _, n := range m.state.RunnerNames() {
		r, c := m.state.Runners[n], m.lead.runners[n]
		if n == from || r.Pool != pool || r.Gone || r.CordonedBy() != "" || c == nil || c.agent == nil || c.agent.rate < slowRate || !fresh(n) {
			continue
		}
		free := r.Free().Minus(room[n])
		for need > len(at) && g.Demand.Fits(free) {
			free = free.Minus(g.Demand)
			at = append(at, n)
		}
	}
	if len(at) < need {
		return false
	}
	for _, n := range at {
		room[n] = room[n].Plus(g.Demand)
	}
	return true
}

// never lists what was placed on agents' runners that are leaving or closed and
// has not begun there, and so never will.
func (m *Server) never() []identifier.LeaseID {
	var list []identifier.LeaseID
	for _, n := range m.state.RunnerNames() {
		c, r := m.lead.runners[n], m.state.Runners[n]
		if c == nil || c.agent == nil || !c.known || r.Incarnation != c.inc || !c.drain && r.CordonedBy() == "" {
			continue
		}
		for _, id := range r.LeaseIDs() {
			if _, over := c.ended[id]; !over && !c.running[id] && m.state.Leases[id].RevokeReason == "" {
				list = append(list, id)
			}
		}
	}
	return list
}

// ill tells whether nothing should be placed on a runner for now.
func (m *Server) ill(c *contact) bool { return c.agent != nil && m.now < c.agent.ill }

// pace is how fast work goes on a runner, in thousandths of its estimates.
func (m *Server) pace(n identifier.Runner) int64 {
	if c := m.lead.runners[n]; c != nil && c.agent != nil {
		return c.agent.rate
	}
	return 1000
}
