package invariants

import (
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/runner"
)

// attemptStarted checks every invariant that a start can violate.
func (c *Checker) attemptStarted(name string, e runner.Event) {
	j := c.Jobs[e.Task.Job]
	if j == nil {
		c.Violate(knownJob, "%s started %s which nobody submitted", name, e.Task)
		return
	}
	if !j.started && j.AckedAt > 0 && j.StartAt == 0 {
		c.Span(SpanAdmissionToStart, c.cluster.Time()-j.AckedAt)
	}
	j.started = true
	t := c.task(e.Task)
	c.checkStartsOnce(t, name, e)
	c.checkStartsInOrder(j, e)
	c.checkDefects(j, t, e)
	c.checkStartAllowed(j, name, e)
	c.checkPlacement(j.Spec.Steps[e.Task.Step], name, e)
	t.runningOn[name] = true
}

// checkStartsOnce reports a start of a task that is still running or has succeeded.
func (c *Checker) checkStartsOnce(t *taskHistory, name string, e runner.Event) {
	now := c.cluster.Time()
	for _, other := range c.liveRunners(t) {
		c.Violate(RunsOnce, "%s started on %s while it runs on %s", e.Task, name, other)
	}
	if t.successAckedAt > 0 && now > t.successAckedAt+startInFlight {
		c.Violate(RunsOnce, "%s started again %d ms after its end was acknowledged", e.Task, now-t.successAckedAt)
	}
	if !t.succeeded() || t.successAckedAt > 0 {
		return
	}
	// The success was not acknowledged: the control plane can know of it only if the
	// runner is still reachable and has not restarted.
	reachable := now < c.runner(t.succeededOn).pollAnsweredAt+runnerReachableFor
	if reachable && c.cluster.Runner(t.succeededOn).Incarnation == t.succeededIncarnation {
		c.Violate(RunsOnce, "%s started again %d ms after it succeeded on %s, which is in touch", e.Task, now-t.succeededAt, t.succeededOn)
	}
	c.Counts[CountUndecidedRerun]++
}

// checkStartsInOrder reports a start before the steps it depends on have succeeded, or
// before the start time of its job.
func (c *Checker) checkStartsInOrder(j *Job, e runner.Event) {
	for _, dependency := range j.Spec.Steps[e.Task.Step].After {
		for i, step := range j.Spec.Steps {
			if step.Name == dependency {
				c.checkStepSucceeded(i, step, e)
			}
		}
	}
	if early := j.StartAt - c.cluster.Time(); early > startTimeTolerance {
		c.Violate(StartsInOrder, "%s started %d ms before its start time", e.Task, early)
	}
}

func (c *Checker) checkStepSucceeded(dependency int, step job.Step, e runner.Event) {
	for _, ref := range taskRefs(e.Task.Job, dependency, step) {
		switch {
		case c.tasks[ref].succeeded():
		case c.eventsLost:
			c.Counts[CountUnseenEnds]++
		default:
			c.Violate(StartsInOrder, "%s started before step %s succeeded", e.Task, step.Name)
		}
	}
}

// checkDefects reports a start of a task that has used up its allowed defects.
func (c *Checker) checkDefects(j *Job, t *taskHistory, e runner.Event) {
	allowed := int(j.Spec.Steps[e.Task.Step].MaxDefects)
	if t.ackedDefects >= allowed && c.cluster.Time() > t.lastDefectAckedAt+startInFlight {
		c.Violate(DefectsBounded, "%s started after %d acknowledged defects of %d allowed", e.Task, t.ackedDefects, allowed)
	}
}

// checkStartAllowed reports a start after its job was cancelled, after its runner was
// known to leave, or after its domain was drained.
func (c *Checker) checkStartAllowed(j *Job, name string, e runner.Event) {
	now := c.cluster.Time()
	if j.CancelledAt > 0 {
		elapsed := now - j.CancelledAt
		c.Span(SpanStartAfterCancel, elapsed)
		if elapsed > maxStartAfterCancel {
			c.Violate(CancelStopsWork, "%s started on %s %d ms after its cancel was acknowledged", e.Task, name, elapsed)
		}
	}
	if r := c.runner(name); r.leaving {
		elapsed := now - r.leavingSince
		c.Span(SpanStartAfterLeaving, elapsed)
		if elapsed > maxStartAfterLeaving {
			c.Violate(NoStartOnLeavingRunner, "%s started on %s %d ms after it was known to leave", e.Task, name, elapsed)
		}
	}
	if since, drained := c.drainedSince[c.cluster.Runner(name).Domain]; drained {
		elapsed := now - since
		c.Span(SpanStartAfterDrain, elapsed)
		if elapsed > maxStartAfterDrain {
			c.Violate(NoStartInDrainedDomain, "%s started on %s %d ms after its domain's drain was acknowledged", e.Task, name, elapsed)
		}
	}
}

// checkPlacement reports a start on a runner without the required labels or capacity, and
// adds its demand to the runner.
func (c *Checker) checkPlacement(step job.Step, name string, e runner.Event) {
	view := c.cluster.Runner(name)
	if !hasLabels(view.Labels, step.Labels) {
		c.Violate(PlacementFits, "%s started on %s which lacks a label", e.Task, name)
	}
	r := c.runner(name)
	r.used = r.used.Plus(step.Demand)
	if r.used.Cores > view.Capacity.Cores || r.used.Mem > view.Capacity.Mem {
		c.Violate(PlacementFits, "%s exceeds the capacity of %s", e.Task, name)
	}
}

// hasLabels reports whether all required labels are present. It deliberately does not use
// the scheduler's own comparison of labels.
func hasLabels(have, required []identifier.Label) bool {
	for _, label := range required {
		if !slices.Contains(have, label) {
			return false
		}
	}
	return true
}
