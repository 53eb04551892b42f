package invariants

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// gangKey identifies a step whose tasks form a gang.
type gangKey struct {
	job  identifier.JobKey
	step int
}

// checkGangs reports gangs of a job that have run incomplete for too long.
func (c *Checker) checkGangs(key identifier.JobKey, j *Job) {
	for i, step := range j.Spec.Steps {
		if step.Gang {
			c.checkGang(gangKey{key, i}, step)
		}
	}
}

func (c *Checker) checkGang(key gangKey, step job.Step) {
	now := c.cluster.Time()
	running, missing := c.countMembers(key, step)
	since := c.incompleteGangs[key]
	if running == 0 || missing == 0 {
		if since != 0 {
			c.Span(SpanIncompleteGang, now-since)
		}
		delete(c.incompleteGangs, key)
		return
	}
	if since == 0 {
		since = now
		c.incompleteGangs[key] = now
	}
	limit := int64(MaxIncompleteGang)
	if c.cluster.Undisturbed() {
		limit = maxIncompleteGangUndisturbed
	}
	if now-since > limit {
		c.Violate(GangRunsTogether, "%s step %d has run in part for %d ms: %d run, %d do not", key.job, key.step, now-since, running, missing)
	}
}

// countMembers counts the members of a gang that are running, and those that are neither
// running nor succeeded.
func (c *Checker) countMembers(key gangKey, step job.Step) (running, missing int) {
	for _, ref := range taskRefs(key.job, key.step, step) {
		t := c.tasks[ref]
		switch {
		case len(c.liveRunners(t)) > 0:
			running++
		case !t.succeeded():
			missing++
		}
	}
	return running, missing
}
