package invariants

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/runner"
)

// runnerHistory is what was seen of a runner.
type runnerHistory struct {
	leaving      bool
	leavingSince int64
	// unacked are the ends of attempts that the control plane has not acknowledged.
	unacked        map[identifier.LeaseID]runner.Event
	used           job.Demand
	pollAnsweredAt int64
}

// runner returns the history of a runner, a new one if it was not seen yet.
func (c *Checker) runner(name string) *runnerHistory {
	r := c.runners[name]
	if r == nil {
		r = &runnerHistory{unacked: map[identifier.LeaseID]runner.Event{}}
		c.runners[name] = r
	}
	return r
}

// RunnerLeaving records that the control plane answered a poll in which a runner
// said that it leaves.
func (c *Checker) RunnerLeaving(name string) {
	r := c.runner(name)
	if r.leaving {
		return
	}
	c.Counts[CountLeaving]++
	r.leaving = true
	r.leavingSince = c.cluster.Time()
}

// RunnerStaying records that a runner no longer means to leave.
func (c *Checker) RunnerStaying(name string) { c.runner(name).leaving = false }

// PollAnswered records that a poll of a runner was answered.
func (c *Checker) PollAnswered(name string) {
	c.runner(name).pollAnsweredAt = c.cluster.Time()
}

// RunnerDead records that a runner died, and all that ran on it.
func (c *Checker) RunnerDead(name string) {
	for _, t := range c.tasks {
		delete(t.runningOn, name)
	}
	r := c.runner(name)
	r.leaving = false
	r.used = job.Demand{}
	clear(r.unacked)
}

// RunnerLogLost records that a runner died with the last of its event log unread:
// from then on an end that was never seen is counted, and is no violation.
func (c *Checker) RunnerLogLost(name string) {
	c.eventsLost = true
	c.RunnerDead(name)
}

// RunnerEvent records what happened to an attempt on a runner.
func (c *Checker) RunnerEvent(name string, e runner.Event) {
	c.Counts[EventCount(e.Kind)]++
	c.cluster.Logf("%s %s lease %d %s", name, e.Kind, e.Lease, e.Task)
	switch e.Kind {
	case runner.EventStart:
		c.attemptStarted(name, e)
	case runner.EventAcked:
		c.endAcked(name, e.Lease)
	default:
		c.attemptEnded(name, e)
	}
}

func (c *Checker) attemptEnded(name string, e runner.Event) {
	now := c.cluster.Time()
	t := c.task(e.Task)
	delete(t.runningOn, name)
	r := c.runner(name)
	r.used = r.used.Minus(e.Demand)
	r.unacked[e.Lease] = e
	switch e.Kind {
	case runnerapi.OutcomeDefect:
		t.defects++
	case runnerapi.OutcomeSuccess:
		t.succeededAt = now
		t.succeededOn = name
		t.succeededIncarnation = c.cluster.Runner(name).Incarnation
	case runnerapi.OutcomeStopped:
		c.attemptStopped(e)
	}
}

// attemptStopped measures how long an attempt of a cancelled job ran on.
func (c *Checker) attemptStopped(e runner.Event) {
	j := c.Jobs[e.Task.Job]
	if j == nil || j.CancelledAt == 0 {
		return
	}
	ranOn := c.cluster.Time() - j.CancelledAt
	c.Span(spanCancelledRun, ranOn)
	if c.cluster.Quiet() {
		c.Span(SpanCancelToStop, ranOn)
	}
}

// endAcked records that the control plane acknowledged the end of an attempt.
func (c *Checker) endAcked(name string, lease identifier.LeaseID) {
	r := c.runner(name)
	e, ok := r.unacked[lease]
	if !ok {
		return
	}
	delete(r.unacked, lease)
	t := c.task(e.Task)
	switch e.Kind {
	case runnerapi.OutcomeSuccess:
		t.successAckedAt = c.cluster.Time()
	case runnerapi.OutcomeDefect:
		t.ackedDefects++
		t.lastDefectAckedAt = c.cluster.Time()
	}
}
