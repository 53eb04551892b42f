package raft

import (
	"orchidward/internal/api/identifier"
)

// TransferLeadership gives leadership to the member that has most of the log. The leader
// stands down at once: it must not act on a lease it has let another break.
func (r *Raft) TransferLeadership() bool {
	best := identifier.Node(0)
	for _, m := range r.Members() {
		p := r.peers[m.ID]
		if !m.Voter || p == nil || p.leaving || p.match < r.commit || r.now.Since(p.lastHeardAt) > r.timing.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > r.peers[best].match {
			best = m.ID
		}
	}
	if best == 0 {
		return false
	}
	r.send(Message{Kind: TimeoutNow, To: best})
	r.becomeFollower(r.hardState.Term, 0)
	return true
}

// PrepareToLeave makes this member one that stops soon: it asks for no election, takes
// no leadership that is handed to it, and says so to the leader.
func (r *Raft) PrepareToLeave() { r.leaving = true }

// Replicated tells whether every other voter that this leader hears has the
// whole log on its disk.
func (r *Raft) Replicated() bool {
	for _, m := range r.Members() {
		p := r.peers[m.ID]
		if !m.Voter || p == nil || r.now.Since(p.lastHeardAt) > r.timing.ElectionTimeout {
			continue
		}
		if p.match < r.log.last() {
			return false
		}
	}
	return true
}

// slow tells whether this leader's own disk holds the group up: a write of its
// own is long overdue while a quorum of the others has synced past it.
func (r *Raft) diskStalled() bool {
	if len(r.inFlight) == 0 || r.now.Since(r.inFlight[0].issuedAt) < r.timing.ElectionTimeout {
		return false
	}
	ahead := 0
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; m.Voter && p != nil && p.match > r.syncedIndex {
			ahead++
		}
	}
	return ahead > 0 && ahead >= r.voterCount()/2
}
