// Runners are judged by what their tasks do. The leader watches how far each run
// says it is: one that stands still is called back, with its saved progress,
// and so is one that goes so slowly that it would be done sooner elsewhere. A
// runner on which work stands still gets none for a while. All of it is
// evidence of this leader alone; the next one gathers its own.
package keeper

import (
	"orchidward/book"
	"orchidward/ids"
)

// pace is how a run has come along.
type pace struct {
	percent int64
	moved   ids.Mono
	began   ids.Mono
	from    int64
	at      ids.Mono
}

const (
	healthGap  = 100
	stillLeast = 1500
	illSpan    = 6000
	// slowRate is the rate, in thousandths, under which a runner is slow.
	slowRate = 400
	// mostMoves bounds the runs called back at once.
	mostMoves = 16
)

// progress takes what a run says of itself.
func (m *Machine) progress(a *agentSide, id ids.Grant, percent int64) {
	p, g := a.paces[id], m.book.Grants[id]
	if g == nil {
		return
	}
	if p == nil {
		a.paces[id] = &pace{percent: percent, moved: m.now, began: m.now, from: percent, at: m.now}
		return
	}
	if percent != p.percent {
		if span := m.now.Since(p.at); span >= 200 && p.percent > p.from {
			rate := min((percent-p.percent)*int64(g.Run)*10/int64(span), 3000)
			a.rate = (a.rate*7 + rate) / 8
		}
		p.percent, p.moved = percent, m.now
		p.at = m.now
	}
}

// still tells whether a run has not moved for longer than any sound one would.
func (m *Machine) still(p *pace, g *book.Grant) (yes bool) {
	span := max(stillLeast, g.Run/6)
	st := m.book.Jobs[g.Ref.Job].Spec.Steps[g.Ref.Step]
	if st.Lasting {
		return false
	}
	if st.Gang && p.percent == p.from {
		span += 3000
	}
	return m.now.Since(p.moved) > span
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
		if c == nil || c.agent == nil || c.quiet(m.now) > 1000 {
			continue
		}
		for _, id := range m.book.Runners[n].GrantIDs() {
			p, g := c.agent.paces[id], m.book.Grants[id]
			if p == nil || g.Stop != "" || len(late) >= mostMoves || !m.still(p, g) {
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
