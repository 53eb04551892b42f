package main

import "math"

// point is one measurement: how much of the one thing, and how much of the other.
type point struct{ x, y float64 }

// regression is y = base + slope x. rSquared is the share of the variance that it
// explains, NaN where there is none.
type regression struct{ base, slope, rSquared float64 }

func (l regression) at(x float64) float64 { return l.base + l.slope*x }

// fitLine is the line of least squares; ok is false unless there are points at two
// values of x or more.
func fitLine(list []point) (l regression, ok bool) {
	if len(list) < 2 {
		return regression{}, false
	}
	n := float64(len(list))
	var sumX, sumY float64
	for _, p := range list {
		sumX += p.x
		sumY += p.y
	}
	meanX := sumX / n
	meanY := sumY / n
	var squaresX, products, squaresY float64 // of the differences from the means
	for _, p := range list {
		dx := p.x - meanX
		dy := p.y - meanY
		squaresX += dx * dx
		products += dx * dy
		squaresY += dy * dy
	}
	if squaresX == 0 {
		return regression{}, false
	}
	l.slope = products / squaresX
	l.base = meanY - l.slope*meanX
	l.rSquared = math.NaN()
	if squaresY > 0 {
		l.rSquared = products * products / (squaresX * squaresY)
	}
	return l, true
}

// summary is the mean, the least and the greatest of some values, and their number.
type summary struct {
	mean, low, high float64
	n               int
}

func summarize(vals []float64) summary {
	if len(vals) == 0 {
		return summary{mean: math.NaN(), low: math.NaN(), high: math.NaN()}
	}
	s := summary{low: vals[0], high: vals[0], n: len(vals)}
	for _, v := range vals {
		s.mean += v / float64(len(vals))
		s.low = min(s.low, v)
		s.high = max(s.high, v)
	}
	return s
}
