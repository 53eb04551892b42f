// Gangs go on together or not at all. A member lives by word, repeated in the
// answers to its runner's polls, that all of its partners run on runners heard
// lately; without that word its runner ends it. And as soon as one member's
// runner is silent for longer than a few polls, the leader calls the whole
// gang back: suspicion is enough to stop, though not to place anew.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// silence is how many spans of a poll a runner may miss before its partners
// are stopped.
const silence = 3

// gangSpan is how long a member may go on without word: less than a grant, and
// longer than a change of leaders takes.
func (m *Server) gangSpan(g *state.Lease) clock.Millis {
	if m.state.Level < 1 || !spread(g, m.state.Partners(g)) {
		return 0
	}
	return m.state.Limits.SiteMillis("grantMs") * 7 / 10
}

// spread tells whether the grant is a gang member's whose partners hold grants
// on other runners.
func spread(g *state.Lease, partners []*state.Lease) bool {
	for _, p := range partners {
		if p.Runner != g.Runner {
			return true
		}
	}
	return false
}

// runs tells whether a grant is seen running, or ended, on a runner that has
// not missed a poll: word given on older news would outlive a dead partner.
func (m *Server) runs(g *state.Lease) bool {
	c := m.lead.runners[g.Runner]
	if c == nil || !c.known || c.inc != g.Incarnation || g.RevokeReason != "" || c.quiet(m.now) > m.state.Limits.SiteMillis("startMs")*3/2 {
		return false
	}
	_, over := c.ended[g.ID]
	return c.running[g.ID] || over
}

// wholes names the members running here whose partners all run. It says
// whether there is one that the runner has not been told of since it began.
func (m *Server) wholes(c *contact, a *runnerapi.PollResponse) bool {
	var word bool
	for id := range c.running {
		g := m.state.Leases[id]
		if g == nil || g.RevokeReason != "" {
			continue
		}
		partners := m.state.Partners(g)
		whole := spread(g, partners)
		for _, p := range partners {
			whole = whole && m.runs(p)
		}
		if whole {
			a.CompleteGangs = append(a.CompleteGangs, id)
			word = word || !c.told[id]
		}
	}
	sortGrants(a.CompleteGangs)
	return word
}

// doubts calls back the gangs of runners that have been silent for too long.
func (m *Server) doubts() {
	l := m.lead
	if l.doubt > m.at {
		return
	}
	var late []identifier.LeaseID
	span := silence * m.state.Limits.SiteMillis("startMs")
	for n, c := range l.runners {
		r := m.state.Runners[n]
		if r == nil || r.Gone || r.OpenLeases() == 0 || c.quiet(m.now) <= span {
			continue
		}
		for _, id := range r.LeaseIDs() {
			if g := m.state.Leases[id]; g.RevokeReason == "" && spread(g, m.state.Partners(g)) {
				late = append(late, id)
			}
		}
	}
	if len(late) == 0 {
		return
	}
	sortGrants(late)
	m.event("gang-in-doubt", "grants", len(late))
	l.doubt = m.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeGangMemberSilent}})
}
