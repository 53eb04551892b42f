package controlplane

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// Runner health is inferred from the progress of attempts (run_progress.go). An attempt
// that stalls is revoked together with its checkpoint, and its runner is quarantined for
// a while. A runner on which work is slow is chosen last, but its attempts stay: moving
// them was measured to lose more than it gains (docs/notes/decisions-under-load.md). The
// evidence is local to this leader; a new leader collects its own.

const (
	// healthCheckInterval is how often attempts are checked.
	healthCheckInterval clock.Millis = 100
	// minStallLimit is the stall limit of an attempt without an expected duration.
	minStallLimit clock.Millis = 600
	// restoreTime is how long an attempt may take to restore its checkpoint.
	restoreTime clock.Millis = 800
	// quarantineTime is how long a runner receives no work after an attempt stalled on
	// it.
	quarantineTime clock.Millis = 6000
	// maxRevocations bounds the attempts revoked in one check.
	maxRevocations = 16
	// Only fresh reports count: the agent must have been heard within maxReportAge, and
	// must have heard from its runner within maxReportSilence.
	maxReportAge     clock.Millis = 1000
	maxReportSilence clock.Millis = 400
)

// quarantined reports whether a runner currently receives no work because an attempt
// stalled on it.
func (s *Server) quarantined(contact *runnerContact) bool {
	return contact.agent != nil && s.now < contact.agent.quarantinedUntil
}

// stallLimit returns the minimum time without progress after which an attempt may count
// as stalled.
func (s *Server) stallLimit(lease *state.Lease) clock.Millis {
	run, _ := s.predictedRun(lease)
	return minStallLimit + run/8
}

// stalled reports whether an attempt has made no progress for longer than a healthy one
// could, even a slow one: one percent of progress of a slow attempt takes several percent
// of its expected duration.
func (s *Server) stalled(c *runnerContact, p *runProgress, lease *state.Lease) bool {
	j := s.state.Jobs[lease.Task.Job]
	step := j.Spec.Steps[lease.Task.Step]
	span := max(s.stallLimit(lease), minStallLimit+p.wholeRun()/8)
	switch {
	case p.stalledFor == 0 || step.Service:
		return false
	case p.percent >= completePercent:
		run, _ := s.predictedRun(lease)
		span = 2 * (minStallLimit + run)
	case p.percent == p.firstPercent && j.Task(lease.Task).Checkpoint != "":
		span += restoreTime
	}
	if p.percent == 0 && step.Gang && !s.gangAssembled(lease) {
		return false
	}
	return p.stalledFor+s.now.Since(c.lastHeard) > span
}

// gangAssembled reports whether all members of an attempt's gang are running.
func (s *Server) gangAssembled(lease *state.Lease) bool {
	for _, partner := range s.state.Partners(lease) {
		contact := s.leader.runners[partner.Runner]
		if contact == nil || !contact.running[partner.ID] {
			return false
		}
	}
	return true
}

// revokeUnhealthyRuns revokes attempts that have stalled or that will never start.
func (s *Server) revokeUnhealthyRuns() {
	l := s.leader
	if l.revokeProposal > s.appliedIndex || s.now.Since(l.lastHealthCheck) < healthCheckInterval {
		return
	}
	l.lastHealthCheck = s.now
	s.updateCommonRate()
	var stalled []identifier.LeaseID
	for _, name := range s.state.RunnerNames() {
		if c := l.runners[name]; s.shouldCheckRuns(c) {
			stalled = append(stalled, s.stalledRuns(name, c)...)
		}
	}
	if unstartable := s.unstartableLeases(); len(unstartable) > 0 {
		s.revokeRuns(unstartable, state.RevokeStartUnconfirmed)
	}
	if len(stalled) > 0 {
		slices.Sort(stalled)
		s.revokeRuns(stalled[:min(len(stalled), maxRevocations)], state.RevokeStalled)
	}
}

func (s *Server) revokeRuns(leases []identifier.LeaseID, reason string) {
	s.leader.revokeProposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: leases, Reason: reason}})
}

// shouldCheckRuns reports whether the reports about a runner are fresh enough to check its
// attempts, and whether enough time has passed for any of them to have stalled.
func (s *Server) shouldCheckRuns(contact *runnerContact) bool {
	if contact == nil || contact.agent == nil || contact.agentReportedSilence > maxReportSilence || s.now.Since(contact.lastHeard) > maxReportAge {
		return false
	}
	return s.now > contact.agent.noStallBefore
}

// stalledRuns lists the stalled attempts on a runner, and quarantines the runner if there
// are any.
func (s *Server) stalledRuns(name identifier.Runner, contact *runnerContact) []identifier.LeaseID {
	var stalled []identifier.LeaseID
	for _, id := range s.state.Runners[name].LeaseIDs() {
		run := contact.agent.runs[id]
		lease := s.state.Leases[id]
		if run == nil || run.progress == nil || lease.RevokeReason != "" || !s.stalled(contact, run.progress, lease) {
			continue
		}
		stalled = append(stalled, id)
		contact.agent.quarantinedUntil = s.now.Add(quarantineTime)
		s.logEvent("run-stalled", "runner", name, "task", lease.Task, "run", lease.Attempt, "percent", run.progress.percent)
	}
	return stalled
}

// unstartableLeases lists the leases on agents' runners whose attempts have not started
// and will not start, because the runner is draining or cordoned or the tenant exceeds
// its quota.
func (s *Server) unstartableLeases() []identifier.LeaseID {
	var list []identifier.LeaseID
	anyOverQuota := s.state.AnyOverQuota()
	for _, name := range s.state.RunnerNames() {
		contact := s.leader.runners[name]
		runner := s.state.Runners[name]
		if contact == nil || contact.agent == nil || !contact.hasPolled || runner.Incarnation != contact.incarnation {
			continue
		}
		closed := contact.draining || runner.CordonedBy() != ""
		if !closed && !anyOverQuota {
			continue
		}
		for _, id := range runner.LeaseIDs() {
			lease := s.state.Leases[id]
			_, ended := contact.ended[id]
			if ended || contact.running[id] || lease.RevokeReason != "" {
				continue
			}
			if closed || s.exceedsQuota(lease) {
				list = append(list, id)
			}
		}
	}
	return list
}
