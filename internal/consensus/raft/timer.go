package raft

import (
	"math/rand"

	"orchidward/internal/clock"
)

// electionTimer determines when a follower or candidate starts the next election. Each
// restart draws a new random timeout from [base, 2*base), so that split votes are rare
// (Ongaro's thesis, section 3.4).
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

// restart resets the timer and draws a new timeout.
func (t *electionTimer) restart(now clock.Monotonic) {
	t.resetAt = now
	t.timeout = t.base + clock.Millis(t.random.Int63n(int64(t.base)))
}

// postpone resets the timer and keeps the current timeout.
func (t *electionTimer) postpone(now clock.Monotonic) { t.resetAt = now }

func (t *electionTimer) expired(now clock.Monotonic) bool { return now.Since(t.resetAt) >= t.timeout }
