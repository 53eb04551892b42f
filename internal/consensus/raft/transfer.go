package raft

// TransferLeadership transfers leadership to the most up-to-date responsive voter
// (Ongaro's thesis, section 3.10) and reports whether there is one. The leader steps down
// immediately: it must not rely on its lease once another member may be elected in spite
// of it.
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

// PrepareToLeave marks this member as about to stop: it starts no elections, ignores
// TimeoutNow, and informs the leader in its messages.
func (r *Raft) PrepareToLeave() { r.leaving = true }

// Replicated reports whether every other voter that has recently replied to this leader
// has the complete log on its disk.
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

// recentlyHeard reports whether a peer has replied within the last election timeout.
func (r *Raft) recentlyHeard(p *peer) bool {
	return r.now.Since(p.lastHeardAt) <= r.timing.ElectionTimeout
}

// diskStalled reports whether this leader's disk delays the group: its oldest write has
// been in flight for an election timeout, while enough other voters to form a quorum with
// this leader have synced more of the log.
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
