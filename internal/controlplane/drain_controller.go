package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// drainProgress is what the leader tracks of the drains in progress. Package state
// decides what each stage does; the leader only decides when a drain advances.
type drainProgress struct {
	// proposals is the index of the last entry proposed for each drain, by drain id.
	proposals map[string]identifier.Index
	// observed is when each drain entered its current stage, by this leader's clock.
	observed map[string]observedStage
}

// observedStage records when, by this leader's clock, a drain entered its stage.
type observedStage struct {
	stage state.Stage
	at    clock.Monotonic
}

func newDrainProgress() drainProgress {
	return drainProgress{proposals: map[string]identifier.Index{}, observed: map[string]observedStage{}}
}

// advanceDrains advances each drain as far as the state allows.
func (s *Server) advanceDrains() {
	progress := &s.leader.drains
	for _, id := range s.state.DrainIDs() {
		drain := s.state.Drains[id]
		if progress.proposals[id] > s.appliedIndex {
			continue
		}
		if progress.observed[id].stage != drain.Stage {
			progress.observed[id] = observedStage{drain.Stage, s.now}
		}
		if drain.Stage == state.Open {
			delete(progress.proposals, id)
			continue
		}
		if step := s.nextDrainStep(drain, s.now.Since(progress.observed[id].at)); step != nil {
			progress.proposals[id] = s.propose(&state.Command{AdvanceDrain: step})
		}
	}
}

// nextDrainStep returns the command that advances a drain from the stage it has been in
// for inStage, or nil if the drain must wait.
func (s *Server) nextDrainStep(drain *state.Drain, inStage clock.Millis) *state.AdvanceDrain {
	step := &state.AdvanceDrain{ID: drain.ID, From: drain.Stage}
	running, stopping := s.state.OpenLeases(drain)
	switch drain.Stage {
	case state.Cordon:
		if !s.stopsDue(drain, running) {
			return nil
		}
	case state.Postdrain:
		step.TimedOut = inStage > s.stopTimeout(drain)
		if len(stopping) > 0 && !step.TimedOut && len(running) == 0 {
			return nil
		}
	case state.Closed:
		if len(running) == 0 && len(stopping) == drain.UnconfirmedStops {
			return nil
		}
	}
	return step
}

// stopsDue reports whether some running lease in the drain's scope is due to be revoked,
// or whether the stops of all runners in the scope are due.
func (s *Server) stopsDue(drain *state.Drain, running []*state.Lease) bool {
	clusterTime := s.leader.clock.timeAt(s.now)
	for _, lease := range running {
		if s.state.StopDue(drain, lease.Runner, clusterTime) {
			return true
		}
	}
	for _, name := range drain.Scope {
		if !s.state.StopDue(drain, name, clusterTime) {
			return false
		}
	}
	return true
}

// stopTimeout returns how long the post-drain check waits for stops before it gives its
// verdict.
func (s *Server) stopTimeout(drain *state.Drain) clock.Millis {
	if drain.Kind == state.KindRack {
		return s.state.Limits.SiteMillis(limits.SiteDrain)
	}
	return s.state.Limits.SiteMillis(limits.SiteEvacuation)
}
