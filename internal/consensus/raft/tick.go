package raft

import (
	"orchidward/internal/clock"
)

// Tick passes in the time. A leader sends heartbeats that are due, and steps
// down when no quorum has answered it for two election timeouts; any other voter
// starts a pre-vote once its election timeout has passed without a leader.
func (r *Raft) Tick(now clock.Monotonic, wall clock.WallTime) {
	r.now, r.wall = now, wall
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now.Since(r.timerResetAt) >= r.randomizedTimeout && r.isVoter(r.id) && !r.leaving {
		r.campaign(RequestPreVote, false)
	}
}

func (r *Raft) tickLeader() {
	if r.now.Since(max(r.electedAt, r.quorumAck(r.now))) >= 2*r.timing.ElectionTimeout {
		r.becomeFollower(r.hardState.Term, 0)
		return
	}
	if r.diskStalled() {
		r.TransferLeadership()
		return
	}
	if r.now.Since(r.heartbeatSentAt) >= r.timing.HeartbeatInterval {
		r.heartbeatSentAt = r.now
		for _, m := range r.Members() {
			r.replicateTo(m.ID, true)
		}
	}
}
