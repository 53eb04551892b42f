package raft

import "orchidward/internal/clock"

// HasLease reports whether this leader may still act without asking the others: a
// quorum has answered messages that it sent less than LeaseDuration ago, and
// until that ends no other member can have been elected (Ongaro's thesis,
// section 6.4.1).
func (r *Raft) HasLease(now clock.Monotonic) bool {
	return r.role == Leader && now.Since(r.quorumAck(now)) < r.timing.LeaseDuration
}

// quorumAck is the latest time such that a quorum, this leader included, has
// answered a message sent at it or later.
func (r *Raft) quorumAck(now clock.Monotonic) clock.Monotonic {
	acks := voterValues(r, now, func(p *peer) clock.Monotonic { return p.ackedSentAt })
	return acks[r.voterCount()/2]
}
