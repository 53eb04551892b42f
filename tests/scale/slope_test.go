package main

import (
	"math"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestNearest(t *testing.T) {
	l, ok := nearest([]spot{{11, 5.5}, {100, 50}, {300, 150}, {600, 300}})
	if !ok || !near(l.base, 0) || !near(l.rate, 0.5) || !near(l.fit, 1) || !near(l.at(1200), 600) {
		t.Errorf("through the origin: %+v %v", l, ok)
	}
	// By hand: means 2 and 4; sums of products 10 and 15 over 5 give 2 of slope.
	l, ok = nearest([]spot{{1, 1}, {1, 3}, {2, 4}, {3, 5}, {3, 7}})
	if !ok || !near(l.rate, 2) || !near(l.base, 0) || !near(l.fit, 0.8) {
		t.Errorf("with spread: %+v %v", l, ok)
	}
	l, ok = nearest([]spot{{1, 3}, {2, 3}})
	if !ok || !near(l.rate, 0) || !near(l.base, 3) || !math.IsNaN(l.fit) {
		t.Errorf("level: %+v %v", l, ok)
	}
	for _, list := range [][]spot{nil, {{1, 1}}, {{2, 1}, {2, 5}}} {
		if _, ok = nearest(list); ok {
			t.Errorf("a line through %v", list)
		}
	}
}

func TestSpread(t *testing.T) {
	if s := spread([]float64{3, 1, 2}); s.mean != 2 || s.low != 1 || s.high != 3 || s.n != 3 {
		t.Errorf("%+v", s)
	}
	if s := spread(nil); !math.IsNaN(s.mean) || s.n != 0 {
		t.Errorf("%+v", s)
	}
}
