package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/state"
)

// Runners are judged by what their tasks do. The leader watches how far each attempt
// says it is (run_progress.go): one that stalls is revoked, with its checkpoint, and its runner is
// quarantined for a while; a runner on which work goes slowly comes last. All of it is
// evidence of this leader alone; the next one gathers its own.

const (
	// healthCheckInterval is how often attempts are judged.
	healthCheckInterval clock.Millis = 100
	// minStall is the stall limit of an attempt without an expected duration.
	minStall clock.Millis = 600
	// restoreTime is how long an attempt may take to restore its checkpoint.
	restoreTime clock.Millis = 800
	// quarantineTime is how long a runner gets no work after an attempt stalled.
	quarantineTime clock.Millis = 6000
	// slowWorkRate is the work rate below which a runner is slow, in thousandths of the
	// nominal one.
	slowWorkRate = 400
	// minMoveGain is what moving an attempt costs at least, and what must be gained.
	minMoveGain clock.Millis = 400
	// maxRevocations bounds the attempts revoked at once.
	maxRevocations = 16
	// Attempts are judged on fresh reports only: the agent must have been heard within
	// maxReportAge, and have heard its runner within maxReportSilence.
	maxReportAge     clock.Millis = 1000
	maxReportSilence clock.Millis = 400
)

// quarantined reports whether nothing should be placed on a runner for now.
func (s *Server) quarantined(contact *runnerContact) bool {
	return contact.agent != nil && s.now < contact.agent.quarantinedUntil
}

// stallLimit is the least time without progress that is held against an attempt.
func (s *Server) stallLimit(lease *state.Lease) clock.Millis {
	run, _ := s.predictedRun(lease)
	return minStall + run/8
}

// stalled reports whether an attempt has made no progress for longer than any sound one
// would, a slow one included: one percent of a slow attempt takes some percent of its
// expected duration.
func (s *Server) stalled(c *runnerContact, p *runProgress, lease *state.Lease) bool {
	j := s.state.Jobs[lease.Task.Job]
	step := j.Spec.Steps[lease.Task.Step]
	span := max(s.stallLimit(lease), minStall+p.wholeRun()/8)
	switch {
	case p.stalledFor == 0 || step.Service:
		return false
	case p.percent >= completePercent:
		run, _ := s.predictedRun(lease)
		span = 2 * (minStall + run)
	case p.percent == p.firstPercent && j.Task(lease.Task).Checkpoint != "":
		span += restoreTime
	}
	if p.percent == 0 && step.Gang && !s.gangAssembled(lease) {
		return false
	}
	return p.stalledFor+s.now.Since(c.lastHeard) > span
}

// gangAssembled reports whether all members of an attempt's gang run.
func (s *Server) gangAssembled(lease *state.Lease) bool {
	for _, partner := range s.state.Partners(lease) {
		contact := s.leader.runners[partner.Runner]
		if contact == nil || !contact.running[partner.ID] {
			return false
		}
	}
	return true
}

// unhealthyRuns are the leases to revoke after one check.
type unhealthyRuns struct {
	stalled []identifier.LeaseID
	slow    []identifier.LeaseID
	// reserved is the capacity that the slow ones would take on other runners.
	reserved map[identifier.Runner]job.Demand
}

func (u *unhealthyRuns) full() bool { return len(u.stalled)+len(u.slow) >= maxRevocations }

// revokeUnhealthyRuns revokes attempts that stall, that would be done sooner elsewhere,
// or that will never start.
func (s *Server) revokeUnhealthyRuns() {
	l := s.leader
	if l.revokeProposal > s.appliedIndex || s.now.Since(l.lastHealthCheck) < healthCheckInterval {
		return
	}
	l.lastHealthCheck = s.now
	s.updateCommonRate()
	found := &unhealthyRuns{reserved: map[identifier.Runner]job.Demand{}}
	for _, name := range s.state.RunnerNames() {
		if c := l.runners[name]; s.worthChecking(c) {
			s.checkRuns(name, c, found)
		}
	}
	if len(found.slow) > 0 {
		slices.Sort(found.slow)
		s.logEvent("runs-slow", "leases", len(found.slow))
		s.revokeRuns(found.slow, state.RevokeSlow)
	}
	if never := s.neverStarted(); len(never) > 0 {
		s.revokeRuns(never, state.RevokeStartUnconfirmed)
	}
	if len(found.stalled) > 0 {
		slices.Sort(found.stalled)
		s.revokeRuns(found.stalled, state.RevokeStalled)
	}
}

func (s *Server) revokeRuns(leases []identifier.LeaseID, reason string) {
	s.leader.revokeProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: leases, Reason: reason}})
}

// worthChecking reports whether the attempts on a runner can be judged, and whether one of
// them can be unhealthy at all.
func (s *Server) worthChecking(contact *runnerContact) bool {
	if contact == nil || contact.agent == nil || contact.silentBefore > maxReportSilence || s.now.Since(contact.lastHeard) > maxReportAge {
		return false
	}
	return s.now > contact.agent.noStallBefore || contact.agent.workRate < slowWorkRate
}

// checkRuns judges the attempts on one runner.
func (s *Server) checkRuns(name identifier.Runner, contact *runnerContact, found *unhealthyRuns) {
	for _, id := range s.state.Runners[name].LeaseIDs() {
		run := contact.agent.runs[id]
		lease := s.state.Leases[id]
		if run == nil || run.progress == nil || lease.RevokeReason != "" || found.full() {
			continue
		}
		if s.stalled(contact, run.progress, lease) {
			found.stalled = append(found.stalled, id)
			contact.agent.quarantinedUntil = s.now.Add(quarantineTime)
			s.logEvent("run-stalled", "runner", name, "task", lease.Task, "run", lease.Attempt, "percent", run.progress.percent)
			continue
		}
		if s.fasterElsewhere(contact, run.progress, lease) && s.reserveElsewhere(name, lease, found.reserved) {
			found.slow = append(found.slow, id)
		}
	}
}

// fasterElsewhere reports whether an attempt on a slow runner would be done sooner if it
// began elsewhere, from its checkpoint.
func (s *Server) fasterElsewhere(contact *runnerContact, progress *runProgress, lease *state.Lease) bool {
	step := s.state.Jobs[lease.Task.Job].Spec.Steps[lease.Task.Step]
	workRate := contact.agent.workRate
	if workRate >= slowWorkRate || progress.rate <= 0 || step.Service {
		return false
	}
	// On a runner of the nominal rate the task would take this long from its beginning.
	there := progress.wholeRun() * clock.Millis(workRate) / prediction.NominalRate
	if step.Checkpoints {
		there = min(there, there*clock.Millis(100-progress.percent)/100+restoreTime)
	}
	// Moving must gain a quarter of the time there, as rates are wrong too, and minMoveGain.
	return progress.remaining() > there+there/4+minMoveGain
}

// reserveElsewhere reserves capacity for an attempt, or for its whole gang, on other
// healthy runners of the pool; reserved is what was reserved before. It reserves nothing
// where not all of them fit.
func (s *Server) reserveElsewhere(from identifier.Runner, lease *state.Lease, reserved map[identifier.Runner]job.Demand) bool {
	need := 1 + len(s.state.Partners(lease))
	schedulable := s.schedulable()
	var chosen []identifier.Runner
	for _, name := range s.state.RunnerNames() {
		if !s.healthyAlternative(name, from) || !schedulable(name) {
			continue
		}
		free := s.state.Runners[name].Free().Minus(reserved[name])
		for need > len(chosen) && lease.Demand.Fits(free) {
			free = free.Minus(lease.Demand)
			chosen = append(chosen, name)
		}
	}
	if len(chosen) < need {
		return false
	}
	for _, name := range chosen {
		reserved[name] = reserved[name].Plus(lease.Demand)
	}
	return true
}

// healthyAlternative reports whether a runner of the same pool is one that work could move
// to from another runner.
func (s *Server) healthyAlternative(name, from identifier.Runner) bool {
	runner := s.state.Runners[name]
	contact := s.leader.runners[name]
	if name == from || runner.Pool != s.state.Runners[from].Pool || runner.Gone || runner.CordonedBy() != "" {
		return false
	}
	return contact != nil && contact.agent != nil && contact.agent.workRate >= slowWorkRate
}

// neverStarted lists what was placed on agents' runners that are leaving or cordoned and
// has not started there, and so never will.
func (s *Server) neverStarted() []identifier.LeaseID {
	var list []identifier.LeaseID
	for _, name := range s.state.RunnerNames() {
		contact := s.leader.runners[name]
		runner := s.state.Runners[name]
		if contact == nil || contact.agent == nil || !contact.hasPolled || runner.Incarnation != contact.incarnation {
			continue
		}
		if !contact.draining && runner.CordonedBy() == "" {
			continue
		}
		for _, id := range runner.LeaseIDs() {
			_, ended := contact.ended[id]
			if !ended && !contact.running[id] && s.state.Leases[id].RevokeReason == "" {
				list = append(list, id)
			}
		}
	}
	return list
}
