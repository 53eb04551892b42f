package state

import (
	"orchidward/internal/api/identifier"
)

// revokeLeases revokes those of the listed leases that are still open.
func (s *Store) revokeLeases(command *RevokeLeases) {
	for _, id := range command.Leases {
		if lease := s.Leases[id]; lease != nil {
			s.revokeLease(lease, command.Reason)
		}
	}
}

// revokeLease revokes a lease and those of the other members of its gang. A lease that is
// already revoked keeps its first reason.
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

// revokeGang revokes the leases of the other members of the lease's gang.
func (s *Store) revokeGang(lease *Lease) {
	reason := RevokeGangMemberGone
	if lease.RevokeReason == RevokePreempted && s.Level >= CatalogLevel {
		reason = RevokePreempted
	}
	for _, partner := range s.Partners(lease) {
		if partner.RevokeReason == "" {
			partner.RevokeReason = reason
			s.runnerIndex.markChanged(partner.Runner)
		}
	}
}

// Partners returns the open leases of the other members of the lease's gang, including
// revoked ones.
func (s *Store) Partners(lease *Lease) []*Lease {
	j := s.Jobs[lease.Task.Job]
	if !j.Spec.Steps[lease.Task.Step].Gang {
		return nil
	}
	var partners []*Lease
	for _, member := range j.Steps[lease.Task.Step] {
		partner := s.Leases[member.Lease]
		if partner != nil && partner.ID != lease.ID {
			partners = append(partners, partner)
		}
	}
	return partners
}

// reportEnds processes the attempt ends reported by a runner. The end of an attempt whose
// lease was counted lost can still decide the outcome of its task.
func (s *Store) reportEnds(command *ReportEnds) {
	s.runnerIndex.markChanged(command.Runner)
	for _, end := range command.Ends {
		lease := s.Leases[end.Lease]
		switch {
		case lease == nil:
			s.reportLateEnd(command.Runner, end)
		case lease.belongsTo(command.Runner, command.Incarnation):
			s.saveCheckpoint(lease, end.Checkpoint)
			s.endLease(lease, end.Outcome)
		}
	}
}

// reportLateEnd processes the end of an attempt whose lease was already counted lost.
func (s *Store) reportLateEnd(runner identifier.Runner, end End) {
	j, task := s.findTask(end.Task)
	if task == nil {
		return
	}
	attempt, wasLost := task.forgetLostLease(end.Lease)
	if !wasLost || task.State.Ended() {
		return
	}
	ref := end.Task
	ref.Job = j.Key
	switch end.Outcome {
	case OutcomeSuccess:
		s.succeedLate(j, ref, attempt)
	case OutcomeDefect:
		s.Runners[runner].recordOutcome(false)
		s.countLateDefect(j, ref, runner, attempt)
	default:
		if task.State == AwaitingRunner && task.LastRunner == runner {
			s.setTaskState(j, ref, Waiting)
			task.Reason = ""
		}
	}
	s.completeJob(j)
}

// countLateDefect counts a defect of an attempt that was counted lost.
func (s *Store) countLateDefect(j *Job, ref identifier.TaskRef, runner identifier.Runner, attempt uint64) {
	switch {
	case j.Terms == nil:
		s.countDefect(j, ref, runner)
	case s.Level < LateGangDefectLevel:
		s.countQueuedDefect(j, ref, runner, unknownAttempt)
	default:
		s.countQueuedDefect(j, ref, runner, attempt)
	}
}

// succeedLate completes a task when an attempt that was counted lost turns out to have
// succeeded. Services never succeed.
func (s *Store) succeedLate(j *Job, ref identifier.TaskRef, attempt uint64) {
	switch {
	case j.Terms == nil:
		s.succeedTask(j, ref, attempt)
	case j.Spec.Steps[ref.Step].Service:
	case s.Level < LateGangSuccessLevel:
		s.succeedTask(j, ref, attempt)
	default:
		s.succeedStepTasks(j, ref, attempt)
	}
}

// endLease closes a lease and determines the next state of its task.
func (s *Store) endLease(lease *Lease, outcome Outcome) {
	s.closeLease(lease)
	if outcome == OutcomeSuccess || outcome == OutcomeDefect {
		s.Runners[lease.Runner].recordOutcome(outcome == OutcomeSuccess)
	}
	j := s.Jobs[lease.Task.Job]
	j.recordLeaseEnded(lease, outcome, s.Now)
	if j.Terms != nil {
		s.endQueuedAttempt(j, lease, outcome)
	} else {
		s.endRowAttempt(j, lease, outcome)
	}
	s.completeJob(j)
}
