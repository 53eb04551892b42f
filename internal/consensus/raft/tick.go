package raft

import "orchidward/internal/clock"

// quorumLossTimeouts is after how many election timeouts without an answer from
// a quorum a leader steps down (Ongaro's thesis, section 6.2).
const quorumLossTimeouts = 2

// Tick passes in the time. A leader sends heartbeats that are due, and steps
// down when no quorum has answered it for two election timeouts. Once its election timeout
// has passed without a leader, any other voter starts a pre-vote, and a member without
// a vote knows no leader any more.
func (r *Raft) Tick(now clock.Monotonic, wall clock.WallTime) {
	r.now = now
	r.wall = wall
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.timer.expired(now) && r.isVoter(r.id) && !r.leaving {
		r.campaign(RequestPreVote, false)
	}
	if r.timer.expired(now) && !r.isVoter(r.id) && !r.leaving {
		r.leader = noLeader
	}
}

// tickLeader steps down without a quorum, hands leadership over when its own disk
// stands still, and otherwise sends the heartbeats that are due.
func (r *Raft) tickLeader() {
	lastQuorum := max(r.leadership.electedAt, r.quorumAck(r.now))
	if r.now.Since(lastQuorum) >= quorumLossTimeouts*r.timing.ElectionTimeout {
		r.becomeFollower(r.hardState.Term, noLeader)
		return
	}
	if r.diskStalled() {
		r.TransferLeadership()
		return
	}
	if r.now.Since(r.leadership.heartbeatSentAt) >= r.timing.HeartbeatInterval {
		r.leadership.heartbeatSentAt = r.now
		for _, m := range r.Members() {
			r.replicateTo(m.ID, true)
		}
	}
}
