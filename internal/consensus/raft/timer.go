package raft

import (
	"orchidward/internal/clock"
)

func (r *Raft) resetElectionTimer() {
	r.randomizedTimeout = r.timing.ElectionTimeout + clock.Millis(r.random.Int63n(int64(r.timing.ElectionTimeout)))
}
