package invariants

import (
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/runner"
)

// fakeCluster is a Cluster whose time and runners are set by the test.
type fakeCluster struct {
	now         int64
	quiet       bool
	undisturbed bool
	runners     map[string]RunnerView
}

func (c *fakeCluster) Time() int64                   { return c.now }
func (c *fakeCluster) Runner(name string) RunnerView { return c.runners[name] }
func (c *fakeCluster) Quiet() bool                   { return c.quiet }
func (c *fakeCluster) Undisturbed() bool             { return c.undisturbed }
func (c *fakeCluster) Logf(string, ...any)           {}

// checkerFixture is a checker with one job that has not started, on a cluster of two
// runners.
type checkerFixture struct {
	*Checker
	cluster *fakeCluster
	key     identifier.JobKey
	job     *Job
}

const fixtureStart = 100_000

// newCheckerFixture returns a fixture whose job has the given step.
func newCheckerFixture(step job.Step) *checkerFixture {
	view := RunnerView{Domain: "north", Incarnation: 1, Live: true, Capacity: job.Demand{Cores: 8, Mem: 8}}
	cluster := &fakeCluster{now: fixtureStart, runners: map[string]RunnerView{"r1": view, "r2": view}}
	o := &checkerFixture{Checker: New(cluster), cluster: cluster, key: "c/j"}
	step.Name = "s"
	step.Demand = job.Demand{Cores: 1, Mem: 1}
	o.job = &Job{Spec: job.Spec{Steps: []job.Step{step}}, SubmittedAt: fixtureStart, AckedAt: fixtureStart}
	o.Jobs[o.key] = o.job
	return o
}

// event records an event of an attempt at a task of the job.
func (o *checkerFixture) event(runnerName, kind string, task int, lease identifier.LeaseID) {
	o.RunnerEvent(runnerName, runner.Event{
		Kind:   kind,
		Lease:  lease,
		Task:   identifier.TaskRef{Job: o.key, Num: task},
		Demand: job.Demand{Cores: 1, Mem: 1},
	})
}

func (o *checkerFixture) start(runnerName string, task int, lease identifier.LeaseID) {
	o.event(runnerName, runner.EventStart, task, lease)
}

// reportSuccess ends an attempt with success, and acknowledges the end if acked is set.
func (o *checkerFixture) reportSuccess(runnerName string, task int, lease identifier.LeaseID, acked bool) {
	o.event(runnerName, runnerapi.OutcomeSuccess, task, lease)
	if acked {
		o.event(runnerName, runner.EventAcked, task, lease)
	}
}

// violated returns the concatenated names of the violated invariants.
func (o *checkerFixture) violated() string {
	text := ""
	for _, line := range o.Violations {
		var name string
		fmt.Sscan(line, &name)
		text += name
	}
	return text
}
