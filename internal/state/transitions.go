// The derived tallies: every change of a task's state and every opening or
// closing of a grant passes through here, so that counts never drift.

package state

import "orchidward/internal/api/identifier"

func (s *Store) countTasks(j *Job, step int, taskState TaskState, delta int) {
	counts := &j.stepCounts[step]
	switch {
	case taskState == Waiting:
		counts.waiting += delta
	case taskState == Placed:
		counts.placed += delta
	case taskState.Ended():
		counts.ended += delta
		if taskState == Succeeded {
			counts.succeeded += delta
		}
	}
	if taskState.Unplaced() {
		s.waitingTasks[j.Spec.Row] += int64(delta)
	}
}

func (s *Store) setTaskState(j *Job, ref identifier.TaskRef, taskState TaskState) {
	task := j.Task(ref)
	s.countTasks(j, ref.Step, task.State, -1)
	task.State = taskState
	s.foldChecksum(j.Seq, uint64(ref.Step), uint64(ref.Num), hashText(string(taskState)), uint64(task.Defects))
	s.countTasks(j, ref.Step, taskState, 1)
	if taskState.Ended() {
		s.clearDisplaced(j, task)
	}
}

// reindexJob puts the job on the lane it belongs on, or on none, and ends it once
// nothing of it is left to do.
func (s *Store) reindexJob(j *Job) {
	ready := false
	for i := range j.Steps {
		ready = ready || j.Ready(i)
	}
	early := ready && j.StartAt > s.Now
	if early {
		s.delayed.Add(j)
	} else {
		s.delayed.Remove(j)
	}
	queue := s.pending[j.Spec.Row]
	if queue == nil {
		queue = newJobQueue()
		s.pending[j.Spec.Row] = queue
	}
	switch {
	case ready && !early && j.queue == nil:
		queue.add(j)
		j.queue = queue
	case (!ready || early) && j.queue != nil:
		j.queue.remove(j)
		j.queue = nil
	}
}

func (s *Store) openLease(lease *Lease) {
	runner := s.Runners[lease.Runner]
	s.changedRunners[lease.Runner] = true
	s.foldChecksum(uint64(lease.ID), hashText(string(lease.Runner)), hashText(string(lease.Incarnation)))
	s.Leases[lease.ID] = lease
	runner.leases[lease.ID] = lease
	runner.used = runner.used.Plus(lease.Demand)
	s.inUse[lease.Row] = s.inUse[lease.Row].Plus(lease.Demand)
	s.Jobs[lease.Task.Job].openLeases++
}

func (s *Store) closeLease(lease *Lease) {
	runner := s.Runners[lease.Runner]
	s.changedRunners[lease.Runner] = true
	s.foldChecksum(uint64(lease.ID), hashText(lease.RevokeReason))
	delete(s.Leases, lease.ID)
	delete(runner.leases, lease.ID)
	runner.used = runner.used.Minus(lease.Demand)
	s.inUse[lease.Row] = s.inUse[lease.Row].Minus(lease.Demand)
	s.Jobs[lease.Task.Job].openLeases--
}

// markDisplaced marks a task as displaced by a closing; displaced work bids first.
func (s *Store) markDisplaced(j *Job, task *Task, drainID string) {
	if task.DisplacedBy == "" {
		j.displacedTasks++
		s.displaced.Add(j)
	}
	task.DisplacedBy = drainID
}

func (s *Store) clearDisplaced(j *Job, task *Task) {
	if task.DisplacedBy == "" {
		return
	}
	task.DisplacedBy = ""
	if j.displacedTasks--; j.displacedTasks == 0 {
		s.displaced.Remove(j)
	}
}

// DisplacedJobs lists the jobs with displaced tasks, oldest first.
func (s *Store) DisplacedJobs() []*Job {
	var out []*Job
	for _, v := range s.displaced.Values() {
		out = append(out, v.(*Job))
	}
	return out
}
