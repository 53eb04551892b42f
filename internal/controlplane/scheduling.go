package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler"
	"orchidward/internal/state"
)

const (
	// schedulingInterval is the minimum time between two scheduling cycles.
	schedulingInterval clock.Millis = 20
	// deferralInterval is how often deferred tasks are reconsidered when nothing else
	// changes.
	deferralInterval clock.Millis = 100
)

// schedulingCycle tracks when the leader next plans placements.
type schedulingCycle struct {
	// needed means that something changed since the last cycle.
	needed bool
	lastAt clock.Monotonic
	// proposal is the index of the last plan's entry. At most one plan is pending.
	proposal identifier.Index
	// deferred are the tasks that wait for a better runner. They are reconsidered every
	// deferralInterval even if nothing changes.
	deferred *scheduler.DeferredTasks
	// usage is the recent resource usage of each pool.
	usage *scheduler.UsageHistory
}

func newSchedulingCycle() schedulingCycle {
	return schedulingCycle{
		needed:   true,
		lastAt:   -clock.Monotonic(schedulingInterval),
		deferred: scheduler.NewDeferredTasks(),
		usage:    scheduler.NewUsageHistory(),
	}
}

// due reports whether a cycle should run now.
func (c *schedulingCycle) due(now clock.Monotonic) bool {
	if !c.needed && !(c.deferred.Any() && now.Since(c.lastAt) >= deferralInterval) {
		return false
	}
	return now.Since(c.lastAt) >= schedulingInterval
}

// schedule runs a scheduling cycle if one is due, and proposes its plan.
func (s *Server) schedule() {
	cycle := &s.leader.cycle
	if cycle.proposal > s.appliedIndex || !cycle.due(s.now) {
		return
	}
	cycle.needed = false
	cycle.lastAt = s.now
	view := s.runnerView()
	cycle.usage.Update(s.state, view.Predict, s.now)
	plan := scheduler.Schedule(s.state, view, s.policyCache)
	cycle.deferred.Update(plan.Deferred, s.now)
	s.waitReasons = plan.Reasons
	s.leader.quotas.recordPlan(plan.AtQuota)
	s.recordPolicyResults(plan.Policies)
	if len(plan.Preemptions) > 0 {
		s.logEvent("preemption", "leases", len(plan.Preemptions))
		cycle.proposal = s.propose(&state.Command{RevokeLeases: &state.RevokeLeases{Leases: plan.Preemptions, Reason: state.RevokePreempted}})
	}
	if len(plan.Placements) > 0 {
		cycle.proposal = s.propose(&state.Command{PlaceTasks: &state.PlaceTasks{Placements: plan.Placements}})
	}
}

// runnerView returns what the scheduler needs to know about runners beyond the replicated
// state.
func (s *Server) runnerView() scheduler.RunnerView {
	cycle := &s.leader.cycle
	return scheduler.RunnerView{
		Schedulable:   s.schedulable(),
		WorkRate:      s.workRate,
		SuccessStreak: func(name identifier.Runner) int { return s.leader.successStreaks[name] },
		DistantFactor: int64(s.leader.durations.DistantFactor() * 1000),
		Predict: func(queue string, estimate clock.Millis) scheduler.PredictedRun {
			run, deviation := s.leader.durations.Predict(queue, estimate)
			return scheduler.PredictedRun{Run: run, Deviation: deviation}
		},
		Usage:     cycle.usage,
		Remaining: s.remaining,
		DeferredFor: func(ref identifier.TaskRef) clock.Millis {
			return cycle.deferred.For(ref, s.now)
		},
	}
}

// schedulableSilence is how long a runner may be silent and still receive work.
func (s *Server) schedulableSilence() clock.Millis { return 2 * s.startTimeout() }

// schedulable returns a predicate that reports whether a runner may receive work now: it
// has recently polled under its current incarnation, is not draining and is not
// quarantined.
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
