// Package stalldetector notices that a process stood still: it was frozen, suspended or
// starved of its processor. What is then read from its connections may have waited there
// for as long as the stall lasted, so that its age is not known.
//
// Input are the moments at which the process runs (Observe), output is whether what is
// read now may be from before the end of a stall (Draining).
package stalldetector

import "orchidward/internal/clock"

const (
	// Limit is the longest gap between two observations, in milliseconds, that does not
	// count as a stall.
	Limit clock.Millis = 250
	// DrainPeriod is how long after a stall, in milliseconds, requests may still be read that
	// had arrived during it.
	DrainPeriod clock.Millis = 500
)

// Detector finds stalls from the moments at which its process is seen to run. The zero
// value has seen nothing.
type Detector struct {
	seen     bool
	lastSeen clock.Monotonic
	// drainUntil is when all that had arrived during the last stall has been read.
	drainUntil clock.Monotonic
}

// Observe notes that the process runs. It must be called at every input of the process,
// before the input is acted on, and at least every Limit.
func (d *Detector) Observe(now clock.Monotonic) {
	if d.seen && now.Since(d.lastSeen) > Limit {
		d.drainUntil = now.Add(DrainPeriod)
	}
	d.seen = true
	d.lastSeen = max(d.lastSeen, now)
}

// Draining reports whether a request read at this moment may have arrived before or during
// a stall.
func (d *Detector) Draining(now clock.Monotonic) bool { return d.seen && now < d.drainUntil }
