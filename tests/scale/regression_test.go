package main

import (
	"math"
	"testing"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestFitLine(t *testing.T) {
	l, ok := fitLine([]point{{11, 5.5}, {100, 50}, {300, 150}, {600, 300}})
	if !ok || !almostEqual(l.base, 0) || !almostEqual(l.slope, 0.5) || !almostEqual(l.rSquared, 1) || !almostEqual(l.at(1200), 600) {
		t.Errorf("through the origin: %+v %v", l, ok)
	}
	// Computed by hand: the means are 2 and 4. The sums over the differences from the means are
	// 8 for the products and 4 for the squares of x, which gives a slope of 2.
	l, ok = fitLine([]point{{1, 1}, {1, 3}, {2, 4}, {3, 5}, {3, 7}})
	if !ok || !almostEqual(l.slope, 2) || !almostEqual(l.base, 0) || !almostEqual(l.rSquared, 0.8) {
		t.Errorf("with spread: %+v %v", l, ok)
	}
	l, ok = fitLine([]point{{1, 3}, {2, 3}})
	if !ok || !almostEqual(l.slope, 0) || !almostEqual(l.base, 3) || !math.IsNaN(l.rSquared) {
		t.Errorf("constant y: %+v %v", l, ok)
	}
	for _, list := range [][]point{nil, {{1, 1}}, {{2, 1}, {2, 5}}} {
		if _, ok = fitLine(list); ok {
			t.Errorf("fitted a line through %v", list)
		}
	}
}

func TestSummarize(t *testing.T) {
	if s := summarize([]float64{3, 1, 2}); s.mean != 2 || s.low != 1 || s.high != 3 || s.n != 3 {
		t.Errorf("%+v", s)
	}
	if s := summarize(nil); !math.IsNaN(s.mean) || s.n != 0 {
		t.Errorf("%+v", s)
	}
}
