package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler"
	"orchidward/internal/state"
)

const (
	// schedulingInterval is the least time between two scheduling cycles.
	schedulingInterval clock.Millis = 20
	// deferralInterval is the time after which deferred tasks are looked at again.
	deferralInterval clock.Millis = 100
)

// schedulingCycle says when the leader plans placements next.
type schedulingCycle struct {
	// needed says that something changed since the last cycle.
	needed bool
	lastAt clock.Monotonic
	// proposal is the index of the last plan's entry. One plan is under way at a time.
	proposal identifier.Index
	// deferred are the tasks that wait for a better runner. They are looked at again when
	// nothing changes, too.
	deferred *scheduler.DeferredTasks
	// usage is what the pools lately had in use.
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

// due reports whether a cycle is to be run.
func (c *schedulingCycle) due(now clock.Monotonic) bool {
	if !c.needed && !(c.deferred.Any() && now.Since(c.lastAt) >= deferralInterval) {
		return false
	}
	return now.Since(c.lastAt) >= schedulingInterval
}

// schedule runs one scheduling cycle when it is time to, and proposes its plan.
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
	s.leader.quotas.planned(plan.AtQuota)
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
