package scheduler

import (
	"cmp"
	"math"
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// timeliness tells what a queue's job is still worth if it goes on now.
type timeliness int

const (
	// onTime jobs can still be done by when they are due.
	onTime timeliness = iota
	// late jobs are worth less.
	late
	// excess jobs are beyond the share of their tenant.
	excess
	// tooLate jobs are worth nothing any more.
	tooLate
)

const (
	// lateFactor is how many times its target a job may take and still be worth something.
	lateFactor = 3
	// latencyFactorUnit is the latency factor of 1: factors are in thousandths.
	latencyFactorUnit = 1000
	// maxOrderedJobs bounds the jobs that one cycle puts in order, maxTenantJobs those of
	// one tenant among them, and maxVisitedJobs those that it looks at for this.
	maxOrderedJobs = 2000
	maxTenantJobs  = 600
	maxVisitedJobs = 20_000
)

// rankedJob is a queue's job with what its place in the order depends on.
type rankedJob struct {
	job        *state.Job
	timeliness timeliness
	dueAt      clock.ClusterTime
}

// compareRanked puts jobs on time first, then the late ones, then those beyond their tenant's
// share, then those that are too late; of each by priority, and then by when they are due.
func compareRanked(a, b rankedJob) int {
	return cmp.Or(
		cmp.Compare(a.timeliness, b.timeliness),
		cmp.Compare(a.job.Terms.Priority, b.job.Terms.Priority),
		cmp.Compare(a.dueAt, b.dueAt),
		cmp.Compare(a.job.Seq, b.job.Seq),
	)
}

// scheduleQueues places the jobs of queues in their order.
func (c *cycle) scheduleQueues() {
	misses := map[timeliness]int{}
	seen := map[timeliness]int{}
	for _, ranked := range c.rankJobs() {
		class := ranked.timeliness
		if misses[class] > maxMisses || seen[class] > maxJobsSeen {
			continue
		}
		result := c.tryJob(ranked.job, c.tryQueueUnit)
		if !result.placed && result.newShape {
			misses[class]++
		}
		if result.placed || !result.overQuota {
			seen[class]++
		}
		if c.full() {
			return
		}
	}
}

// rankJobs lists the jobs of queues that have something to place, in their order. A tenant's
// backlog hides nobody else's work: what waits for the tenant's own quota is left out, and so
// is what is beyond its part of the list.
func (c *cycle) rankJobs() []rankedJob {
	var ranked []rankedJob
	visited := 0
	byTenant := map[string]int{}
	c.store.EachQueueJob(func(j *state.Job) bool {
		visited++
		tenant := j.Spec.Tenant
		atTenantLimit := tenant != "" && byTenant[tenant] >= maxTenantJobs
		if !atTenantLimit && !c.blockedByQuota(j) {
			byTenant[tenant]++
			ranked = append(ranked, c.rankJob(j))
		}
		return len(ranked) < maxOrderedJobs && visited < maxVisitedJobs
	})
	slices.SortFunc(ranked, compareRanked)
	return ranked
}

// rankJob tells when a job is due and whether it will be on time, by how long its steps are
// predicted to run rather than by their estimates.
func (c *cycle) rankJob(j *state.Job) rankedJob {
	target := j.Terms.Target
	remaining := j.RemainingCriticalPath()
	if queue := c.queue(j.Terms.Queue); queue != nil {
		predict := func(step *job.Step) clock.Millis { return c.predictStep(j.Terms.Queue, step) }
		target = j.Spec.CriticalPathBy(predict)*clock.Millis(queue.LatencyFactor)/latencyFactorUnit + queue.LatencyTarget
		remaining = j.RemainingCriticalPathBy(predict)
	}
	ranked := rankedJob{job: j, timeliness: tooLate, dueAt: j.Terms.DueAt.Add(target - j.Terms.Target)}
	end := c.store.Now.Add(remaining)
	switch {
	case end <= ranked.dueAt:
		ranked.timeliness = onTime
	case end <= ranked.dueAt.Add((lateFactor-1)*target):
		ranked.timeliness = late
	}
	if j.OverShare() && ranked.timeliness < excess {
		ranked.timeliness = excess
	}
	return ranked
}

// queue looks a queue of the catalogue up, once in a cycle; nil for one that is no more.
func (c *cycle) queue(name string) *catalog.Queue {
	queue, known := c.queues[name]
	if !known {
		queue = c.store.Catalog.Queue(name)
		c.queues[name] = queue
	}
	return queue
}

// predictStep is how long the longest of a step's tasks is predicted to run.
func (c *cycle) predictStep(queue string, step *job.Step) clock.Millis {
	run := c.view.Predict(queue, step.ExpectedRun)
	return clock.Millis(float64(run.Run) * math.Exp(run.Deviation*expectedMaxDeviation(step.Tasks)))
}

// expectedMaxDeviation is by how many deviations the longest of many runs exceeds the usual one, in
// logarithms (Cramer, Mathematical Methods of Statistics, 28.6: the mean of the extreme of a
// normal sample, to first order).
func expectedMaxDeviation(count int64) float64 {
	if count < 2 {
		return 0
	}
	scale := math.Sqrt(2 * math.Log(float64(count)))
	return max(0, scale-(math.Log(math.Log(float64(count)))+math.Log(4*math.Pi))/(2*scale))
}
