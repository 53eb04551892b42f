package invariants

import (
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// ViolationLog begins the line that is logged for a violation.
const ViolationLog = "BREACH"

// RunnerView is a runner as it stands at this moment. Live is false for one that
// is dead or frozen: nothing runs there.
type RunnerView struct {
	Domain      string
	Incarnation int
	Live        bool
	Labels      []identifier.Label
	Capacity    job.Demand
}

// Cluster is what a checker reads of the cluster that it checks.
type Cluster interface {
	// Time is the present, in milliseconds.
	Time() int64
	// Runner describes a runner by name; it is empty for an unknown one.
	Runner(runner string) RunnerView
	// Quiet tells whether nothing has been wrong for a while.
	Quiet() bool
	// Undisturbed tells whether nothing is meant to go wrong at all.
	Undisturbed() bool
	// Logf logs what the checker sees; a violation begins with ViolationLog.
	Logf(text string, args ...any)
}

// Checker checks the invariants of a cluster from outside. It is not safe for
// concurrent use.
type Checker struct {
	// Jobs are the jobs that clients submitted, kept up to date by the clients.
	Jobs map[identifier.JobKey]*Job
	// Violations has a line for the first violation of each invariant.
	Violations []string
	// Counts are events by kind, the violations of each invariant among them.
	Counts map[string]int
	// Spans are measured durations in milliseconds by name.
	Spans map[string][]int64

	cluster         Cluster
	tasks           map[identifier.TaskRef]*taskHistory
	runners         map[string]*runnerHistory
	drainedSince    map[string]int64
	incompleteGangs map[gangKey]int64
	// eventsLost says that the event log of a runner was lost.
	eventsLost bool
}

// New returns a checker that has seen nothing yet.
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

// Violate records that an invariant is violated. All violations are counted; only
// the first of each invariant is written down, so that the list stays readable.
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

// Sweep checks what lasts: cancelled tasks that run on, incomplete gangs, and
// tasks that run twice at once. It must be called several times a second.
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
