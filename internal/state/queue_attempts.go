package state

import "orchidward/internal/api/identifier"

// unknownAttempt is no number of an attempt: they count from 1.
const unknownAttempt uint64 = 0

// endQueuedAttempt determines the next state of a task of a queue's job whose lease has
// ended.
func (s *Store) endQueuedAttempt(j *Job, lease *Lease, outcome Outcome) {
	task := j.Task(lease.Task)
	service := j.Spec.Steps[lease.Task.Step].Service
	if task.Lease == lease.ID {
		task.Lease = 0
	}
	if task.State != Placed {
		return
	}
	if outcome == outcomeLost || outcome == OutcomeLeaseLapsed {
		task.recordLostLease(lease)
	}
	if outcome == OutcomeSuccess && !service {
		s.succeedStepTasks(j, lease.Task, lease.Attempt)
		return
	}
	if j.ending() {
		s.setTaskState(j, lease.Task, Cancelled)
		task.Reason = lease.RevokeReason
		return
	}
	s.setTaskState(j, lease.Task, Waiting)
	if lease.RevokeReason == RevokeStalled || lease.RevokeReason == RevokeSlow {
		task.AvoidRunner = lease.Runner
	}
	if drain := s.revokingDrain(lease); drain != nil {
		s.jobIndex.markDisplaced(j, task, drain.ID)
	}
	s.revokeGang(lease)
	if outcome == OutcomeDefect && !service {
		s.countQueuedDefect(j, lease.Task, lease.Runner, lease.Attempt)
	}
}

// succeedStepTasks completes the task whose attempt succeeded, and every other member of
// its gang: the success of one member stands for all of them.
func (s *Store) succeedStepTasks(j *Job, ref identifier.TaskRef, attempt uint64) {
	s.succeedTask(j, ref, attempt)
	if !j.Spec.Steps[ref.Step].Gang {
		return
	}
	for num, member := range j.Steps[ref.Step] {
		if !member.State.Ended() {
			s.succeedTask(j, identifier.TaskRef{Job: j.Key, Step: ref.Step, Num: num}, attempt)
		}
	}
}

// succeedTask completes a task, and revokes its open lease unless that belongs to the
// attempt that succeeded. Attempts of row jobs have no number: the caller has closed the
// lease of the one that succeeded.
func (s *Store) succeedTask(j *Job, ref identifier.TaskRef, attempt uint64) {
	task := j.Task(ref)
	lease := s.Leases[task.Lease]
	if lease != nil && (j.Terms == nil || lease.Attempt != attempt) {
		s.revokeLease(lease, RevokeDoneElsewhere)
	}
	s.setTaskState(j, ref, Succeeded)
	task.Reason = ""
}

// completeHalfEndedGangs completes the gangs of which an earlier version counted only some
// members as succeeded.
func (s *Store) completeHalfEndedGangs() {
	s.eachUnfinishedTask(func(j *Job, ref identifier.TaskRef, task *Task) {
		gang := j.Terms != nil && j.Spec.Steps[ref.Step].Gang
		if gang && !task.State.Ended() && j.stepCounts[ref.Step].succeeded > 0 {
			s.succeedTask(j, ref, unknownAttempt)
		}
	})
}

// countQueuedDefect counts a failed attempt against the maximum in the terms of the job's
// queue. An attempt of a gang counts once however many members report it; the count is
// kept with the first member. Services may fail any number of times.
func (s *Store) countQueuedDefect(j *Job, ref identifier.TaskRef, runner identifier.Runner, attempt uint64) {
	task := j.Task(ref)
	task.AvoidRunner = runner
	step := j.Spec.Steps[ref.Step]
	if step.Service {
		return
	}
	counted := task
	if step.Gang {
		counted = j.Steps[ref.Step][0]
	}
	if !s.recordDefectiveAttempt(counted, attempt) {
		return
	}
	counted.Defects++
	s.foldChecksum(j.Seq, uint64(counted.Defects))
	if counted.Defects < j.Terms.MaxAttempts || j.ending() {
		return
	}
	s.failQueuedJob(j, ref)
}

// recordDefectiveAttempt records that an attempt has failed, and reports whether it was not
// recorded before.
func (s *Store) recordDefectiveAttempt(counted *Task, attempt uint64) bool {
	if s.Level >= LateGangDefectLevel {
		return counted.recordDefectiveAttempt(attempt)
	}
	if attempt != unknownAttempt && counted.LastDefectiveAttempt >= attempt {
		return false
	}
	counted.LastDefectiveAttempt = max(counted.LastDefectiveAttempt, attempt)
	return true
}

// convertDefectiveAttempts replaces the number that earlier levels keep of the last failed
// attempt by the list of all of them.
func (s *Store) convertDefectiveAttempts() {
	s.eachUnfinishedTask(func(_ *Job, _ identifier.TaskRef, task *Task) {
		if task.LastDefectiveAttempt != unknownAttempt {
			task.recordDefectiveAttempt(task.LastDefectiveAttempt)
			task.LastDefectiveAttempt = unknownAttempt
		}
	})
}

// failQueuedJob fails a job one of whose tasks has used up its attempts.
func (s *Store) failQueuedJob(j *Job, ref identifier.TaskRef) {
	task := j.Task(ref)
	if task.State == Placed {
		s.revokeLease(s.Leases[task.Lease], RevokeJobFailed)
	} else if !task.State.Ended() {
		s.setTaskState(j, ref, Failed)
		task.Reason = "allowed failures used up"
	}
	j.Failure = "task " + ref.String() + " used up its allowed failures"
	s.abortTasks(j, RevokeJobFailed)
}
