package raft

import (
	"math/rand"

	"orchidward/internal/clock"
)

// electionTimer decides when a follower or candidate is to start the next election.
// Its timeout is drawn anew from [base, 2*base) at each restart, so that members
// seldom stand against each other (Ongaro's thesis, section 3.4).
type electionTimer struct {
	random  *rand.Rand
	base    clock.Millis
	resetAt clock.Monotonic
	timeout clock.Millis
}

func newElectionTimer(base clock.Millis, seed int64, now clock.Monotonic) electionTimer {
	t := electionTimer{random: rand.New(rand.NewSource(seed)), base: base}
	t.restart(now)
	return t
}

// restart begins to wait for a newly drawn timeout.
func (t *electionTimer) restart(now clock.Monotonic) {
	t.resetAt = now
	t.timeout = t.base + clock.Millis(t.random.Int63n(int64(t.base)))
}

// postpone begins to wait anew for the same timeout.
func (t *electionTimer) postpone(now clock.Monotonic) { t.resetAt = now }

func (t *electionTimer) expired(now clock.Monotonic) bool { return now.Since(t.resetAt) >= t.timeout }
