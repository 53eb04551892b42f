package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler"
	"orchidward/internal/state"
)

// schedulingInterval is the least time between two scheduling cycles.
const schedulingInterval clock.Millis = 20

// schedulingCycle says when the leader plans placements next.
type schedulingCycle struct {
	// needed says that something changed since the last cycle.
	needed bool
	lastAt clock.Monotonic
	// proposal is the index of the last plan's entry. One plan is under way at a time.
	proposal identifier.Index
}

// schedule runs one scheduling cycle when it is time to, and proposes its plan.
func (s *Server) schedule() {
	cycle := &s.leader.cycle
	if !cycle.needed || cycle.proposal > s.appliedIndex || s.now.Since(cycle.lastAt) < schedulingInterval {
		return
	}
	cycle.needed = false
	cycle.lastAt = s.now
	plan := scheduler.Schedule(s.state, s.runnerView(), s.policyCache)
	s.waitReasons = plan.Reasons
	s.recordPolicyResults(plan.Policies)
	if len(plan.Preemptions) > 0 {
		s.logEvent("preemption", "leases", len(plan.Preemptions))
		cycle.proposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: plan.Preemptions, Reason: state.RevokePreempted}})
	}
	if len(plan.Placements) > 0 {
		cycle.proposal = s.propose(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: plan.Placements}})
	}
}

// runnerView is what the scheduler is told of the runners beyond the state.
func (s *Server) runnerView() scheduler.RunnerView {
	return scheduler.RunnerView{
		Schedulable:   s.schedulable(),
		WorkRate:      s.workRate,
		DistantFactor: int64(s.leader.durations.DistantFactor() * 1000),
	}
}

// schedulableSilence is how long a runner may be silent and still be given work.
func (s *Server) schedulableSilence() clock.Millis { return 2 * s.startTimeout() }

// schedulable gives a test of whether a runner may be given work now: it has polled
// lately under its present incarnation, is not leaving and is not quarantined.
func (s *Server) schedulable() func(name identifier.Runner) bool {
	limit := s.schedulableSilence()
	return func(name identifier.Runner) bool {
		contact := s.leader.runners[name]
		return contact != nil &&
			contact.hasPolled && !contact.draining &&
			contact.incarnation == s.state.Runners[name].Incarnation &&
			contact.silentFor(s.now) < limit &&
			!s.quarantined(contact)
	}
}
