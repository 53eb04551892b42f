package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// rackID names a rack: racks of different domains may have the same name.
type rackID struct {
	domain identifier.Domain
	rack   identifier.Rack
}

func (r *Runner) rackID() rackID { return rackID{domain: r.Domain, rack: r.Rack} }

// rackScopes is, for each rack with leaving runners, the runners that its drain
// concerns, in ascending order: those that have announced that they leave, until they
// are lost. A drain that guessed at more would cordon runners that stay, for which
// nothing says when it should end; see docs/notes/closings.md.
func (s *Store) rackScopes() map[rackID][]identifier.Runner {
	if s.Level < RackScopeLevel {
		return s.legacyRackScopes()
	}
	scopes := map[rackID][]identifier.Runner{}
	for _, name := range s.RunnerNames() {
		if runner := s.Runners[name]; s.leaving(runner) {
			scopes[runner.rackID()] = append(scopes[runner.rackID()], name)
		}
	}
	return scopes
}

// leaving reports whether a runner belongs into its rack's drain. Below RackScopeLevel
// it does for as long as nobody says otherwise, lost or not.
func (s *Store) leaving(runner *Runner) bool {
	return runner.Draining && (!runner.Gone || s.Level < RackScopeLevel)
}

// legacyRackScopes is rackScopes as it was below RackScopeLevel, for logs of that time:
// the whole rack as soon as more than half of it has announced that it leaves.
func (s *Store) legacyRackScopes() map[rackID][]identifier.Runner {
	leaving := map[rackID][]identifier.Runner{}
	present := map[rackID][]identifier.Runner{}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		rack := runner.rackID()
		if runner.Draining {
			leaving[rack] = append(leaving[rack], name)
		}
		if !runner.Gone || runner.Draining {
			present[rack] = append(present[rack], name)
		}
	}
	for rack, names := range leaving {
		if len(names)*2 > len(present[rack]) {
			leaving[rack] = present[rack]
		}
	}
	return leaving
}

// updateRackDrains keeps one drain for every rack with leaving runners, and reopens
// those of the other racks.
func (s *Store) updateRackDrains() {
	scopes := s.rackScopes()
	drains := map[rackID]*Drain{}
	for _, id := range s.DrainIDs() {
		drain := s.Drains[id]
		if drain.Kind != KindRack || drain.Stage.Reopening() {
			continue
		}
		rack := rackID{domain: drain.Domain, rack: drain.Rack}
		drains[rack] = drain
		if len(scopes[rack]) == 0 {
			drain.enterStage(Preopen, s.Now)
		}
	}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		if !s.leaving(runner) {
			continue
		}
		rack := runner.rackID()
		if drains[rack] == nil {
			drains[rack] = s.createDrain("", KindRack, runner.Domain, runner.Rack)
		}
		s.setRackScope(drains[rack], scopes[rack])
	}
	s.updateCordons()
}

// setRackScope sets the scope of a rack's drain. New runners in it start the stages
// again.
func (s *Store) setRackScope(drain *Drain, scope []identifier.Runner) {
	grown := slices.ContainsFunc(scope, func(name identifier.Runner) bool { return !drain.inScope(name) })
	drain.Scope = slices.Clone(scope)
	if grown && (drain.Stage == Postdrain || drain.Stage == Closed) {
		drain.enterStage(Preflight, s.Now)
	}
}

// updateCordons derives which drain cordons each runner, the oldest of several.
// Placement and recovery look at nothing else of a drain. Only a cordon that may be
// lifted marks its runner changed: the leader then has starts to send it, while a new
// cordon by itself has nothing to tell a runner.
func (s *Store) updateCordons() {
	for name, runner := range s.Runners {
		if runner.cordonedBy != "" {
			s.runnerIndex.markChanged(name)
		}
		runner.cordonedBy = ""
	}
	for _, id := range s.DrainIDs() {
		drain := s.Drains[id]
		if !drain.Stage.Cordons() {
			continue
		}
		if drain.Kind == KindDomain {
			s.extendDomainScope(drain)
		}
		for _, name := range drain.Scope {
			runner := s.Runners[name]
			if runner != nil && runner.cordonedBy == "" {
				runner.cordonedBy = id
			}
		}
	}
}

// extendDomainScope adds the domain's runners to the scope of its drain, also those
// that report for the first time while it is in force.
func (s *Store) extendDomainScope(drain *Drain) {
	for name, runner := range s.Runners {
		if runner.Domain == drain.Domain && !drain.inScope(name) {
			drain.Scope = append(drain.Scope, name)
		}
	}
	slices.Sort(drain.Scope)
}

// StopDue tells whether the leases of a runner in scope are to be revoked now. In a
// domain they are at once; in a rack the tasks run on until a margin before the
// runner's departure, or before the first departure when it stays itself.
func (s *Store) StopDue(drain *Drain, name identifier.Runner, now clock.ClusterTime) bool {
	if drain.Kind == KindDomain {
		return true
	}
	departsAt := s.firstDeparture(drain)
	if runner := s.Runners[name]; runner != nil && runner.Draining {
		departsAt = runner.DepartsAt
	}
	return now >= departsAt.Add(-s.Limits.SiteMillis(limits.SiteDepartureMargin))
}

// firstDeparture is when the first runner in scope leaves, 0 when none does.
func (s *Store) firstDeparture(drain *Drain) clock.ClusterTime {
	var first clock.ClusterTime
	for _, name := range drain.Scope {
		runner := s.Runners[name]
		if runner != nil && runner.Draining && (first == 0 || runner.DepartsAt < first) {
			first = runner.DepartsAt
		}
	}
	return first
}

// OpenLeases lists the open leases in scope: those that are not revoked, and those
// that are but whose end is not confirmed.
func (s *Store) OpenLeases(drain *Drain) (running, unconfirmed []*Lease) {
	for _, name := range drain.Scope {
		runner := s.Runners[name]
		if runner == nil {
			continue
		}
		for _, id := range runner.LeaseIDs() {
			lease := s.Leases[id]
			if lease.RevokeReason == "" {
				running = append(running, lease)
			} else {
				unconfirmed = append(unconfirmed, lease)
			}
		}
	}
	return running, unconfirmed
}
