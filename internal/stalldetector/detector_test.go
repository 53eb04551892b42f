package stalldetector

import (
	"testing"

	"orchidward/internal/clock"
)

// TestDetector: gaps up to the limit are no stall; after a longer one, requests are
// suspect for as long as those that waited may still be read.
func TestDetector(t *testing.T) {
	var d Detector
	if d.Draining(0) {
		t.Error("draining before anything was seen")
	}
	for now := clock.Monotonic(5000); now <= 10000; now = now.Add(Limit) {
		d.Observe(now)
		if d.Draining(now) {
			t.Fatalf("at %d draining without a stall", now)
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
