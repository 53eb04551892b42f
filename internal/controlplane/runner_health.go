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
type runProgress struct {
	firstPercent int64
	percent      int64
	stalledFor   clock.Millis
	// workRate is how fast it goes, in thousandths of its estimate; 0 for unknown.
	rate int64
}

const (
	healthCheckInterval = 100
	// minStall is what stallLimit is for a run of no span.
	minStall = 600
	// restoreTime is how long a run may take to find its saved progress.
	restoreTime    = 800
	quarantineTime = 6000
	// slowRate is the rate under which a runner is slow, in thousandths: below
	// what a wrong estimate, a far rack and an old machine come to together.
	slowRate = 350
	// workRateLife is how long a rate counts without new evidence.
	workRateLife = 4000
	// minMoveGain is what moving a run takes at the least, and what must be gained.
	minMoveGain = 400
	// maxRevocations bounds the runs called back at once.
	maxRevocations = 16
)

// recordProgress takes what a run says of itself.
func (s *Server) recordProgress(a *agentRunner, h *agentRun, reported runnerapi.RunState) {
	p, g := h.progress, s.state.Leases[h.lease]
	if g == nil {
		return
	}
	if reported.StalledFor > 0 {
		a.noStallBefore = min(a.noStallBefore, s.now.Add(stallLimit(g)-reported.StalledFor))
	}
	if p == nil {
		h.progress = &runProgress{firstPercent: reported.ProgressPercent, percent: reported.ProgressPercent, stalledFor: reported.StalledFor}
		return
	}
	p.stalledFor, p.percent = reported.StalledFor, reported.ProgressPercent
	if p.rate = reported.ProgressRate * int64(g.ExpectedRun) / 1000; reported.ProgressPercent >= fullEstimate {
		p.rate = 0
	}
}

// rated takes the rate of a runner from those of its runs that tell one. Members
// of a gang that stands on several runners go as fast as the slowest of them,
// and say nothing of their own. Old evidence is forgotten.
func (s *Server) updateWorkRate(a *agentRunner) {
	sum, n := int64(0), int64(0)
	for id, h := range a.runs {
		p, g := h.progress, s.state.Leases[id]
		if p != nil && p.rate > 0 && g != nil && !spansRunners(g, s.state.Partners(g)) {
			sum += min(p.rate, 2000)
			n++
		}
	}
	switch {
	case n > 0:
		a.workRate, a.workRateAt = sum/n, s.now
	case s.now.Since(a.workRateAt) > workRateLife:
		a.workRate = 1000
	}
}

// whole is what a run says once it has taken as long as was estimated; past
// that it says no more.
const fullEstimate = 99

// stallLimit is the least time without a move that is held against a run.
func stallLimit(g *state.Lease) clock.Millis { return minStall + g.ExpectedRun/8 }

// still tells whether a run has not moved for longer than any sound one would,
// a slow one included: a hundredth of a slow run is some hundredths of its span.
func (s *Server) stalled(c *runnerContact, p *runProgress, g *state.Lease) bool {
	j := s.state.Jobs[g.Task.Job]
	st := j.Spec.Steps[g.Task.Step]
	span := stallLimit(g)
	switch {
	case p.stalledFor == 0 || st.Service:
		return false
	case p.percent >= fullEstimate:
		span = 2 * (minStall + g.ExpectedRun)
	case p.percent == p.firstPercent && j.Task(g.Task).Checkpoint != "":
		span += restoreTime
	}
	if p.percent == 0 && st.Gang && !s.gangAssembled(g) {
		return false
	}
	return p.stalledFor+s.now.Since(c.lastHeard) > span
}

// gangAssembled tells whether all members of a run's gang are there.
func (s *Server) gangAssembled(g *state.Lease) bool {
	for _, p := range s.state.Partners(g) {
		c := s.leader.runners[p.Runner]
		if c == nil || !c.running[p.ID] {
			return false
		}
	}
	return true
}

// revokeUnhealthyRuns calls back what stands still.
func (s *Server) revokeUnhealthyRuns() {
	l := s.leader
	if l.revokeProposal > s.appliedIndex || s.now.Since(l.lastHealthCheck) < healthCheckInterval {
		return
	}
	l.lastHealthCheck = s.now
	var late, slow []identifier.LeaseID
	room := map[identifier.Runner]job.Demand{}
	for _, n := range s.state.RunnerNames() {
		c := l.runners[n]
		if c == nil || c.agent == nil || c.silentBefore > 400 || s.now.Since(c.lastHeard) > 1000 {
			continue
		}
		if s.now <= c.agent.noStallBefore && c.agent.workRate >= slowRate {
			continue
		}
		for _, id := range s.state.Runners[n].LeaseIDs() {
			h, g := c.agent.runs[id], s.state.Leases[id]
			if h == nil || h.progress == nil || g.RevokeReason != "" || len(late)+len(slow) >= maxRevocations {
				continue
			}
			if !s.stalled(c, h.progress, g) {
				if s.fasterElsewhere(c, h.progress, g) && s.reserveElsewhere(n, g, room) {
					slow = append(slow, id)
				}
				continue
			}
			late = append(late, id)
			c.agent.quarantinedUntil = s.now.Add(quarantineTime)
			s.logEvent("stands-still", "runner", n, "task", g.Task, "run", g.Attempt, "percent", h.progress.percent)
		}
	}
	if len(slow) > 0 {
		sortLeases(slow)
		s.logEvent("slow", "grants", len(slow))
		l.revokeProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: slow, Reason: state.RevokeSlow}})
	}
	if never := s.neverStarted(); len(never) > 0 {
		l.revokeProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: never, Reason: state.RevokeStartUnconfirmed}})
	}
	if len(late) > 0 {
		sortLeases(late)
		l.revokeProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: late, Reason: state.RevokeStalled}})
	}
}

// fasterElsewhere tells whether a run on a slow runner would be done sooner if it began
// elsewhere, with what progress is saved.
func (s *Server) fasterElsewhere(c *runnerContact, p *runProgress, g *state.Lease) bool {
	st := s.state.Jobs[g.Task.Job].Spec.Steps[g.Task.Step]
	if c.agent.workRate >= slowRate || p.rate == 0 || p.rate >= slowRate || st.Service || p.percent >= fullEstimate {
		return false
	}
	left := g.ExpectedRun * clock.Millis(100-p.percent) / 100
	here, there := left*1000/clock.Millis(p.rate), g.ExpectedRun
	if st.Checkpoints {
		there = min(there, left+restoreTime)
	}
	return here > there+there/4+minMoveGain
}

// reserveElsewhere takes room for a run, or for its whole gang, on other runners of
// the pool that are well; room is what was taken before.
func (s *Server) reserveElsewhere(from identifier.Runner, g *state.Lease, room map[identifier.Runner]job.Demand) bool {
	need := 1 + len(s.state.Partners(g))
	pool, fresh := s.state.Runners[from].Pool, s.schedulable()
	var at []identifier.Runner
	for _, n := range s.state.RunnerNames() {
		r, c := s.state.Runners[n], s.leader.runners[n]
		if n == from || r.Pool != pool || r.Gone || r.CordonedBy() != "" || c == nil || c.agent == nil || c.agent.workRate < slowRate || !fresh(n) {
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

// neverStarted lists what was placed on agents' runners that are leaving or closed and
// has not begun there, and so never will.
func (s *Server) neverStarted() []identifier.LeaseID {
	var list []identifier.LeaseID
	for _, n := range s.state.RunnerNames() {
		c, r := s.leader.runners[n], s.state.Runners[n]
		if c == nil || c.agent == nil || !c.hasPolled || r.Incarnation != c.incarnation || !c.draining && r.CordonedBy() == "" {
			continue
		}
		for _, id := range r.LeaseIDs() {
			if _, over := c.ended[id]; !over && !c.running[id] && s.state.Leases[id].RevokeReason == "" {
				list = append(list, id)
			}
		}
	}
	return list
}

// ill tells whether nothing should be placed on a runner for now.
func (s *Server) quarantined(c *runnerContact) bool {
	return c.agent != nil && s.now < c.agent.quarantinedUntil
}

// pace is how fast work goes on a runner, in thousandths of its estimates.
func (s *Server) workRate(n identifier.Runner) int64 {
	if c := s.leader.runners[n]; c != nil && c.agent != nil {
		return c.agent.workRate
	}
	return 1000
}
