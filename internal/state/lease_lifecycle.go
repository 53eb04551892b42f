// The life of a grant: placed in one entry, perhaps called back, and closed by
// a confirmed end, by a new incarnation, or by the lapse the leader timed.

package state

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/scheduler/feasibility"
)

func (s *Store) placeTasks(command *PlaceTasks) {
	for i := range command.Placements {
		if s.placementValid(&command.Placements[i]) {
			s.applyPlacement(&command.Placements[i])
		}
	}
}

// placementValid checks a placement against the book as it is now, which may differ
// from what the leader saw when it planned.
func (s *Store) placementValid(placement *Placement) bool {
	j := s.Jobs[placement.Job]
	if j == nil || placement.Step < 0 || placement.Step >= len(j.Steps) || len(placement.Tasks) != len(placement.Runners) || len(placement.Tasks) == 0 {
		return false
	}
	if !j.Ready(placement.Step) || j.StartAt > s.Now {
		return false
	}
	step := j.Spec.Steps[placement.Step]
	if step.Gang && len(placement.Tasks) != j.stepCounts[placement.Step].waiting {
		return false
	}
	free, seen := map[identifier.Runner]job.Demand{}, map[int]bool{}
	rowUse := s.inUse[j.Spec.Row]
	perRunner := map[identifier.Runner]int64{}
	for i, n := range placement.Tasks {
		task, runner := j.Task(identifier.TaskRef{Job: placement.Job, Step: placement.Step, Num: n}), s.Runners[placement.Runners[i]]
		if task == nil || seen[n] || task.State != Waiting || runner == nil || runner.Gone || runner.cordonedBy != "" || !feasibility.HasLabels(runner.Labels, step.Labels) || !j.EligibleOn(runner) {
			return false
		}
		if step.MaxPerRunner > 0 {
			if perRunner[runner.Name]++; s.TasksBeside(j, placement.Step, runner)+perRunner[runner.Name] > step.MaxPerRunner {
				return false
			}
		}
		seen[n] = true
		runnerFree, counted := free[runner.Name]
		if !counted {
			runnerFree = runner.Free()
		}
		if !step.Demand.Fits(runnerFree) {
			return false
		}
		free[runner.Name] = runnerFree.Minus(step.Demand)
		rowUse = rowUse.Plus(step.Demand)
	}
	return j.Terms != nil || rowUse.WithinLimit(job.Demand{Cores: s.Limits.Int(j.Spec.Row, "maxCores"), Mem: s.Limits.Int(j.Spec.Row, "maxMemMb")})
}

func (s *Store) applyPlacement(placement *Placement) {
	j := s.Jobs[placement.Job]
	gangAttempt := uint64(0)
	for _, n := range placement.Tasks {
		gangAttempt = max(gangAttempt, j.Steps[placement.Step][n].Attempt+1)
	}
	for i, n := range placement.Tasks {
		ref := identifier.TaskRef{Job: placement.Job, Step: placement.Step, Num: n}
		step, runner := j.Spec.Steps[placement.Step], s.Runners[placement.Runners[i]]
		lease := &Lease{ID: s.NextLease, Task: ref, Runner: runner.Name, Incarnation: runner.Incarnation, Row: j.Spec.Row, Demand: step.Demand, ExpectedRun: step.ExpectedRun, OpenedAt: s.Now}
		s.NextLease++
		task := j.Task(ref)
		task.Lease, task.LastRunner, task.Reason = lease.ID, runner.Name, ""
		if j.Terms != nil {
			if task.Attempt++; step.Gang {
				task.Attempt = gangAttempt
			}
			lease.Attempt = task.Attempt
			s.foldChecksum(lease.Attempt)
		}
		s.jobIndex.clearDisplaced(j, task)
		s.openLease(lease)
		s.setTaskState(j, ref, Placed)
	}
	s.jobIndex.update(j, s.Now)
}

// revokeLease calls a grant back; a gang's other members are called back with it.
func (s *Store) revokeLease(lease *Lease, reason string) {
	if lease.RevokeReason != "" {
		return
	}
	lease.RevokeReason = reason
	s.runnerIndex.markChanged(lease.Runner)
	if reason != RevokeDoneElsewhere {
		s.revokeGang(lease)
	}
}

func (s *Store) revokeGang(lease *Lease) {
	for _, partner := range s.Partners(lease) {
		if partner.RevokeReason == "" {
			if partner.RevokeReason = RevokeGangMemberGone; lease.RevokeReason == RevokePreempted && s.Level >= CatalogLevel {
				partner.RevokeReason = RevokePreempted
			}
			s.runnerIndex.markChanged(partner.Runner)
		}
	}
}

// Partners lists the other grants of the same gang, whatever their standing.
func (s *Store) Partners(lease *Lease) []*Lease {
	var list []*Lease
	j := s.Jobs[lease.Task.Job]
	if !j.Spec.Steps[lease.Task.Step].Gang {
		return nil
	}
	for _, task := range j.Steps[lease.Task.Step] {
		if partner := s.Leases[task.Lease]; partner != nil && partner.ID != lease.ID {
			list = append(list, partner)
		}
	}
	return list
}

func (s *Store) reportEnds(command *ReportEnds) {
	s.runnerIndex.markChanged(command.Runner)
	for _, end := range command.Ends {
		lease := s.Leases[end.Lease]
		if lease != nil && lease.Runner == command.Runner && lease.Incarnation == command.Incarnation {
			s.saveCheckpoint(lease, end.Checkpoint)
			s.endLease(lease, end.Outcome)
			continue
		}
		if lease == nil {
			s.reportLateEnd(command, end)
		}
	}
}

// reportLateEnd hears of a grant already counted lost.
func (s *Store) reportLateEnd(command *ReportEnds, end End) {
	j := s.FindJob(end.Task.Job)
	if j == nil {
		return
	}
	end.Task.Job = j.Key
	task := j.Task(end.Task)
	if task == nil || !task.forgetLostLease(end.Lease) || task.State.Ended() {
		return
	}
	switch end.Outcome {
	case OutcomeSuccess:
		if j.Terms != nil && j.Spec.Steps[end.Task.Step].Service {
			break
		}
		if task.State == Placed {
			s.revokeLease(s.Leases[task.Lease], RevokeDoneElsewhere)
		}
		s.setTaskState(j, end.Task, Succeeded)
		task.Reason = ""
	case OutcomeDefect:
		s.Runners[command.Runner].recordOutcome(false)
		if j.Terms == nil {
			s.countDefect(j, end.Task, command.Runner)
			break
		}
		s.countQueuedDefect(j, end.Task, command.Runner, 0)
	default:
		if task.State == AwaitingRunner && task.LastRunner == command.Runner {
			s.setTaskState(j, end.Task, Waiting)
			task.Reason = ""
		}
	}
	s.completeJob(j)
}

// reportEnd closes a grant and decides what becomes of its task.
func (s *Store) endLease(lease *Lease, outcome Outcome) {
	s.closeLease(lease)
	j, runner := s.Jobs[lease.Task.Job], s.Runners[lease.Runner]
	task := j.Task(lease.Task)
	if outcome == OutcomeSuccess || outcome == OutcomeDefect {
		runner.recordOutcome(outcome == OutcomeSuccess)
	}
	if j.Terms != nil {
		s.endQueuedAttempt(j, task, lease, outcome)
		s.completeJob(j)
		return
	}
	if task.Lease != lease.ID || task.State != Placed {
		s.completeJob(j)
		return
	}
	task.Lease = 0
	switch {
	case outcome == OutcomeSuccess:
		s.setTaskState(j, lease.Task, Succeeded)
	case outcome == OutcomeDefect:
		s.setTaskState(j, lease.Task, Waiting)
		s.countDefect(j, lease.Task, lease.Runner)
		s.revokeGang(lease)
		if task.State == Waiting && (j.Cancelled || j.Failure != "") {
			s.setTaskState(j, lease.Task, Cancelled)
		}
	case j.Cancelled || j.Failure != "":
		if outcome == outcomeLost {
			task.recordLostLease(lease)
		}
		s.setTaskState(j, lease.Task, Cancelled)
		task.Reason = lease.RevokeReason
	default:
		s.rescheduleTask(j, task, lease, outcome)
	}
	s.completeJob(j)
}

// rescheduleTask sends a task that lost its attempt back to bid, to be held, or to sit
// out the outage, as its row has chosen.
func (s *Store) rescheduleTask(j *Job, task *Task, lease *Lease, outcome Outcome) {
	row := j.Spec.Row
	s.setTaskState(j, lease.Task, Waiting)
	if outcome == outcomeLost || outcome == OutcomeLeaseLapsed {
		task.recordLostLease(lease)
		s.revokeGang(lease)
	}
	if outcome == outcomeLost && s.Limits.Cell(row, "onLoss") == "hold" {
		s.setTaskState(j, lease.Task, AwaitingRunner)
		task.Reason = "held until runner " + string(lease.Runner) + " answers"
		return
	}
	if lease.RevokeReason == RevokePreempted {
		s.inheritDisplacement(j, task)
	}
	id, ok := strings.CutPrefix(lease.RevokeReason, RevokeDrainPrefix)
	if drain := s.Drains[id]; ok && drain != nil && drain.Stage.Cordons() {
		s.jobIndex.markDisplaced(j, task, id)
		if !drain.Fits && s.Limits.Cell(row, "onOutage") == "ride" {
			s.setTaskState(j, lease.Task, Suspended)
			task.Reason = "waits out closing " + id
		}
	}
}

// inheritDisplacement ties work that had to make room for displaced work to the same closing,
// so that it may push strictly cheaper work in its turn.
func (s *Store) inheritDisplacement(j *Job, task *Task) {
	if s.Level < CatalogLevel || s.Limits.Cell(j.Spec.Row, "onOutage") != "push" {
		return
	}
	for _, id := range s.DrainIDs() {
		if drain := s.Drains[id]; drain.Stage.Cordons() && drain.PreflightDone && !drain.Fits {
			s.jobIndex.markDisplaced(j, task, id)
			return
		}
	}
}

// countDefect counts a reported defect against the task's allowance.
func (s *Store) countDefect(j *Job, ref identifier.TaskRef, runner identifier.Runner) {
	task := j.Task(ref)
	task.Defects++
	task.AvoidRunner = runner
	if task.Defects < j.Spec.Steps[ref.Step].MaxDefects {
		if task.State == AwaitingRunner {
			s.setTaskState(j, ref, Waiting)
		}
		return
	}
	if task.State == Placed {
		s.revokeLease(s.Leases[task.Lease], RevokeJobFailed)
	}
	if j.Cancelled {
		s.setTaskState(j, ref, Cancelled)
		return
	}
	s.setTaskState(j, ref, Failed)
	task.Reason = "allowed defects used up"
	if j.Failure == "" {
		j.Failure = "task " + ref.String() + " used up its allowed defects"
		s.abortTasks(j, RevokeJobFailed)
	}
}

func (s *Store) loseRunner(command *LoseRunner) {
	runner := s.Runners[command.Runner]
	if runner == nil || runner.Incarnation != command.Incarnation {
		return
	}
	runner.Gone = true
	s.saveCheckpoints(command.Checkpoints, runner)
	s.loseLeases(runner)
	s.updateRackDrains()
}

func (s *Store) loseLeases(runner *Runner) {
	for _, id := range runner.LeaseIDs() {
		s.endLease(s.Leases[id], outcomeLost)
	}
}

// AcceptsEnd tells whether an end reported under this grant is still news: the
// grant is open, or was counted lost and its task has not ended.
func (s *Store) AcceptsEnd(name identifier.Runner, incarnation identifier.Incarnation, id identifier.LeaseID, ref identifier.TaskRef) bool {
	if lease := s.Leases[id]; lease != nil {
		return lease.Runner == name && lease.Incarnation == incarnation
	}
	j := s.FindJob(ref.Job)
	if j == nil {
		return false
	}
	task := j.Task(ref)
	if task == nil || task.State.Ended() {
		return false
	}
	for _, lost := range task.LostLeases {
		if lost == id {
			return true
		}
	}
	return false
}
