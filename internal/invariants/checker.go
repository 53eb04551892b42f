package invariants

import (
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// ViolationLog is the prefix of the line that is logged for a violation.
const ViolationLog = "BREACH"

// RunnerView is the current state of a runner. Live is false if the runner is dead or
// suspended, so that no task runs there.
type RunnerView struct {
	Domain      string
	Incarnation int
	Live        bool
	Labels      []identifier.Label
	Capacity    job.Demand
}

// Cluster gives a checker access to the cluster under test.
type Cluster interface {
	// Time returns the current time in milliseconds.
	Time() int64
	// Runner returns the state of a runner by name, the zero value for an unknown one.
	Runner(runner string) RunnerView
	// Quiet reports whether the cluster has been free of faults for a while.
	Quiet() bool
	// Undisturbed reports whether the run injects no faults at all.
	Undisturbed() bool
	// Logf logs an observation of the checker; a violation begins with ViolationLog.
	Logf(text string, args ...any)
}

// Checker checks the invariants of a cluster from outside. It is not safe for concurrent
// use.
type Checker struct {
	// Jobs are the jobs that clients submitted, kept up to date by the clients.
	Jobs map[identifier.JobKey]*Job
	// Violations holds one line for the first violation of each invariant.
	Violations []string
	// Counts holds the number of events by kind, including the violations of each
	// invariant.
	Counts map[string]int
	// Spans holds measured durations in milliseconds by name.
	Spans map[string][]int64

	cluster         Cluster
	tasks           map[identifier.TaskRef]*taskHistory
	runners         map[string]*runnerHistory
	drainedSince    map[string]int64
	incompleteGangs map[gangKey]int64
	// eventsLost is set once the event log of a runner was lost.
	eventsLost bool
}

// New returns a checker without any observations.
func New(cluster Cluster) *Checker {
	return &Checker{
		Jobs:            map[identifier.JobKey]*Job{},
		Counts:          map[string]int{},
		Spans:           map[string][]int64{},
		cluster:         cluster,
		tasks:           map[identifier.TaskRef]*taskHistory{},
		runners:         map[string]*runnerHistory{},
		drainedSince:    map[string]int64{},
		incompleteGangs: map[gangKey]int64{},
	}
}

// Violate records a violation of an invariant. All violations are counted; only the first
// of each invariant is added to Violations, to keep the list readable.
func (c *Checker) Violate(invariant, text string, args ...any) {
	count := ViolationCount(invariant)
	c.Counts[count]++
	if c.Counts[count] > 1 {
		return
	}
	line := fmt.Sprintf("%s at %d: ", invariant, c.cluster.Time()) + fmt.Sprintf(text, args...)
	c.Violations = append(c.Violations, line)
	c.cluster.Logf(ViolationLog+" %s", line)
}

// Span records a measured duration in milliseconds.
func (c *Checker) Span(name string, ms int64) {
	c.Spans[name] = append(c.Spans[name], ms)
}

// Sweep checks conditions that persist over time: cancelled tasks that keep running,
// incomplete gangs, and tasks that run more than once at the same time. It must be called
// several times a second.
func (c *Checker) Sweep() {
	for key, j := range c.Jobs {
		sinceCancel := c.cluster.Time() - j.CancelledAt
		if j.EndState != "" && sinceCancel > endedJobSweepPeriod {
			continue
		}
		c.checkCancelled(key, j)
		if j.EndState == "" {
			c.checkGangs(key, j)
		}
	}
	c.checkConcurrentRuns()
}
