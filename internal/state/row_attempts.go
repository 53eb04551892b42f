package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
)

// endRowAttempt determines the next state of a task of a row's job whose lease has ended.
func (s *Store) endRowAttempt(j *Job, lease *Lease, outcome Outcome) {
	task := j.Task(lease.Task)
	if task.Lease != lease.ID || task.State != Placed {
		return
	}
	task.Lease = 0
	switch {
	case outcome == OutcomeSuccess:
		s.setTaskState(j, lease.Task, Succeeded)
	case outcome == OutcomeDefect:
		s.endWithDefect(j, lease)
	case j.ending():
		if outcome == outcomeLost {
			task.recordLostLease(lease)
		}
		s.setTaskState(j, lease.Task, Cancelled)
		task.Reason = lease.RevokeReason
	default:
		s.rescheduleTask(j, lease, outcome)
	}
}

func (s *Store) endWithDefect(j *Job, lease *Lease) {
	s.setTaskState(j, lease.Task, Waiting)
	s.countDefect(j, lease.Task, lease.Runner)
	s.revokeGang(lease)
	if j.Task(lease.Task).State == Waiting && j.ending() {
		s.setTaskState(j, lease.Task, Cancelled)
	}
}

// rescheduleTask makes a task that lost its attempt wait for a new placement, for its
// runner to return, or for the end of the drain, depending on the row's settings.
func (s *Store) rescheduleTask(j *Job, lease *Lease, outcome Outcome) {
	task := j.Task(lease.Task)
	row := j.Spec.Row
	s.setTaskState(j, lease.Task, Waiting)
	if outcome == outcomeLost || outcome == OutcomeLeaseLapsed {
		task.recordLostLease(lease)
		s.revokeGang(lease)
	}
	if outcome == outcomeLost && s.Limits.Cell(row, limits.ColumnOnLoss) == limits.OnLossAwaitRunner {
		s.setTaskState(j, lease.Task, AwaitingRunner)
		task.Reason = "held until runner " + string(lease.Runner) + " answers"
		return
	}
	if lease.RevokeReason == RevokePreempted {
		s.inheritDisplacement(j, task)
	}
	drain := s.revokingDrain(lease)
	if drain == nil {
		return
	}
	s.jobIndex.markDisplaced(j, task, drain.ID)
	if !drain.Fits && s.Limits.Cell(row, limits.ColumnOnOutage) == limits.OnOutageSuspend {
		s.setTaskState(j, lease.Task, Suspended)
		task.Reason = "waits out closing " + drain.ID
	}
}

// inheritDisplacement marks a task that was preempted by displaced work as displaced by
// the same drain, so that it may in turn preempt strictly cheaper work.
func (s *Store) inheritDisplacement(j *Job, task *Task) {
	if s.Level < CatalogLevel || s.Limits.Cell(j.Spec.Row, limits.ColumnOnOutage) != limits.OnOutagePreempt {
		return
	}
	for _, id := range s.DrainIDs() {
		drain := s.Drains[id]
		if drain.Stage.Cordons() && drain.PreflightDone && !drain.Fits {
			s.jobIndex.markDisplaced(j, task, id)
			return
		}
	}
}

// countDefect counts a reported defect against the task's allowed defects and fails the
// job once they are used up.
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
