package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

const (
	// initialStopTime is how long a stop is taken to need before any was seen.
	initialStopTime clock.Millis = 200
	// stopTimeWeight is the part of a new stop time in the usual one: one in so many.
	stopTimeWeight = 16
	// maxPendingStops bounds the stops that are timed at once.
	maxPendingStops = 4096
)

// stopTimes measures how long it takes from the revocation of a lease to the end of its
// attempt, while the runner answers.
type stopTimes struct {
	revokedAt map[identifier.LeaseID]clock.Monotonic
	mean      clock.Millis
}

func newStopTimes() stopTimes {
	return stopTimes{revokedAt: map[identifier.LeaseID]clock.Monotonic{}, mean: initialStopTime}
}

// usual is how long a stop usually takes.
func (t *stopTimes) usual() clock.Millis { return t.mean }

// revoked notes that leases are revoked.
func (t *stopTimes) revoked(leases []identifier.LeaseID, now clock.Monotonic) {
	if len(t.revokedAt)+len(leases) > maxPendingStops {
		clear(t.revokedAt)
	}
	for _, id := range leases {
		t.revokedAt[id] = now
	}
}

// ended notes the end of an attempt.
func (t *stopTimes) ended(end state.End, now clock.Monotonic) {
	at, ok := t.revokedAt[end.Lease]
	if !ok {
		return
	}
	delete(t.revokedAt, end.Lease)
	if end.Outcome == state.OutcomeStopped {
		t.mean += (now.Since(at) - t.mean) / stopTimeWeight
	}
}
