package prediction

import (
	"cmp"
	"math"
	"slices"
)

// NominalRate is the rate of a runner on which tasks take as long as predicted.
const NominalRate = 1000

// runnerVariance is how much the logarithms of runners' rates are taken to vary: most are
// between half and twice the nominal rate, and some far below.
const runnerVariance = 0.3

// commonPrior is the number of runners whose evidence weighs as much as the assumption that
// predictions are right.
const commonPrior = 4

// Evidence is what runs say of the rate of a runner.
type Evidence struct {
	// runs is their number, sum that of the logarithms of their rates over the predicted
	// ones, and variance the sum of the variances of the predictions.
	runs     float64
	sum      float64
	variance float64
}

// Add takes a run: its rate, the predicted one in the same unit, and the deviation of that
// prediction.
func (e *Evidence) Add(rate, predicted, deviation float64) {
	e.runs++
	e.sum += math.Log(rate / predicted)
	e.variance += deviation * deviation
}

// Any reports whether there is any evidence.
func (e *Evidence) Any() bool { return e.runs > 0 }

// mean is the mean of the logarithms, 0 without evidence.
func (e *Evidence) mean() float64 {
	if e.runs == 0 {
		return 0
	}
	return e.sum / e.runs
}

// CommonLogRate is the logarithm of the rate that the runners have in common: the median of theirs.
// Long runs are seen more often than short ones, which makes all look slow. A few runners
// have little in common: it is shrunk towards nothing then. It reorders the list.
func CommonLogRate(runners []Evidence) float64 {
	runners = slices.DeleteFunc(runners, func(e Evidence) bool { return !e.Any() })
	if len(runners) == 0 {
		return 0
	}
	slices.SortFunc(runners, func(a, b Evidence) int { return cmp.Compare(a.mean(), b.mean()) })
	count := float64(len(runners))
	return runners[len(runners)/2].mean() * count / (count + commonPrior)
}

// Rate is the rate of a runner in thousandths of the nominal one, beside what the runners
// have in common. Few runs, or ones badly predicted, leave it near the nominal rate.
func (e *Evidence) Rate(common float64) int64 {
	if e.runs == 0 {
		return NominalRate
	}
	noise := e.variance / e.runs / e.runs
	shrunk := (e.mean() - common) * runnerVariance / (runnerVariance + noise)
	return max(1, int64(math.Round(NominalRate*math.Exp(shrunk))))
}
