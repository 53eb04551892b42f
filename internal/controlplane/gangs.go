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

// silentGangPolls is how many spans of a poll a runner may miss before its partners
// are stopped.
const silentGangPolls = 3

// gangLease is how long a member may go on without word: less than a grant, and
// longer than a change of leaders takes.
func (s *Server) gangLease(g *state.Lease) clock.Millis {
	if s.state.Level < 1 || !spansRunners(g, s.state.Partners(g)) {
		return 0
	}
	return s.state.Limits.SiteMillis("grantMs") * 7 / 10
}

// spansRunners tells whether the grant is a gang member's whose partners hold grants
// on other runners.
func spansRunners(g *state.Lease, partners []*state.Lease) bool {
	for _, p := range partners {
		if p.Runner != g.Runner {
			return true
		}
	}
	return false
}

// memberRunning tells whether a grant is seen running, or ended, on a runner that has
// not missed a poll: word given on older news would outlive a dead partner.
func (s *Server) memberRunning(g *state.Lease) bool {
	c := s.leader.runners[g.Runner]
	if c == nil || !c.hasPolled || c.incarnation != g.Incarnation || g.RevokeReason != "" || c.silentFor(s.now) > s.state.Limits.SiteMillis("startMs")*3/2 {
		return false
	}
	_, over := c.ended[g.ID]
	return c.running[g.ID] || over
}

// collectCompleteGangs names the members running here whose partners all run. It says
// whether there is one that the runner has not been told of since it began.
func (s *Server) collectCompleteGangs(c *runnerContact, a *runnerapi.PollResponse) bool {
	var word bool
	for id := range c.running {
		g := s.state.Leases[id]
		if g == nil || g.RevokeReason != "" {
			continue
		}
		partners := s.state.Partners(g)
		whole := spansRunners(g, partners)
		for _, p := range partners {
			whole = whole && s.memberRunning(p)
		}
		if whole {
			a.CompleteGangs = append(a.CompleteGangs, id)
			word = word || !c.toldComplete[id]
		}
	}
	sortLeases(a.CompleteGangs)
	return word
}

// revokeSilentGangs calls back the gangs of runners that have been silent for too long.
func (s *Server) revokeSilentGangs() {
	l := s.leader
	if l.gangProposal > s.appliedIndex {
		return
	}
	var late []identifier.LeaseID
	span := silentGangPolls * s.state.Limits.SiteMillis("startMs")
	for n, c := range l.runners {
		r := s.state.Runners[n]
		if r == nil || r.Gone || r.OpenLeases() == 0 || c.silentFor(s.now) <= span {
			continue
		}
		for _, id := range r.LeaseIDs() {
			if g := s.state.Leases[id]; g.RevokeReason == "" && spansRunners(g, s.state.Partners(g)) {
				late = append(late, id)
			}
		}
	}
	if len(late) == 0 {
		return
	}
	sortLeases(late)
	s.logEvent("gang-in-doubt", "grants", len(late))
	l.gangProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeGangMemberSilent}})
}
