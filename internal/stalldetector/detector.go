// Package stalldetector detects that a process did not run for some time because it was
// paused, suspended or starved of CPU. Requests that it then reads from its connections may
// have been buffered for as long as the stall lasted, so their age is unknown.
//
// The input is the times at which the process runs (Observe), the output whether a request
// read now may have arrived before the end of a stall (Draining).
package stalldetector

import "orchidward/internal/clock"

const (
	// Limit is the longest interval between two observations, in milliseconds, that does
	// not count as a stall.
	Limit clock.Millis = 250
	// DrainPeriod is the time after a stall, in milliseconds, during which requests that
	// arrived during the stall may still be read.
	DrainPeriod clock.Millis = 500
)

// Detector detects stalls from the times at which its process is observed to run. The zero
// value has no observations and is ready to use.
type Detector struct {
	seen     bool
	lastSeen clock.Monotonic
	// drainUntil is the time by which all requests that arrived during the last stall have
	// been read.
	drainUntil clock.Monotonic
}

// Observe records that the process is running. It must be called for every input of the
// process before the input is handled, and at intervals of at most Limit.
func (d *Detector) Observe(now clock.Monotonic) {
	if d.seen && now.Since(d.lastSeen) > Limit {
		d.drainUntil = now.Add(DrainPeriod)
	}
	d.seen = true
	d.lastSeen = max(d.lastSeen, now)
}

// Draining reports whether a request read now may have arrived before or during a stall.
func (d *Detector) Draining(now clock.Monotonic) bool { return d.seen && now < d.drainUntil }
