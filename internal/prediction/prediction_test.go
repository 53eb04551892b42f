package prediction

import (
	"math"
	"math/rand"
	"testing"

	"orchidward/internal/clock"
)

// near reports whether a value is within 10 % of the wanted one.
func near(have, want float64) bool { return math.Abs(have-want) <= want/10 }

// observeRuns records runs of a queue with log-normal run times around usual; each estimate is
// the run time multiplied by a factor.
func observeRuns(d *Durations, random *rand.Rand, count int, usual, spread float64, factor func() float64) {
	for range count {
		run := usual * math.Exp(spread*random.NormFloat64())
		d.Observe(Run{
			Queue:      "q",
			Estimate:   clock.Millis(run * factor()),
			Duration:   clock.Millis(run),
			RunnerRate: NominalRate,
		})
	}
}

// TestPredictFollowsTheBetterPredictor checks that good estimates are followed after correction
// of their mean error, that uninformative estimates give way to the queue's mean run time,
// and that without observations the estimate is the prediction.
func TestPredictFollowsTheBetterPredictor(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	good := NewDurations()
	if run, _ := good.Predict("q", 700); run != 700 {
		t.Errorf("without observations, an estimate of 700 ms is predicted as %d", run)
	}
	observeRuns(good, random, 300, 2000, 1, func() float64 { return 0.5 })
	for _, estimate := range []clock.Millis{200, 1000, 5000} {
		if run, _ := good.Predict("q", estimate); !near(float64(run), 2*float64(estimate)) {
			t.Errorf("estimates are half of the run: %d ms are predicted as %d", estimate, run)
		}
	}
	bad := NewDurations()
	observeRuns(bad, random, 300, 2000, 0.2, func() float64 { return math.Exp(2 * random.NormFloat64()) })
	for _, estimate := range []clock.Millis{100, 2000, 40000} {
		run, deviation := bad.Predict("q", estimate)
		if math.Abs(math.Log(float64(run)/2000)) > 0.2 || deviation > 0.3 {
			t.Errorf("runs of 2000 ms: %d ms are predicted as %d with a deviation of %f", estimate, run, deviation)
		}
	}
}

// TestDistantFactorIsObserved checks that the factor by which tasks run longer away from their
// data is learned from such runs, whatever the initial estimate.
func TestDistantFactorIsObserved(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	for _, factor := range []float64{1, 3} {
		d := NewDurations()
		observeRuns(d, random, 100, 1000, 0.3, func() float64 { return 1 })
		for range 300 {
			d.Observe(Run{Queue: "q", Estimate: 1000, Duration: clock.Millis(1000 * factor), Distant: true, RunnerRate: NominalRate})
		}
		if have := d.DistantFactor(); !near(have, factor) {
			t.Errorf("the factor is %f, want %f", have, factor)
		}
		if run, _ := d.Predict("q", 1000); !near(float64(run), 1000) {
			t.Errorf("near its data a task of 1000 ms is predicted as %d", run)
		}
	}
}

// TestBoundedQueues checks that the number of queues is bounded, and that tasks of further
// queues are predicted by their estimates.
func TestBoundedQueues(t *testing.T) {
	d := NewDurations()
	for i := range 2 * maxQueues {
		d.Observe(Run{Queue: string(rune('a' + i)), Estimate: 10, Duration: 20, RunnerRate: NominalRate})
	}
	if len(d.queues) > maxQueues {
		t.Errorf("%d queues are recorded", len(d.queues))
	}
	if run, _ := d.Predict("another", 50); run != 50 {
		t.Errorf("50 ms of an unknown queue are predicted as %d", run)
	}
}

// TestRate checks that a runner is rated slow if its runs are slower than those of the other
// runners, and that a single poorly predicted run has little effect.
func TestRate(t *testing.T) {
	evidence := func(runs int, rate, deviation float64) Evidence {
		var e Evidence
		for range runs {
			e.Add(rate, 1, deviation)
		}
		return e
	}
	slow := evidence(20, 0.15, 0.5)
	one := evidence(1, 0.15, 1.5)
	all := []Evidence{slow, {}}
	for range 30 {
		all = append(all, evidence(20, 0.8, 0.5))
	}
	usual := all[5]
	common := CommonLogRate(all)
	if rate := usual.Rate(common); !near(float64(rate), NominalRate) {
		t.Errorf("a runner like all others has the rate %d", rate)
	}
	if rate := slow.Rate(common); rate > 250 {
		t.Errorf("a runner six times as slow has the rate %d", rate)
	}
	if rate := one.Rate(common); rate < 600 {
		t.Errorf("one run that is badly predicted makes the rate %d", rate)
	}
	if nothing := (Evidence{}); nothing.Rate(common) != NominalRate {
		t.Error("a runner without runs does not have the nominal rate")
	}
	if alone := CommonLogRate([]Evidence{slow}); slow.Rate(alone) > 400 {
		t.Errorf("the only runner with runs, a slow one, has the rate %d", slow.Rate(alone))
	}
}
