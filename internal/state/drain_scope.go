package state

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// rackID identifies a rack by domain and name, since racks of different domains may have
// the same name.
type rackID struct {
	domain identifier.Domain
	rack   identifier.Rack
}

func (r *Runner) rackID() rackID { return rackID{domain: r.Domain, rack: r.Rack} }

// rackScopes returns the drain scope of each rack that has leaving runners: the runners
// that have announced their departure and are not lost yet, in ascending order. A wider
// scope would cordon runners that stay, and nothing would indicate when to lift that
// cordon; see docs/notes/closings.md.
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

// leaving reports whether a runner belongs to the scope of its rack's drain. Below
// RackScopeLevel it does until a report says that it stays, even while the runner is
// lost.
func (s *Store) leaving(runner *Runner) bool {
	return runner.Draining && (!runner.Gone || s.Level < RackScopeLevel)
}

// legacyRackScopes is rackScopes as implemented below RackScopeLevel, kept to replay logs
// of that time: the scope is the whole rack as soon as more than half of it has announced
// its departure.
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

// updateRackDrains maintains one drain for each rack with leaving runners, and reopens
// the drains of all other racks.
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

// setRackScope sets the scope of a rack's drain. If runners were added, a drain in the
// Postdrain or Closed stage restarts at Preflight.
func (s *Store) setRackScope(drain *Drain, scope []identifier.Runner) {
	grown := slices.ContainsFunc(scope, func(name identifier.Runner) bool { return !drain.inScope(name) })
	drain.Scope = slices.Clone(scope)
	if grown && (drain.Stage == Postdrain || drain.Stage == Closed) {
		drain.enterStage(Preflight, s.Now)
	}
}

// updateCordons recomputes which drain cordons each runner; if there are several, the
// oldest does. Placement and recovery depend on nothing else of a drain. Only a runner
// that was cordoned before is marked as changed: its cordon may be lifted, so the leader
// may have starts to send to it. A new cordon alone gives the leader nothing to send.
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

// extendDomainScope adds the runners of the domain to the scope of its drain, including
// those that report for the first time while the drain is in force.
func (s *Store) extendDomainScope(drain *Drain) {
	for name, runner := range s.Runners {
		if runner.Domain == drain.Domain && !drain.inScope(name) {
			drain.Scope = append(drain.Scope, name)
		}
	}
	slices.Sort(drain.Scope)
}

// StopDue reports whether the leases of a runner in scope are due to be revoked. In a
// domain drain they are due immediately. In a rack drain, tasks keep running until a
// margin before the runner's departure, or before the first departure in scope if the
// runner itself stays.
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

// firstDeparture returns the time of the earliest announced departure in scope, or 0 if
// there is none.
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

// OpenLeases returns the open leases in scope: those that are not revoked (running), and
// those that are revoked but whose end is not confirmed (unconfirmed).
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
