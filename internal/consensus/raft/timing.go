package raft

import "orchidward/internal/clock"

// defaultElectionTimeout is the election timeout of a group, in milliseconds.
const defaultElectionTimeout clock.Millis = 1000

// Timing holds the intervals of the protocol, in milliseconds of a monotonic clock.
// LeaseDuration must be shorter than ElectionTimeout by at least the drift between two
// clocks over that time.
type Timing struct {
	HeartbeatInterval clock.Millis
	// ElectionTimeout is the minimum time that a follower waits for its leader.
	ElectionTimeout clock.Millis
	LeaseDuration   clock.Millis
}

// DefaultTiming returns the timing for an election timeout of one second.
func DefaultTiming() Timing { return NewTiming(defaultElectionTimeout) }

// NewTiming returns the timing for an election timeout in milliseconds. The heartbeat
// interval is one fifth of it, and a lease lasts four fifths of it.
func NewTiming(electionTimeout clock.Millis) Timing {
	return Timing{
		HeartbeatInterval: electionTimeout / 5,
		ElectionTimeout:   electionTimeout,
		LeaseDuration:     electionTimeout * 4 / 5,
	}
}
