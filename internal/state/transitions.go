package state

import "orchidward/internal/api/identifier"

// setTaskState changes the state of a task. Every state change goes through it, so that
// the counts and the checksum stay consistent.
func (s *Store) setTaskState(j *Job, ref identifier.TaskRef, taskState TaskState) {
	task := j.Task(ref)
	s.jobIndex.countTasks(j, ref.Step, task.State, -1)
	task.State = taskState
	if taskState == Succeeded {
		j.recordTaskSucceeded(ref, s.Now)
	}
	s.foldChecksum(j.Seq, uint64(ref.Step), uint64(ref.Num), hashText(string(taskState)), uint64(task.Defects))
	s.jobIndex.countTasks(j, ref.Step, taskState, 1)
	if taskState.Ended() {
		s.jobIndex.clearDisplaced(j, task)
	}
}

// openLease adds a new lease.
func (s *Store) openLease(lease *Lease) {
	s.runnerIndex.markChanged(lease.Runner)
	s.foldChecksum(uint64(lease.ID), hashText(string(lease.Runner)), hashText(string(lease.Incarnation)))
	s.Leases[lease.ID] = lease
	s.attachLease(lease)
}

// attachLease adds an open lease to the totals of its runner, row, tenant and job.
func (s *Store) attachLease(lease *Lease) {
	runner := s.Runners[lease.Runner]
	runner.leases[lease.ID] = lease
	runner.used = runner.used.Plus(lease.Demand)
	s.inUse[lease.Row] = s.inUse[lease.Row].Plus(lease.Demand)
	s.countTenantUse(lease, s.tenantUse[s.TenantOf(lease)].Plus(lease.Demand))
	s.Jobs[lease.Task.Job].openLeases++
}

// closeLease removes a lease and releases its resources.
func (s *Store) closeLease(lease *Lease) {
	runner := s.Runners[lease.Runner]
	s.runnerIndex.markChanged(lease.Runner)
	s.foldChecksum(uint64(lease.ID), hashText(lease.RevokeReason))
	delete(s.Leases, lease.ID)
	delete(runner.leases, lease.ID)
	runner.used = runner.used.Minus(lease.Demand)
	s.inUse[lease.Row] = s.inUse[lease.Row].Minus(lease.Demand)
	s.countTenantUse(lease, s.tenantUse[s.TenantOf(lease)].Minus(lease.Demand))
	s.Jobs[lease.Task.Job].openLeases--
}
