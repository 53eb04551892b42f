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
	n, sx, sy := float64(len(list)), 0.0, 0.0
	for _, s := range list {
		sx, sy = sx+s.x, sy+s.y
	}
	if n < 2 {
		return regression{}, false
	}
	mx, my := sx/n, sy/n
	xx, xy, yy := 0.0, 0.0, 0.0
	for _, s := range list {
		dx, dy := s.x-mx, s.y-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx == 0 {
		return regression{}, false
	}
	l.slope = xy / xx
	l.base, l.rSquared = my-l.slope*mx, math.NaN()
	if yy > 0 {
		l.rSquared = xy * xy / (xx * yy)
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
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
	return s
}
