package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
)

// placeTasks applies the placements that are still valid.
func (s *Store) placeTasks(command *PlaceTasks) {
	for i := range command.Placements {
		placement := &command.Placements[i]
		if s.placementValid(placement) {
			s.applyPlacement(placement)
		}
	}
}

// placementValid checks a placement against the current state, which may differ from the
// state that the leader used for planning.
func (s *Store) placementValid(placement *Placement) bool {
	j := s.Jobs[placement.Job]
	if j == nil || placement.Step < 0 || placement.Step >= len(j.Steps) {
		return false
	}
	if len(placement.Tasks) == 0 || len(placement.Tasks) != len(placement.Runners) {
		return false
	}
	if !j.Ready(placement.Step) || j.StartAt > s.Now {
		return false
	}
	step := j.Spec.Steps[placement.Step]
	if step.Gang && len(placement.Tasks) != j.stepCounts[placement.Step].waiting {
		return false
	}
	check := newPlacementCheck(s, j, placement.Step)
	for i, num := range placement.Tasks {
		if !check.add(num, s.Runners[placement.Runners[i]]) {
			return false
		}
	}
	if !s.withinQuota(j, step.Demand, len(placement.Tasks)) {
		return false
	}
	return j.Terms != nil || s.inUse[j.Spec.Row].Plus(check.total).WithinLimit(s.RowLimit(j.Spec.Row))
}

// RowLimit returns the maximum total demand of the open leases of a row.
func (s *Store) RowLimit(row identifier.Row) job.Demand {
	return job.Demand{
		Cores: s.Limits.Int(row, limits.ColumnMaxCores),
		Mem:   s.Limits.Int(row, limits.ColumnMaxMem),
	}
}

// placementCheck accumulates the tasks of one placement while they are validated.
type placementCheck struct {
	store *Store
	job   *Job
	step  int
	spec  *job.Step

	tasks     map[int]bool
	perRunner map[identifier.Runner]int64
	used      map[identifier.Runner]job.Demand
	total     job.Demand
}

func newPlacementCheck(s *Store, j *Job, step int) *placementCheck {
	return &placementCheck{
		store:     s,
		job:       j,
		step:      step,
		spec:      &j.Spec.Steps[step],
		tasks:     map[int]bool{},
		perRunner: map[identifier.Runner]int64{},
		used:      map[identifier.Runner]job.Demand{},
	}
}

// add reports whether the task can be placed on the runner in addition to the tasks added
// before.
func (c *placementCheck) add(num int, runner *Runner) bool {
	task := c.job.Task(identifier.TaskRef{Job: c.job.Key, Step: c.step, Num: num})
	if task == nil || task.State != Waiting || c.tasks[num] {
		return false
	}
	if runner == nil || !c.runnerEligible(runner) {
		return false
	}
	if !c.spec.Demand.Fits(runner.Free().Minus(c.used[runner.Name])) {
		return false
	}
	c.tasks[num] = true
	c.perRunner[runner.Name]++
	c.used[runner.Name] = c.used[runner.Name].Plus(c.spec.Demand)
	c.total = c.total.Plus(c.spec.Demand)
	return true
}

func (c *placementCheck) runnerEligible(runner *Runner) bool {
	if runner.Gone || runner.cordonedBy != "" {
		return false
	}
	if !feasibility.HasLabels(runner.Labels, c.spec.Labels) || !c.job.EligibleOn(runner) {
		return false
	}
	if c.spec.MaxPerRunner <= 0 {
		return true
	}
	return c.store.StepTasksOn(c.job, c.step, runner)+c.perRunner[runner.Name] < c.spec.MaxPerRunner
}

// applyPlacement opens a lease for each task of a valid placement.
func (s *Store) applyPlacement(placement *Placement) {
	j := s.Jobs[placement.Job]
	gangAttempt := j.nextGangAttempt(placement.Step, placement.Tasks)
	for i, num := range placement.Tasks {
		ref := identifier.TaskRef{Job: placement.Job, Step: placement.Step, Num: num}
		lease := s.newLease(j, ref, s.Runners[placement.Runners[i]])
		task := j.Task(ref)
		task.Lease = lease.ID
		task.LastRunner = lease.Runner
		task.Reason = ""
		if j.Terms != nil {
			task.Attempt++
			if j.Spec.Steps[ref.Step].Gang {
				task.Attempt = gangAttempt
			}
			lease.Attempt = task.Attempt
			s.foldChecksum(lease.Attempt)
		}
		s.jobIndex.clearDisplaced(j, task)
		s.openLease(lease)
		j.recordLeaseOpened(lease, s.Distant(lease))
		s.setTaskState(j, ref, Placed)
	}
	s.jobIndex.update(j, s.Now)
}

// Distant reports whether an attempt runs outside the preferred rack of its step, where
// its data is.
func (s *Store) Distant(lease *Lease) bool {
	preferred := s.Jobs[lease.Task.Job].Spec.Steps[lease.Task.Step].PreferredRack
	return preferred != "" && preferred != s.Runners[lease.Runner].Rack
}

// nextGangAttempt returns an attempt number that none of the tasks has used, for all of
// them to share.
func (j *Job) nextGangAttempt(step int, nums []int) uint64 {
	var next uint64
	for _, num := range nums {
		next = max(next, j.Steps[step][num].Attempt+1)
	}
	return next
}

func (s *Store) newLease(j *Job, ref identifier.TaskRef, runner *Runner) *Lease {
	step := j.Spec.Steps[ref.Step]
	lease := &Lease{
		ID:          s.NextLease,
		Task:        ref,
		Runner:      runner.Name,
		Incarnation: runner.Incarnation,
		Row:         j.Spec.Row,
		Demand:      step.Demand,
		ExpectedRun: step.ExpectedRun,
		OpenedAt:    s.Now,
	}
	s.NextLease++
	return lease
}

// StepTasksOn returns the number of tasks of a step with an open lease on the runner,
// summed over all occurrences of the job. This is the number that the step's MaxPerRunner
// limits.
func (s *Store) StepTasksOn(j *Job, step int, r *Runner) int64 {
	var count int64
	for _, lease := range r.leases {
		if lease.Task.Step == step && s.Jobs[lease.Task.Job].rootKey() == j.rootKey() {
			count++
		}
	}
	return count
}

// rootKey returns the key that the job was submitted under: for an occurrence, the key of
// the repeated job.
func (j *Job) rootKey() identifier.JobKey {
	if j.Parent != "" {
		return j.Parent
	}
	return j.Key
}
