package invariants

import (
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// taskHistory is what was observed of a task on all runners.
type taskHistory struct {
	// runningOn is the set of runners with an attempt that has not ended.
	runningOn map[string]bool
	// defects counts the attempts that ended with a defect, acknowledged or not.
	defects int

	succeededAt          int64
	succeededOn          string
	succeededIncarnation int

	successAckedAt    int64
	ackedDefects      int
	lastDefectAckedAt int64
}

func (t *taskHistory) succeeded() bool { return t != nil && t.succeededAt > 0 }

// task returns the history of a task, creating it if needed.
func (c *Checker) task(ref identifier.TaskRef) *taskHistory {
	t := c.tasks[ref]
	if t == nil {
		t = &taskHistory{runningOn: map[string]bool{}}
		c.tasks[ref] = t
	}
	return t
}

// taskRefs returns the tasks of a step.
func taskRefs(key identifier.JobKey, step int, spec job.Step) []identifier.TaskRef {
	refs := make([]identifier.TaskRef, spec.Tasks)
	for i := range refs {
		refs[i] = identifier.TaskRef{Job: key, Step: step, Num: i}
	}
	return refs
}

// liveRunners returns the live runners with an attempt of a task, in order of name.
func (c *Checker) liveRunners(t *taskHistory) []string {
	if t == nil {
		return nil
	}
	var live []string
	for _, name := range slices.Sorted(maps.Keys(t.runningOn)) {
		if c.cluster.Runner(name).Live {
			live = append(live, name)
		}
	}
	return live
}

// checkConcurrentRuns reports tasks that run on more than one runner at the same time.
func (c *Checker) checkConcurrentRuns() {
	for ref, t := range c.tasks {
		if len(t.runningOn) < 2 {
			continue
		}
		if live := c.liveRunners(t); len(live) > 1 {
			c.Violate(RunsOnce, "%s runs on %d runners at once", ref, len(live))
		}
	}
}
