package invariants

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/runner"
)

// runnerHistory is what was observed of a runner.
type runnerHistory struct {
	leaving      bool
	leavingSince int64
	// unacked holds the attempt ends that the control plane has not acknowledged.
	unacked        map[identifier.LeaseID]runner.Event
	used           job.Demand
	pollAnsweredAt int64
}

// runner returns the history of a runner, creating it if needed.
func (c *Checker) runner(name string) *runnerHistory {
	r := c.runners[name]
	if r == nil {
		r = &runnerHistory{unacked: map[identifier.LeaseID]runner.Event{}}
		c.runners[name] = r
	}
	return r
}

// RunnerLeaving records that the control plane answered a poll in which a runner
// announced its departure.
func (c *Checker) RunnerLeaving(name string) {
	r := c.runner(name)
	if r.leaving {
		return
	}
	c.Counts[CountLeaving]++
	r.leaving = true
	r.leavingSince = c.cluster.Time()
}

// RunnerStaying records that a runner has withdrawn its departure.
func (c *Checker) RunnerStaying(name string) { c.runner(name).leaving = false }

// PollAnswered records that a poll of a runner was answered.
func (c *Checker) PollAnswered(name string) {
	c.runner(name).pollAnsweredAt = c.cluster.Time()
}

// RunnerDead records that a runner died, and with it all attempts on it.
func (c *Checker) RunnerDead(name string) {
	for _, t := range c.tasks {
		delete(t.runningOn, name)
	}
	r := c.runner(name)
	r.leaving = false
	r.used = job.Demand{}
	clear(r.unacked)
}

// RunnerLogLost records that a runner died before the last part of its event log was
// read: from then on, a missing end is counted instead of being a violation.
func (c *Checker) RunnerLogLost(name string) {
	c.eventsLost = true
	c.RunnerDead(name)
}

// RunnerEvent records an event of an attempt on a runner.
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

// attemptStopped measures how long an attempt of a cancelled job kept running.
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
