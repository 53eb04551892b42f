package scheduler

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// unit is what is placed at once: a gang, or one task.
type unit struct {
	job  *state.Job
	step int
	// taskNumbers are the numbers of its tasks in the step.
	taskNumbers []int
}

func (u unit) spec() *job.Step { return &u.job.Spec.Steps[u.step] }

func (u unit) task(num int) *state.Task { return u.job.Steps[u.step][num] }

// demand is that of all its tasks.
func (u unit) demand() job.Demand {
	var total job.Demand
	for range u.taskNumbers {
		total = total.Plus(u.spec().Demand)
	}
	return total
}

// firstTask names the unit by its first task.
func (u unit) firstTask() identifier.TaskRef {
	return identifier.TaskRef{Job: u.job.Key, Step: u.step, Num: u.taskNumbers[0]}
}

// unitShape is what makes units alike: when one does not fit, none of that shape does.
type unitShape struct {
	demand job.Demand
	// constraints is the text of all that the unit asks for besides resources.
	constraints string
	count       int
}

// placementResult is what came of trying to place units.
type placementResult struct {
	placed bool
	// newShape is false when every unit that was not placed has a shape that was
	// already known not to fit.
	newShape bool
	// deferred says that a unit fits, and waits for a better node.
	deferred bool
	// overQuota says that a unit waits for its tenant to use less.
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

// place adds the placement of a unit, its i-th task on the i-th node, to the plan.
func (c *cycle) place(u unit, nodes []*node) {
	placement := state.Placement{Job: u.job.Key, Step: u.step, Tasks: u.taskNumbers}
	for _, n := range nodes {
		placement.Runners = append(placement.Runners, n.runner.Name)
	}
	c.placedTasks += len(u.taskNumbers)
	c.plan.Placements = append(c.plan.Placements, placement)
}
