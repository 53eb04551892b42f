package raft

import "orchidward/internal/clock"

// HasLease reports whether this member is a leader that may act without confirming its
// leadership: a quorum has replied to messages that it sent less than LeaseDuration ago,
// and no other member can be elected before the lease expires (Ongaro's thesis, section
// 6.4.1).
func (r *Raft) HasLease(now clock.Monotonic) bool {
	return r.role == Leader && now.Since(r.quorumAck(now)) < r.timing.LeaseDuration
}

// quorumAck returns the latest time such that a quorum, including this leader, has
// replied to messages sent at or after it.
func (r *Raft) quorumAck(now clock.Monotonic) clock.Monotonic {
	acks := voterValues(r, now, func(p *peer) clock.Monotonic { return p.ackedSentAt })
	return acks[r.voterCount()/2]
}
