package prediction

import (
	"math"

	"orchidward/internal/clock"
)

const (
	// maxQueues bounds the queues that runs are remembered for; the tasks of others are
	// predicted by their estimates.
	maxQueues = 512
	// window is how many ends count, minObserved how many it takes until a queue's usual
	// run is believed at all.
	window      = 200
	minObserved = 8
	// priorWeight is the number of ends that the trust in estimates is worth at first;
	// they are then taken to be wrong by a variance of priorVariance.
	priorWeight   = 8
	priorVariance = 0.25
	// minVariance keeps a predictor that has been right by chance from being taken for
	// certain.
	minVariance = 0.01
	// maxDeviation bounds how far one end can pull a mean, in logarithms.
	maxDeviation = 2.5
	// A task away from its data is first expected to run priorDistantFactor times as long.
	priorDistantFactor = 1.5
	// maxRun bounds what is predicted.
	maxRun clock.Millis = 24 * 3600 * 1000
)

// Durations predicts how long tasks run.
type Durations struct {
	queues map[string]*queueRuns
	// distant is the logarithm of how much longer tasks run away from their data.
	distant moments
}

// queueRuns is what the ended tasks of a queue say.
type queueRuns struct {
	// level is the logarithm of the run, ratio that of the run over the estimate.
	level moments
	ratio moments
}

// NewDurations returns a model that believes the estimates.
func NewDurations() *Durations {
	return &Durations{
		queues:  map[string]*queueRuns{},
		distant: moments{count: priorWeight, mean: math.Log(priorDistantFactor), variance: priorVariance},
	}
}

// Run is a task that has ended well.
type Run struct {
	Queue string
	// Estimate is the client's, Duration what the task took, in milliseconds.
	Estimate clock.Millis
	Duration clock.Millis
	// Distant says that it ran away from its data, and RunnerRate how fast its runner
	// works, in thousandths of the nominal rate.
	Distant    bool
	RunnerRate int64
}

// Observe takes the end of a task.
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

// Predict is how long a task of the queue will run near its data on a runner of the nominal
// rate, and by which deviation, in logarithms, that is usually wrong.
func (d *Durations) Predict(queue string, estimate clock.Millis) (run clock.Millis, deviation float64) {
	runs := d.queues[queue]
	if runs == nil {
		return max(estimate, 1), math.Sqrt(priorVariance)
	}
	predicted, variance := runs.predict(estimate)
	return min(clock.Millis(math.Exp(predicted))+1, maxRun), math.Sqrt(variance)
}

// predict weighs both predictors by the inverse of their variances.
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

// DistantFactor is how many times as long a task runs away from its data, 1 at least.
func (d *Durations) DistantFactor() float64 { return max(1, math.Exp(d.distant.mean)) }

func logMillis(span clock.Millis) float64 { return math.Log(float64(max(span, 1))) }

func clampNear(value, mean float64) float64 {
	return min(max(value, mean-maxDeviation), mean+maxDeviation)
}
