package prediction

import (
	"math"
	"math/rand"
	"testing"

	"orchidward/internal/clock"
)

// near reports whether a value lies within a tenth of what is wanted.
func near(have, want float64) bool { return math.Abs(have-want) <= want/10 }

// observeRuns observes runs of a queue that take about usual, each with an estimate that is
// the run times a factor.
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

// TestPredictFollowsTheBetterPredictor: good estimates are followed, with their usual error
// taken out; those that say nothing give way to the queue's usual run; before anything was
// seen the estimate counts.
func TestPredictFollowsTheBetterPredictor(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	good := NewDurations()
	if run, _ := good.Predict("q", 700); run != 700 {
		t.Errorf("with nothing seen 700 ms are predicted as %d", run)
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

// TestDistantFactorIsObserved: how much longer tasks run away from their data is taken from
// those that did, whatever is assumed at first.
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

// TestBoundedQueues: queues beyond the bound are predicted by their estimates.
func TestBoundedQueues(t *testing.T) {
	d := NewDurations()
	for i := range 2 * maxQueues {
		d.Observe(Run{Queue: string(rune('a' + i)), Estimate: 10, Duration: 20, RunnerRate: NominalRate})
	}
	if len(d.queues) > maxQueues {
		t.Errorf("%d queues are remembered", len(d.queues))
	}
	if run, _ := d.Predict("another", 50); run != 50 {
		t.Errorf("50 ms of an unknown queue are predicted as %d", run)
	}
}

// TestRate: a runner is slow if its runs are slower than those of the others; one run that
// is badly predicted says little.
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
		t.Error("a runner without runs is not taken for a nominal one")
	}
	if alone := CommonLogRate([]Evidence{slow}); slow.Rate(alone) > 400 {
		t.Errorf("a slow runner that is alone in running anything has the rate %d", slow.Rate(alone))
	}
}
