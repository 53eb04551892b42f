// The maintenance duty's own moves: scope, fence, and the stages of a closing
// out and back. The leader only says when; what each stage does is decided
// here, from the book alone, so that any next owner goes on the same way.

package state

import (
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/feasibility"
)

func (s *Store) createDrain(id, kind string, domain identifier.Domain, rack identifier.Rack) *Drain {
	for id == "" || s.Drains[id] != nil {
		id = fmt.Sprintf("c-%d", s.NextDrain)
		s.NextDrain++
	}
	drain := &Drain{ID: id, Kind: kind, Domain: domain, Rack: rack, StartedAt: s.Now}
	s.Drains[id] = drain
	drain.enterStage(Preflight, s.Now)
	return drain
}

func (s *Store) endDrain(command *EndDrain) Result {
	drain := s.Drains[command.Name]
	if drain == nil {
		drain = s.domainDrain(identifier.Domain(command.Name))
	}
	switch {
	case drain == nil:
		return rejected(404, "no-closing", "no such closing")
	case drain.Kind == KindRack && !drain.Stage.Reopening():
		return rejected(409, "runners-leaving", "a rack reopens when its runners report active again")
	case !drain.Stage.Reopening():
		drain.enterStage(Preopen, s.Now)
	}
	return s.drainResult(drain)
}

// domainDrain is the domain's closing in force, else the last that was. Among
// those of one moment the order of names says nothing about which came last.
func (s *Store) domainDrain(domain identifier.Domain) *Drain {
	var found *Drain
	for _, id := range s.DrainIDs() {
		candidate := s.Drains[id]
		if candidate.Kind != KindDomain || candidate.Domain != domain {
			continue
		}
		if s.Level >= ResendLevel && found != nil && !found.Stage.Reopening() && candidate.Stage.Reopening() {
			continue
		}
		found = candidate
	}
	return found
}

// updateRackDrains keeps one closing for every rack that has leaving runners. More than
// half of a rack's live runners leaving makes the whole rack the scope.
func (s *Store) updateRackDrains() {
	type place struct {
		domain identifier.Domain
		rack   identifier.Rack
	}
	all, leave := map[place][]identifier.Runner{}, map[place][]identifier.Runner{}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		at := place{runner.Domain, runner.Rack}
		if runner.Draining {
			leave[at] = append(leave[at], name)
		}
		if !runner.Gone || runner.Draining {
			all[at] = append(all[at], name)
		}
	}
	have := map[place]*Drain{}
	for _, id := range s.DrainIDs() {
		drain := s.Drains[id]
		if drain.Kind != KindRack || drain.Stage.Reopening() {
			continue
		}
		at := place{drain.Domain, drain.Rack}
		have[at] = drain
		if len(leave[at]) == 0 {
			drain.enterStage(Preopen, s.Now)
		}
	}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		at := place{runner.Domain, runner.Rack}
		if !runner.Draining {
			continue
		}
		drain := have[at]
		if drain == nil {
			drain = s.createDrain("", KindRack, runner.Domain, runner.Rack)
			have[at] = drain
		}
		scope := leave[at]
		if len(scope)*2 > len(all[at]) {
			scope = all[at]
		}
		s.setRackScope(drain, scope)
	}
	s.updateCordons()
}

// setRackScope takes a rack closing's new scope; newcomers start its stages again.
func (s *Store) setRackScope(drain *Drain, scope []identifier.Runner) {
	grown := false
	for _, name := range scope {
		grown = grown || !drain.inScope(name)
	}
	drain.Scope = append([]identifier.Runner(nil), scope...)
	if grown && (drain.Stage == Postdrain || drain.Stage == Closed) {
		drain.enterStage(Preflight, s.Now)
	}
}

// updateCordons derives the fence: the one thing placement and recovery read.
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
			if runner := s.Runners[name]; runner != nil && runner.cordonedBy == "" {
				runner.cordonedBy = id
			}
		}
	}
}

// extendDomainScope adds the domain's runners, late comers too, to its closing's scope.
func (s *Store) extendDomainScope(drain *Drain) {
	for name, runner := range s.Runners {
		if runner.Domain == drain.Domain && !drain.inScope(name) {
			drain.Scope = append(drain.Scope, name)
		}
	}
	sort.Slice(drain.Scope, func(i, j int) bool { return drain.Scope[i] < drain.Scope[j] })
}

// StopDue tells whether a runner's tasks are to be stopped now. In a domain they
// are at once; in a rack they run on until a margin before the departure.
func (s *Store) StopDue(drain *Drain, target identifier.Runner, now clock.ClusterTime) bool {
	if drain.Kind == KindDomain {
		return true
	}
	departsAt := clock.ClusterTime(0)
	for _, name := range drain.Scope {
		if runner := s.Runners[name]; runner != nil && runner.Draining && (departsAt == 0 || runner.DepartsAt < departsAt) {
			departsAt = runner.DepartsAt
		}
	}
	if runner := s.Runners[target]; runner != nil && runner.Draining {
		departsAt = runner.DepartsAt
	}
	return now >= departsAt.Add(-s.Limits.SiteMillis("departMarginMs"))
}

// OpenLeases lists what still runs on the scope: grants not yet called back, and
// grants called back but not confirmed.
func (s *Store) OpenLeases(drain *Drain) (running, unconfirmed []*Lease) {
	for _, name := range drain.Scope {
		runner := s.Runners[name]
		if runner == nil {
			continue
		}
		for _, id := range runner.LeaseIDs() {
			if lease := s.Leases[id]; lease.RevokeReason == "" {
				running = append(running, lease)
			} else {
				unconfirmed = append(unconfirmed, lease)
			}
		}
	}
	return running, unconfirmed
}

func (s *Store) advanceDrain(command *AdvanceDrain) {
	drain := s.Drains[command.ID]
	if drain == nil || drain.Stage != command.From {
		return
	}
	defer func() {
		s.foldChecksum(hashText(drain.ID), hashText(string(drain.Stage)), uint64(drain.UnconfirmedStops), uint64(len(drain.Displaced)), hashText(drain.Verdict))
	}()
	switch drain.Stage {
	case Preflight:
		s.runPreflight(drain)
		drain.enterStage(Predrain, s.Now)
	case Predrain:
		s.updateCordons()
		drain.enterStage(Cordon, s.Now)
	case Cordon:
		s.revokeDueLeases(drain)
	case Postdrain:
		s.checkPostdrain(drain, command.JudgeNow)
	case Closed:
		s.checkPostdrain(drain, false)
	case Preopen:
		drain.enterStage(Opening, s.Now)
	case Opening:
		s.updateCordons()
		s.releaseDisplaced(drain)
		drain.enterStage(Postopen, s.Now)
	case Postopen:
		drain.enterStage(Open, s.Now)
	}
}

// runPreflight asks whether the runners outside every fence can take the set's
// tasks, gangs whole. The answer never holds the fence back.
func (s *Store) runPreflight(drain *Drain) {
	units := s.recordDisplaced(drain)
	nodes := []feasibility.Node{}
	for _, name := range s.RunnerNames() {
		if runner := s.Runners[name]; runner.cordonedBy == "" && !runner.Gone {
			nodes = append(nodes, feasibility.Node{Name: name, Free: runner.Free(), Labels: runner.Labels})
		}
	}
	drain.PreflightDone = true
	drain.Fits, drain.Shortage = feasibility.Pack(units, nodes)
}

// recordDisplaced records the displaced set and returns it as lumps to pack. A gang with
// a member in scope is displaced whole.
func (s *Store) recordDisplaced(drain *Drain) []feasibility.Unit {
	var units []feasibility.Unit
	running, unconfirmed := s.OpenLeases(drain)
	type step struct {
		key identifier.JobKey
		num int
	}
	gangs := map[step]bool{}
	drain.Displaced, drain.DisplacedGangs = nil, 0
	for _, lease := range append(running, unconfirmed...) {
		st := s.Jobs[lease.Task.Job].Spec.Steps[lease.Task.Step]
		at := step{lease.Task.Job, lease.Task.Step}
		if !st.Gang {
			units = append(units, feasibility.Unit{Demand: st.Demand, Labels: st.Labels, Count: 1})
			drain.Displaced = append(drain.Displaced, lease.Task)
			continue
		}
		if gangs[at] {
			continue
		}
		gangs[at] = true
		drain.DisplacedGangs++
		members := 0
		for i, task := range s.Jobs[lease.Task.Job].Steps[lease.Task.Step] {
			if !task.State.Ended() {
				members++
				drain.Displaced = append(drain.Displaced, identifier.TaskRef{Job: lease.Task.Job, Step: lease.Task.Step, Num: i})
			}
		}
		units = append(units, feasibility.Unit{Demand: st.Demand, Labels: st.Labels, Count: members})
	}
	return units
}

func (s *Store) revokeDueLeases(drain *Drain) {
	allDue := true
	for _, name := range drain.Scope {
		runner := s.Runners[name]
		if runner == nil {
			continue
		}
		if !s.StopDue(drain, name, s.Now) {
			allDue = false
			continue
		}
		for _, id := range runner.LeaseIDs() {
			s.revokeLease(s.Leases[id], RevokeDrainPrefix+drain.ID)
		}
	}
	if allDue {
		drain.enterStage(Postdrain, s.Now)
	}
}

// checkPostdrain is the post-drain check: every runner of the set cordoned, and the
// unconfirmed stops no more than the tolerated share of the displaced set.
func (s *Store) checkPostdrain(drain *Drain, timedOut bool) {
	running, unconfirmed := s.OpenLeases(drain)
	if len(running) > 0 {
		drain.enterStage(Cordon, s.Now)
		return
	}
	drain.UnconfirmedStops = len(unconfirmed)
	switch {
	case drain.UnconfirmedStops == 0:
		drain.Verdict = "all cordoned"
	case !timedOut && drain.Stage == Postdrain:
		return
	case int64(drain.UnconfirmedStops)*100 <= s.Limits.Int("site", "thresholdPct")*int64(len(drain.Displaced)):
		drain.Verdict = "cordoned, unconfirmed stops within threshold"
	default:
		drain.Verdict = "unconfirmed stops over threshold, operator to look"
	}
	if drain.Stage != Closed {
		drain.enterStage(Closed, s.Now)
	}
}

// releaseDisplaced lets go of the tasks that were waiting out the closing.
func (s *Store) releaseDisplaced(drain *Drain) {
	s.eachUnfinishedTask(func(j *Job, ref identifier.TaskRef, task *Task) {
		if task.DisplacedBy != drain.ID {
			return
		}
		s.jobIndex.clearDisplaced(j, task)
		if task.State == Suspended {
			s.setTaskState(j, ref, Waiting)
			task.Reason = ""
		}
	})
}
