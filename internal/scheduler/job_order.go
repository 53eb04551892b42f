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

// timeliness classifies a queue's job by the value that it still has if it continues now.
type timeliness int

const (
	// onTime jobs can still end by their due time.
	onTime timeliness = iota
	// late jobs have a reduced value.
	late
	// excess jobs exceed their tenant's share.
	excess
	// tooLate jobs no longer have any value.
	tooLate
)

const (
	// lateFactor is the multiple of its latency target beyond which a job has no value.
	lateFactor = 3
	// latencyFactorUnit represents a latency factor of 1; factors are in thousandths.
	latencyFactorUnit = 1000
	// maxOrderedJobs bounds the jobs that one cycle sorts, maxTenantJobs those of one
	// tenant among them, and maxVisitedJobs the jobs examined to collect them.
	maxOrderedJobs = 2000
	maxTenantJobs  = 600
	maxVisitedJobs = 20_000
)

// rankedJob is a queue's job with its sort keys.
type rankedJob struct {
	job        *state.Job
	timeliness timeliness
	dueAt      clock.ClusterTime
}

// compareRanked orders jobs by timeliness (on time, late, beyond the tenant's share, too
// late), then by priority, and then by due time.
func compareRanked(a, b rankedJob) int {
	return cmp.Or(
		cmp.Compare(a.timeliness, b.timeliness),
		cmp.Compare(a.job.Terms.Priority, b.job.Terms.Priority),
		cmp.Compare(a.dueAt, b.dueAt),
		cmp.Compare(a.job.Seq, b.job.Seq),
	)
}

// scheduleQueues places the jobs of queues in rank order.
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

// rankJobs returns the queue jobs that have tasks to place, in rank order. One tenant's
// backlog must not crowd out the jobs of other tenants, so jobs blocked by their tenant's
// quota and jobs beyond maxTenantJobs are left out.
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

// rankJob computes a job's due time and timeliness from the predicted run times of its
// steps rather than from the client's estimates.
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

// queue returns a queue of the catalogue, or nil if it no longer exists. Each queue is
// looked up once per cycle.
func (c *cycle) queue(name string) *catalog.Queue {
	queue, known := c.queues[name]
	if !known {
		queue = c.store.Catalog.Queue(name)
		c.queues[name] = queue
	}
	return queue
}

// predictStep returns the predicted run time of the longest-running task of a step.
func (c *cycle) predictStep(queue string, step *job.Step) clock.Millis {
	run := c.view.Predict(queue, step.ExpectedRun)
	return clock.Millis(float64(run.Run) * math.Exp(run.Deviation*expectedMaxDeviation(step.Tasks)))
}

// expectedMaxDeviation returns the expected maximum of count standard normal values, that
// is, by how many standard deviations the logarithm of the longest of count runs exceeds
// the mean (Cramer, Mathematical Methods of Statistics, 28.6: the mean of the extreme of a
// normal sample, to first order).
func expectedMaxDeviation(count int64) float64 {
	if count < 2 {
		return 0
	}
	scale := math.Sqrt(2 * math.Log(float64(count)))
	return max(0, scale-(math.Log(math.Log(float64(count)))+math.Log(4*math.Pi))/(2*scale))
}
