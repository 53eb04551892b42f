// What runners say of themselves, committed whenever it changes.

package state

import (
	"orchidward/internal/api/identifier"
)

func (s *Store) reportRunner(command *ReportRunner) Result {
	runner := s.Runners[command.Runner]
	switch {
	case runner == nil && len(s.Runners) >= MaxRunners:
		return Result{Status: 503, Code: "runners-full", Message: "no room for another runner", RetryAfter: 60000}
	case runner == nil:
		runner = &Runner{Name: command.Runner, Incarnation: command.Incarnation, leases: map[identifier.LeaseID]*Lease{}}
		s.Runners[command.Runner] = runner
		s.runnerIndex.add(command.Runner)
	case runner.WasIncarnation(command.Incarnation):
		return rejected(409, "old-incarnation", "a newer incarnation of this runner has reported")
	case runner.Incarnation != command.Incarnation:
		s.saveCheckpoints(command.Checkpoints, runner)
		s.loseLeases(runner)
		runner.startIncarnation(command.Incarnation)
		s.releaseAwaiting(runner.Name)
	}
	runner.Capacity, runner.Labels, runner.Domain, runner.Rack = command.Capacity, command.Labels, command.Domain, command.Rack
	runner.Draining, runner.DepartsAt, runner.Gone, runner.Pool = command.Draining, command.DepartsAt, false, command.Pool
	runner.AgentAddr = command.AgentAddr
	s.runnerIndex.markChanged(command.Runner)
	s.updateRackDrains()
	return Result{Status: 200}
}

// releaseAwaiting lets tasks held for a runner go: its new incarnation has answered, and
// remembers nothing.
func (s *Store) releaseAwaiting(name identifier.Runner) {
	s.eachUnfinishedTask(func(j *Job, ref identifier.TaskRef, task *Task) {
		if task.State == AwaitingRunner && task.LastRunner == name {
			s.setTaskState(j, ref, Waiting)
			task.Reason = ""
		}
	})
}
