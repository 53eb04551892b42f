package raft

// TransferLeadership hands leadership to the voter that has most of the log
// (Ongaro's thesis, section 3.10) and reports whether there was one. The leader
// steps down at once: it must not act on a lease that it has let another break.
func (r *Raft) TransferLeadership() bool {
	best := noLeader
	for _, m := range r.Members() {
		p := r.peers[m.ID]
		if !m.Voter || p == nil || p.leaving || p.match < r.commit || !r.recentlyHeard(p) {
			continue
		}
		if best == noLeader || p.match > r.peers[best].match {
			best = m.ID
		}
	}
	if best == noLeader {
		return false
	}
	r.send(Message{Kind: TimeoutNow, To: best})
	r.becomeFollower(r.hardState.Term, noLeader)
	return true
}

// PrepareToLeave marks this member as one that stops soon: it starts no election,
// refuses leadership that is handed to it, and informs the leader.
func (r *Raft) PrepareToLeave() { r.leaving = true }

// Replicated reports whether every other voter that this leader hears has the
// complete log on its disk.
func (r *Raft) Replicated() bool {
	for _, m := range r.Members() {
		p := r.peers[m.ID]
		if !m.Voter || p == nil || !r.recentlyHeard(p) {
			continue
		}
		if p.match < r.log.last() {
			return false
		}
	}
	return true
}

// recentlyHeard reports whether a peer has answered within the election timeout.
func (r *Raft) recentlyHeard(p *peer) bool {
	return r.now.Since(p.lastHeardAt) <= r.timing.ElectionTimeout
}

// diskStalled reports whether this leader's own disk delays the group: its oldest
// write has been under way for an election timeout, while enough of the other
// voters to form a quorum with it have synced past it.
func (r *Raft) diskStalled() bool {
	issuedAt, ok := r.outbox.oldestWrite()
	if !ok || r.now.Since(issuedAt) < r.timing.ElectionTimeout {
		return false
	}
	ahead := 0
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; m.Voter && p != nil && p.match > r.outbox.syncedIndex {
			ahead++
		}
	}
	return ahead > 0 && ahead >= r.voterCount()/2
}
