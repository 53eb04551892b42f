package stalldetector

import (
	"testing"

	"orchidward/internal/clock"
)

// TestDetector checks that intervals up to Limit are not a stall, and that after a longer one
// the detector reports draining for DrainPeriod.
func TestDetector(t *testing.T) {
	var d Detector
	if d.Draining(0) {
		t.Error("draining before the first observation")
	}
	for now := clock.Monotonic(5000); now <= 10000; now = now.Add(Limit) {
		d.Observe(now)
		if d.Draining(now) {
			t.Fatalf("draining at %d without a stall", now)
		}
	}
	resumed := clock.Monotonic(10000).Add(Limit + 1)
	d.Observe(resumed)
	tests := []struct {
		after clock.Millis
		want  bool
	}{
		{0, true},
		{DrainPeriod - 1, true},
		{DrainPeriod, false},
		{10 * DrainPeriod, false},
	}
	for _, test := range tests {
		if got := d.Draining(resumed.Add(test.after)); got != test.want {
			t.Errorf("%d ms after the stall: draining %v, want %v", test.after, got, test.want)
		}
	}
}
