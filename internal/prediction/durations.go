package prediction

import (
	"math"

	"orchidward/internal/clock"
)

const (
	// maxQueues bounds the number of queues for which runs are recorded; for other queues
	// the client's estimate is the prediction.
	maxQueues = 512
	// window is the number of recent runs that the moments cover; minObserved is the number
	// of runs from which on a queue's mean is used as a predictor.
	window      = 200
	minObserved = 8
	// priorWeight is the number of runs that the prior on the error of estimates counts
	// for; priorVariance is the variance of that prior.
	priorWeight   = 8
	priorVariance = 0.25
	// minVariance prevents a predictor that was accurate by chance from being treated as
	// certain.
	minVariance = 0.01
	// maxDeviation bounds the influence of a single run on a mean, in logarithms.
	maxDeviation = 2.5
	// priorDistantFactor is the initial estimate of how much longer a task runs away from
	// its data.
	priorDistantFactor = 1.5
	// maxRun bounds the predicted run time.
	maxRun clock.Millis = 24 * 3600 * 1000
)

// Durations predicts the run time of tasks.
type Durations struct {
	queues map[string]*queueRuns
	// distant holds the logarithm of the factor by which tasks run longer away from their
	// data.
	distant moments
}

// queueRuns holds the statistics of a queue's completed tasks.
type queueRuns struct {
	// level holds the logarithm of the run time, ratio that of the run time divided by the
	// estimate.
	level moments
	ratio moments
}

// NewDurations returns a model without observations, which predicts the estimates.
func NewDurations() *Durations {
	return &Durations{
		queues:  map[string]*queueRuns{},
		distant: moments{count: priorWeight, mean: math.Log(priorDistantFactor), variance: priorVariance},
	}
}

// Run describes a successful run of a task.
type Run struct {
	Queue string
	// Estimate is the client's estimate of the run time, Duration the actual run time, in
	// milliseconds.
	Estimate clock.Millis
	Duration clock.Millis
	// Distant is set if the task ran away from its data. RunnerRate is the work rate of its
	// runner, in thousandths of the nominal rate.
	Distant    bool
	RunnerRate int64
}

// Observe records a run.
func (d *Durations) Observe(run Run) {
	queue := d.queues[run.Queue]
	if queue == nil {
		if len(d.queues) >= maxQueues {
			return
		}
		queue = &queueRuns{ratio: moments{count: priorWeight, variance: priorVariance}}
		d.queues[run.Queue] = queue
	}
	nominal := logMillis(run.Duration) + math.Log(float64(max(run.RunnerRate, 1))/NominalRate)
	if run.Distant {
		if queue.level.count >= minObserved {
			predicted, _ := queue.predict(run.Estimate)
			d.distant.add(clampNear(nominal-predicted, d.distant.mean), window)
		}
		return
	}
	if queue.level.count >= minObserved {
		nominal = clampNear(nominal, queue.level.mean)
	}
	queue.level.add(nominal, window)
	queue.ratio.add(clampNear(nominal-logMillis(run.Estimate), queue.ratio.mean), window)
}

// Predict returns the predicted run time of a task of the queue near its data on a runner of
// the nominal rate, and the standard deviation of its logarithm.
func (d *Durations) Predict(queue string, estimate clock.Millis) (run clock.Millis, deviation float64) {
	runs := d.queues[queue]
	if runs == nil {
		return max(estimate, 1), math.Sqrt(priorVariance)
	}
	predicted, variance := runs.predict(estimate)
	return min(clock.Millis(math.Exp(predicted))+1, maxRun), math.Sqrt(variance)
}

// predict combines both predictors, weighted by the inverse of their variances.
func (q *queueRuns) predict(estimate clock.Millis) (logRun, variance float64) {
	byEstimate := logMillis(estimate) + q.ratio.mean
	ratioVariance := max(q.ratio.variance, minVariance)
	if q.level.count < minObserved {
		return byEstimate, ratioVariance
	}
	levelVariance := max(q.level.variance, minVariance)
	variance = 1 / (1/ratioVariance + 1/levelVariance)
	return variance * (byEstimate/ratioVariance + q.level.mean/levelVariance), variance
}

// DistantFactor returns the factor by which tasks run longer away from their data, at least
// 1.
func (d *Durations) DistantFactor() float64 { return max(1, math.Exp(d.distant.mean)) }

func logMillis(span clock.Millis) float64 { return math.Log(float64(max(span, 1))) }

func clampNear(value, mean float64) float64 {
	return min(max(value, mean-maxDeviation), mean+maxDeviation)
}
