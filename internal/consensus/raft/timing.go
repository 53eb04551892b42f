package raft

import (
	"orchidward/internal/clock"
)

// Timing in spans of the monotonic clock. Lease is shorter than Elect, the
// least a follower waits, by what clocks may drift in that time.
type Timing struct {
	HeartbeatInterval clock.Millis
	ElectionTimeout   clock.Millis
	LeaseDuration     clock.Millis
}

// DefaultTiming is the timing with an election timeout of one second.
func DefaultTiming() Timing { return NewTiming(1000) }

// NewTiming is the timing for a least election wait, in milliseconds.
func NewTiming(electionTimeout clock.Millis) Timing {
	return Timing{HeartbeatInterval: electionTimeout / 5, ElectionTimeout: electionTimeout, LeaseDuration: electionTimeout * 4 / 5}
}
