package state

// saveCheckpoint stores the checkpoint reported by an attempt for the next attempt of the
// task. The members of a gang share one checkpoint: the last one that any of them
// reported.
func (s *Store) saveCheckpoint(lease *Lease, data string) {
	j := s.Jobs[lease.Task.Job]
	step := j.Spec.Steps[lease.Task.Step]
	if data == "" || j.Terms == nil || !step.Checkpoints {
		return
	}
	if step.Gang {
		for _, member := range j.Steps[lease.Task.Step] {
			member.Checkpoint = data
		}
		return
	}
	j.Task(lease.Task).Checkpoint = data
}

// saveCheckpoints stores the last checkpoints of a runner's attempts before they are
// counted lost.
func (s *Store) saveCheckpoints(checkpoints []Checkpoint, runner *Runner) {
	for _, checkpoint := range checkpoints {
		lease := s.Leases[checkpoint.Lease]
		if lease != nil && lease.belongsTo(runner.Name, runner.Incarnation) {
			s.saveCheckpoint(lease, checkpoint.Data)
		}
	}
}
