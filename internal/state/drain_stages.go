package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
)

// advanceDrain executes the current stage of a drain. The leader decides when to advance;
// the effect of a stage is computed here, from the state alone, so that a new leader
// resumes where the previous one stopped. A command for a stage other than the current
// one is a no-op.
func (s *Store) advanceDrain(command *AdvanceDrain) {
	drain := s.Drains[command.ID]
	if drain == nil || drain.Stage != command.From {
		return
	}
	s.carryOutStage(drain, command.TimedOut)
	s.foldChecksum(
		hashText(drain.ID),
		hashText(string(drain.Stage)),
		uint64(drain.UnconfirmedStops),
		uint64(len(drain.Displaced)),
		hashText(drain.Verdict),
	)
}

func (s *Store) carryOutStage(drain *Drain, timedOut bool) {
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
		s.checkPostdrain(drain, timedOut)
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

// runPreflight records whether the runners that are not cordoned have room for the
// displaced tasks, with each gang complete. The drain continues whatever the result.
func (s *Store) runPreflight(drain *Drain) {
	units := s.recordDisplaced(drain)
	nodes := []feasibility.Node{}
	for _, name := range s.RunnerNames() {
		runner := s.Runners[name]
		if runner.cordonedBy == "" && !runner.Gone {
			nodes = append(nodes, feasibility.Node{Name: name, Free: runner.Free(), Labels: runner.Labels})
		}
	}
	drain.PreflightDone = true
	drain.Fits, drain.Shortage = feasibility.Pack(units, nodes)
}

// gangID identifies a gang.
type gangID struct {
	job  identifier.JobKey
	step int
}

// recordDisplaced records the displaced tasks in the drain and returns them as units to
// place. A gang with a member in scope is displaced with all its members.
func (s *Store) recordDisplaced(drain *Drain) []feasibility.Unit {
	drain.Displaced = nil
	drain.DisplacedGangs = 0
	var units []feasibility.Unit
	gangs := map[gangID]bool{}
	running, unconfirmed := s.OpenLeases(drain)
	for _, lease := range append(running, unconfirmed...) {
		j := s.Jobs[lease.Task.Job]
		step := j.Spec.Steps[lease.Task.Step]
		displaced := []identifier.TaskRef{lease.Task}
		if step.Gang {
			gang := gangID{job: lease.Task.Job, step: lease.Task.Step}
			if gangs[gang] {
				continue
			}
			gangs[gang] = true
			drain.DisplacedGangs++
			displaced = j.openTasks(lease.Task.Step)
		}
		drain.Displaced = append(drain.Displaced, displaced...)
		units = append(units, feasibility.Unit{Demand: step.Demand, Labels: step.Labels, Count: len(displaced)})
	}
	return units
}

// openTasks returns the tasks of a step that have not ended.
func (j *Job) openTasks(step int) []identifier.TaskRef {
	var open []identifier.TaskRef
	for num, task := range j.Steps[step] {
		if !task.State.Ended() {
			open = append(open, identifier.TaskRef{Job: j.Key, Step: step, Num: num})
		}
	}
	return open
}

// revokeDueLeases revokes the leases of the runners in scope that are due, and ends the
// stage once all runners in scope are due.
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

// Verdicts of the post-drain check.
const (
	verdictConfirmed       = "all cordoned"
	verdictWithinThreshold = "cordoned, unconfirmed stops within threshold"
	verdictOverThreshold   = "unconfirmed stops over threshold, operator to look"
)

// checkPostdrain implements the post-disable check of the paper cited at [Stage]. It
// waits until every stop is confirmed or the time for confirming has run out, and then
// compares the number of unconfirmed stops with the tolerated share of the displaced
// tasks. A lease that is not revoked yet returns the drain to the Cordon stage.
func (s *Store) checkPostdrain(drain *Drain, timedOut bool) {
	running, unconfirmed := s.OpenLeases(drain)
	if len(running) > 0 {
		drain.enterStage(Cordon, s.Now)
		return
	}
	drain.UnconfirmedStops = len(unconfirmed)
	if len(unconfirmed) > 0 && drain.Stage == Postdrain && !timedOut {
		return
	}
	drain.Verdict = s.postdrainVerdict(drain)
	if drain.Stage != Closed {
		drain.enterStage(Closed, s.Now)
	}
}

func (s *Store) postdrainVerdict(drain *Drain) string {
	if drain.UnconfirmedStops == 0 {
		return verdictConfirmed
	}
	percent := s.Limits.Int(limits.SiteRow, limits.SiteStopThreshold)
	if int64(drain.UnconfirmedStops)*100 <= percent*int64(len(drain.Displaced)) {
		return verdictWithinThreshold
	}
	return verdictOverThreshold
}

// releaseDisplaced returns the tasks that were suspended until the end of the drain to
// the Waiting state.
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
