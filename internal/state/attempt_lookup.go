package state

import (
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
)

// firstOccurrenceSuffix is the suffix of the name by which agents know a job that is not
// repeated.
const firstOccurrenceSuffix = ".0"

// FindJob returns the job with the given key, or nil if the store does not hold it. A job
// that is not repeated may also be named as its occurrence 0.
func (s *Store) FindJob(key identifier.JobKey) *Job {
	if j := s.Jobs[key]; j != nil {
		return j
	}
	plain, ok := strings.CutSuffix(string(key), firstOccurrenceSuffix)
	if !ok {
		return nil
	}
	j := s.Jobs[identifier.JobKey(plain)]
	if j == nil || j.Spec.Repeat != nil {
		return nil
	}
	return j
}

// AgentTaskRef returns the name by which agents know a task. It always includes the
// occurrence number.
func (s *Store) AgentTaskRef(ref identifier.TaskRef) identifier.TaskRef {
	if j := s.Jobs[ref.Job]; j != nil && j.Parent == "" {
		ref.Job = occurrenceKey(j.Key, 0)
	}
	return ref
}

// findTask looks up a task by a name that an agent may have used for it, and returns nil
// if the store does not hold it.
func (s *Store) findTask(ref identifier.TaskRef) (j *Job, task *Task) {
	j = s.FindJob(ref.Job)
	if j == nil {
		return nil, nil
	}
	return j, j.Task(ref)
}

// ResolveRun returns the lease of an attempt, whether open or counted lost, and the
// task's own name.
func (s *Store) ResolveRun(
	name identifier.Runner, incarnation identifier.Incarnation, ref identifier.TaskRef, attempt uint64,
) (id identifier.LeaseID, resolved identifier.TaskRef, ok bool) {
	j, task := s.findTask(ref)
	if j == nil {
		return 0, ref, false
	}
	ref.Job = j.Key
	if task == nil {
		return 0, ref, false
	}
	lease := s.Leases[task.Lease]
	if lease != nil && lease.Attempt == attempt && lease.belongsTo(name, incarnation) {
		return lease.ID, ref, true
	}
	for i, lost := range task.LostAttempts {
		if lost == attempt && i < len(task.LostLeases) {
			return task.LostLeases[i], ref, true
		}
	}
	return 0, ref, false
}

// AcceptsEnd reports whether the end of an attempt can still change the state: its lease
// is open, or the lease was counted lost and the task has not ended since.
func (s *Store) AcceptsEnd(name identifier.Runner, incarnation identifier.Incarnation, id identifier.LeaseID, ref identifier.TaskRef) bool {
	if lease := s.Leases[id]; lease != nil {
		return lease.belongsTo(name, incarnation)
	}
	_, task := s.findTask(ref)
	if task == nil || task.State.Ended() {
		return false
	}
	return slices.Contains(task.LostLeases, id)
}
