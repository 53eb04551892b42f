// The leader's lease: how long it may act without having heard a quorum.

package raft

import (
	"sort"

	"orchidward/internal/clock"
)

// HasLease tells whether this leader may still act alone: a quorum answered
// something it sent less than a lease ago, and no other can have been elected.
func (r *Raft) HasLease(now clock.Monotonic) bool {
	return r.role == Leader && now.Since(r.quorumAck(now)) < r.timing.LeaseDuration
}

func (r *Raft) quorumAck(now clock.Monotonic) clock.Monotonic {
	acks := []clock.Monotonic{}
	for _, m := range r.Members() {
		switch {
		case !m.Voter:
		case m.ID == r.id:
			acks = append(acks, now)
		case r.peers[m.ID] != nil:
			acks = append(acks, r.peers[m.ID].ackedSentAt)
		}
	}
	sort.Slice(acks, func(i, j int) bool { return acks[i] > acks[j] })
	return acks[r.voterCount()/2]
}
