package state

import (
	"net/http"

	"orchidward/internal/api/identifier"
)

// reportRunner applies a runner's report. A new incarnation ends all leases of the
// previous one as lost; a report of a previous incarnation is rejected.
func (s *Store) reportRunner(command *ReportRunner) Result {
	runner := s.Runners[command.Runner]
	switch {
	case runner == nil && len(s.Runners) >= MaxRunners:
		return retryLater(http.StatusServiceUnavailable, codeRunnersFull, "no room for another runner", retryAfterExpiry)
	case runner == nil:
		runner = s.addRunner(command.Runner, command.Incarnation)
	case runner.WasIncarnation(command.Incarnation):
		return rejected(http.StatusConflict, codeOldIncarnation, "a newer incarnation of this runner has reported")
	case runner.Incarnation != command.Incarnation:
		s.saveCheckpoints(command.Checkpoints, runner)
		s.loseLeases(runner)
		runner.startIncarnation(command.Incarnation)
		s.releaseAwaiting(runner.Name)
	}
	runner.update(command)
	s.runnerIndex.markChanged(command.Runner)
	s.updateRackDrains()
	return accepted(http.StatusOK, nil)
}

func (s *Store) addRunner(name identifier.Runner, incarnation identifier.Incarnation) *Runner {
	runner := &Runner{Name: name, Incarnation: incarnation}
	runner.resetDerived()
	s.Runners[name] = runner
	s.runnerIndex.add(name)
	return runner
}

// loseRunner counts a runner as lost, unless another incarnation of it has reported.
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

// loseLeases ends all leases of the runner as lost.
func (s *Store) loseLeases(runner *Runner) {
	for _, id := range runner.LeaseIDs() {
		s.endLease(s.Leases[id], outcomeLost)
	}
}

// releaseAwaiting returns the tasks that waited for the runner to the Waiting state: its
// new incarnation has reported and runs none of them.
func (s *Store) releaseAwaiting(name identifier.Runner) {
	s.eachUnfinishedTask(func(j *Job, ref identifier.TaskRef, task *Task) {
		if task.State == AwaitingRunner && task.LastRunner == name {
			s.setTaskState(j, ref, Waiting)
			task.Reason = ""
		}
	})
}
