package prediction

import (
	"cmp"
	"math"
	"slices"
)

// NominalRate is the work rate of a runner on which tasks take as long as predicted.
const NominalRate = 1000

// runnerVariance is the assumed variance of the logarithms of the runners' rates: most rates
// are between half and twice the nominal rate, and some are far below.
const runnerVariance = 0.3

// commonPrior is the number of runners whose evidence weighs as much as the prior that the
// predictions are unbiased.
const commonPrior = 4

// Evidence accumulates the observed work rate of a runner.
type Evidence struct {
	// runs is the number of runs, sum the sum of the logarithms of observed over predicted
	// rate, and variance the sum of the variances of the predictions.
	runs     float64
	sum      float64
	variance float64
}

// Add records a run: its observed rate, the predicted rate in the same unit, and the standard
// deviation of the prediction's logarithm.
func (e *Evidence) Add(rate, predicted, deviation float64) {
	e.runs++
	e.sum += math.Log(rate / predicted)
	e.variance += deviation * deviation
}

// Any reports whether there is any evidence.
func (e *Evidence) Any() bool { return e.runs > 0 }

// mean returns the mean of the logarithms, 0 without evidence.
func (e *Evidence) mean() float64 {
	if e.runs == 0 {
		return 0
	}
	return e.sum / e.runs
}

// CommonLogRate returns the logarithm of the rate that the runners have in common, which is
// the median of their means. It corrects for a bias shared by all runners: long runs are
// observed more often than short ones, which makes every runner look slow. With few runners
// the result is shrunk towards 0. CommonLogRate reorders the slice.
func CommonLogRate(runners []Evidence) float64 {
	runners = slices.DeleteFunc(runners, func(e Evidence) bool { return !e.Any() })
	if len(runners) == 0 {
		return 0
	}
	slices.SortFunc(runners, func(a, b Evidence) int { return cmp.Compare(a.mean(), b.mean()) })
	count := float64(len(runners))
	return runners[len(runners)/2].mean() * count / (count + commonPrior)
}

// Rate returns the work rate of a runner in thousandths of the nominal rate, relative to the
// rate common to all runners. With few runs, or poorly predicted ones, it stays near the
// nominal rate.
func (e *Evidence) Rate(common float64) int64 {
	if e.runs == 0 {
		return NominalRate
	}
	noise := e.variance / e.runs / e.runs
	shrunk := (e.mean() - common) * runnerVariance / (runnerVariance + noise)
	return max(1, int64(math.Round(NominalRate*math.Exp(shrunk))))
}
