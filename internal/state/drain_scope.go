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

// rackMembers are the runners of one rack, in ascending order.
type rackMembers struct {
	// present has the runners that are not lost or are leaving.
	present []identifier.Runner
	// leaving has the runners that have announced that they leave.
	leaving []identifier.Runner
}

// drainScope is the leaving runners, or the whole rack when they are more than half
// of it.
func (m *rackMembers) drainScope() []identifier.Runner {
	if len(m.leaving)*2 > len(m.present) {
		return m.present
	}
	return m.leaving
}

func (s *Store) rackMembers() map[rackID]*rackMembers {
	racks := map[rackID]*rackMembers{}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		members := racks[runner.rackID()]
		if members == nil {
			members = &rackMembers{}
			racks[runner.rackID()] = members
		}
		if runner.Draining {
			members.leaving = append(members.leaving, name)
		}
		if !runner.Gone || runner.Draining {
			members.present = append(members.present, name)
		}
	}
	return racks
}

// updateRackDrains keeps one drain for every rack with leaving runners, and reopens
// those of the other racks.
func (s *Store) updateRackDrains() {
	racks := s.rackMembers()
	drains := map[rackID]*Drain{}
	for _, id := range s.DrainIDs() {
		drain := s.Drains[id]
		if drain.Kind != KindRack || drain.Stage.Reopening() {
			continue
		}
		rack := rackID{domain: drain.Domain, rack: drain.Rack}
		drains[rack] = drain
		if members := racks[rack]; members == nil || len(members.leaving) == 0 {
			drain.enterStage(Preopen, s.Now)
		}
	}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		if !runner.Draining {
			continue
		}
		rack := runner.rackID()
		if drains[rack] == nil {
			drains[rack] = s.createDrain("", KindRack, runner.Domain, runner.Rack)
		}
		s.setRackScope(drains[rack], racks[rack].drainScope())
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
