package main

import "math"

// point is one data point: the varied quantity x and the measured figure y.
type point struct{ x, y float64 }

// regression is the line y = base + slope*x. rSquared is the share of the variance of y that
// the line explains, NaN if y does not vary.
type regression struct{ base, slope, rSquared float64 }

func (l regression) at(x float64) float64 { return l.base + l.slope*x }

// fitLine returns the least-squares line through the points. ok is false unless the points
// have at least two different values of x.
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

// summary holds the mean, minimum and maximum of some values, and their number.
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
