// Runners are judged by what their tasks do. The leader watches how far each run
// says it is: one that stands still is called back, with its saved progress, and
// its runner gets no work for a while; a runner on which work goes slowly comes
// last. All of it is evidence of this leader alone; the next one gathers its own.
package keeper

import (
	"orchidward/book"
	"orchidward/ids"
	"orchidward/poll"
)

// pace is how a run has come along: how far it was when first seen and when it
// last moved, and how long it had stood still at the last poll.
type pace struct {
	from    int64
	percent int64
	at      ids.Mono
	still   ids.Span
}

const (
	healthGap = 100
	// stillLeast is the least time without a move that is held against a run.
	stillLeast = 600
	// restoring is how long a run may take to find its saved progress.
	restoring = 800
	illSpan   = 6000
	// mostMoves bounds the runs called back at once.
	mostMoves = 16
)

// progress takes what a run says of itself.
func (m *Machine) progress(a *agentSide, id ids.Grant, s poll.RunState) {
	p, g := a.paces[id], m.book.Grants[id]
	if g == nil {
		return
	}
	if p == nil {
		a.paces[id] = &pace{from: s.Percent, percent: s.Percent, at: m.now, still: s.Still}
		return
	}
	p.still = s.Still
	if s.Percent == p.percent {
		return
	}
	if span := m.now.Since(p.at); span >= 200 && p.percent > p.from && s.Percent < whole {
		rate := min((s.Percent-p.percent)*int64(g.Run)*10/int64(span), 3000)
		a.rate = (a.rate*7 + rate) / 8
	}
	p.percent, p.at = s.Percent, m.now
}

// whole is what a run says once it has taken as long as was estimated; past
// that it says no more.
const whole = 99

// still tells whether a run has not moved for longer than any sound one would,
// a slow one included: a hundredth of a slow run is some hundredths of its span.
func (m *Machine) still(c *contact, p *pace, g *book.Grant) (yes bool) {
	j := m.book.Jobs[g.Ref.Job]
	st := j.Spec.Steps[g.Ref.Step]
	span := stillLeast + g.Run/8
	switch {
	case p.still == 0 || st.Lasting:
		return false
	case p.percent >= whole:
		span = 2 * (stillLeast + g.Run)
	case p.percent == p.from && j.Task(g.Ref).Saved != "":
		span += restoring
	}
	if p.percent == 0 && st.Gang && !m.gathered(g) {
		return false
	}
	return p.still+m.now.Since(c.heard) > span
}

// gathered tells whether all members of a run's gang are there.
func (m *Machine) gathered(g *book.Grant) (yes bool) {
	for _, p := range m.book.Partners(g) {
		c := m.lead.runners[p.Runner]
		if c == nil || !c.running[p.ID] {
			return false
		}
	}
	return true
}

// health calls back what stands still.
func (m *Machine) health() {
	l := m.lead
	if l.moving > m.at || m.now.Since(l.looked) < healthGap {
		return
	}
	l.looked = m.now
	var late []ids.Grant
	for _, n := range m.book.RunnerNames() {
		c := l.runners[n]
		if c == nil || c.agent == nil || c.silent > 400 || m.now.Since(c.heard) > 1000 {
			continue
		}
		for _, id := range m.book.Runners[n].GrantIDs() {
			p, g := c.agent.paces[id], m.book.Grants[id]
			if p == nil || g.Stop != "" || len(late) >= mostMoves || !m.still(c, p, g) {
				continue
			}
			late = append(late, id)
			c.agent.ill = m.now.Add(illSpan)
			m.event("stands-still", "runner", n, "task", g.Ref, "run", g.No, "percent", p.percent)
		}
	}
	if never := m.never(); len(never) > 0 {
		l.moving = m.propose(&book.Cmd{Recall: &book.Recall{Grants: never, Why: book.StopLate}})
	}
	if len(late) > 0 {
		sortGrants(late)
		l.moving = m.propose(&book.Cmd{Recall: &book.Recall{Grants: late, Why: book.StopStill}})
	}
}

// never lists what was placed on agents' runners that are leaving or closed and
// has not begun there, and so never will.
func (m *Machine) never() (list []ids.Grant) {
	for _, n := range m.book.RunnerNames() {
		c, r := m.lead.runners[n], m.book.Runners[n]
		if c == nil || c.agent == nil || !c.known || r.Inc != c.inc || !c.drain && r.Fence() == "" {
			continue
		}
		for _, id := range r.GrantIDs() {
			if _, over := c.ended[id]; !over && !c.running[id] && m.book.Grants[id].Stop == "" {
				list = append(list, id)
			}
		}
	}
	return list
}

// ill tells whether nothing should be placed on a runner for now.
func (m *Machine) ill(c *contact) (yes bool) { return c.agent != nil && m.now < c.agent.ill }

// pace is how fast work goes on a runner, in thousandths of its estimates.
func (m *Machine) pace(n ids.Runner) (rate int64) {
	if c := m.lead.runners[n]; c != nil && c.agent != nil {
		return c.agent.rate
	}
	return 1000
}
