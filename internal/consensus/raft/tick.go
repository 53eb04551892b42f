package raft

import "orchidward/internal/clock"

// quorumLossTimeouts is the number of election timeouts without replies from a quorum
// after which a leader steps down (Ongaro's thesis, section 6.2).
const quorumLossTimeouts = 2

// Tick advances the clock. A leader sends the heartbeats that are due, and steps down if
// it has had no replies from a quorum for two election timeouts. When the election timeout
// expires on any other member, a voter starts a pre-vote and a learner treats its leader as
// unknown. A member that is leaving does neither.
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

// tickLeader steps down if the quorum is lost, transfers leadership if this leader's
// disk stalls, and otherwise sends the heartbeats that are due.
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
