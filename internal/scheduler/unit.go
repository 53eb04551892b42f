package scheduler

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// unit is the smallest piece of work that is placed atomically: a gang, or a single task.
type unit struct {
	job  *state.Job
	step int
	// taskNumbers are the indexes of the unit's tasks in the step.
	taskNumbers []int
}

func (u unit) spec() *job.Step { return &u.job.Spec.Steps[u.step] }

func (u unit) task(num int) *state.Task { return u.job.Steps[u.step][num] }

// demand returns the total demand of the unit's tasks.
func (u unit) demand() job.Demand {
	var total job.Demand
	for range u.taskNumbers {
		total = total.Plus(u.spec().Demand)
	}
	return total
}

// firstTask returns the unit's first task, which identifies the unit.
func (u unit) firstTask() identifier.TaskRef {
	return identifier.TaskRef{Job: u.job.Key, Step: u.step, Num: u.taskNumbers[0]}
}

// unitShape is the part of a unit that decides whether it fits: if one unit does not fit,
// no other unit of the same shape does.
type unitShape struct {
	demand job.Demand
	// constraints encodes all placement constraints of the unit besides resources.
	constraints string
	count       int
}

// placementResult is the outcome of trying to place one or more units.
type placementResult struct {
	placed bool
	// newShape is false if every unit that was not placed has a shape that was already
	// known not to fit.
	newShape bool
	// deferred is set if a unit fits but waits for a better node.
	deferred bool
	// overQuota is set if a unit is held back by its tenant's quota.
	overQuota bool
}

func (r placementResult) or(other placementResult) placementResult {
	return placementResult{
		placed:   r.placed || other.placed,
		newShape: r.newShape || other.newShape,
		deferred: r.deferred || other.deferred,

		overQuota: r.overQuota || other.overQuota,
	}
}

// tryJob tries to place every ready step of a job, unit by unit.
func (c *cycle) tryJob(j *state.Job, tryUnit func(u unit) placementResult) placementResult {
	var total placementResult
	for step, spec := range j.Spec.Steps {
		if !j.Ready(step) {
			continue
		}
		waiting := j.WaitingTasks(step)
		if spec.Gang {
			total = total.or(tryUnit(unit{job: j, step: step, taskNumbers: waiting}))
			continue
		}
		for _, num := range waiting {
			one := tryUnit(unit{job: j, step: step, taskNumbers: []int{num}})
			total = total.or(one)
			if !one.placed && !one.deferred || c.full() {
				break
			}
		}
	}
	return total
}

// place adds the placement of a unit to the plan, with its i-th task on the i-th node.
func (c *cycle) place(u unit, nodes []*node) {
	placement := state.Placement{Job: u.job.Key, Step: u.step, Tasks: u.taskNumbers}
	for _, n := range nodes {
		placement.Runners = append(placement.Runners, n.runner.Name)
	}
	c.placedTasks += len(u.taskNumbers)
	c.plan.Placements = append(c.plan.Placements, placement)
}
