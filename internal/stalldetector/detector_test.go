package stalldetector

import (
	"testing"

	"orchidward/internal/clock"
)

// TestDetector: gaps up to the limit are none; a longer one makes requests
// suspect for as long as those that waited may still be read.
func TestDetector(t *testing.T) {
	var d Detector
	if d.Draining(0) {
		t.Error("draining before anything was seen")
	}
	for now := clock.Monotonic(5000); now <= 10000; now = now.Add(Limit) {
		d.Observe(now)
		if d.Draining(now) {
			t.Fatalf("at %d draining without a pause", now)
		}
	}
	woken := clock.Monotonic(10000).Add(Limit + 1)
	d.Observe(woken)
	for after, want := range map[clock.Millis]bool{0: true, Drain - 1: true, Drain: false, 10 * Drain: false} {
		if got := d.Draining(woken.Add(after)); got != want {
			t.Errorf("%d ms after the pause: draining %v, want %v", after, got, want)
		}
	}
}
