package raft

// leaseMayBeActive reports whether a leader was heard too recently to help elect
// another. A newer term does not end this: the earlier leader has this member's
// answer and may rely on it for the duration of its lease. A process that has
// just started counts as having heard a leader: it may have before it stopped. See
// Ongaro's thesis, sections 4.2.3 and 6.4.1.
func (r *Raft) leaseMayBeActive() bool {
	if r.now.Since(r.startedAt) < r.timing.ElectionTimeout {
		return true
	}
	if r.role == Leader {
		return r.HasLease(r.now)
	}
	return r.now.Since(r.leaderHeardAt) < r.timing.ElectionTimeout
}

// candidateUpToDate reports whether the log of a candidate that sent m is at least
// as up to date as this one (Ongaro's thesis, section 3.6.1).
func (r *Raft) candidateUpToDate(m Message) bool {
	lastTerm := r.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= r.log.last()
}

// handlePreVoteRequest answers whether a request for a vote would be granted
// (Ongaro's thesis, section 9.6). A refusal is sent only to a member that has missed
// a term; any other gets no reply, as if the message had been lost. A member whose
// log is still empty grants none: it has joined with an empty disk and waits for a snapshot.
func (r *Raft) handlePreVoteRequest(m Message) {
	staleTerm := m.Term <= r.hardState.Term
	reject := staleTerm || !r.candidateUpToDate(m) || r.leaseMayBeActive() || r.log.last() == 0
	if reject && !staleTerm {
		return
	}
	term := m.Term
	if staleTerm {
		term = r.hardState.Term
	}
	r.send(Message{Kind: PreVoteReply, To: m.From, Term: term, Reject: reject})
}

// handlePreVoteReply counts a promise of a vote for the next term. A refusal
// carries a newer term.
func (r *Raft) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, noLeader)
	}
	if r.role == PreCandidate && !m.Reject && m.Term == r.hardState.Term+1 {
		r.countVote(m.From)
	}
}

// handleVoteRequest votes for a candidate of the current term, unless this member
// has voted for another in it. The vote is sent only once it is on disk.
func (r *Raft) handleVoteRequest(m Message) {
	free := r.hardState.Vote == noVote || r.hardState.Vote == m.From
	grant := free && r.candidateUpToDate(m) && r.role == Follower && r.log.last() > 0
	if !grant {
		r.sendAfterSync(Message{Kind: VoteReply, To: m.From, Reject: true})
		return
	}
	if r.hardState.Vote == noVote {
		r.setHardState(HardState{Term: r.hardState.Term, Vote: m.From})
	}
	r.timer.postpone(r.now)
	r.sendAfterSync(Message{Kind: VoteReply, To: m.From})
}

func (r *Raft) handleVoteReply(m Message) {
	if r.role == Candidate && !m.Reject {
		r.countVote(m.From)
	}
}

// handleTimeoutNow starts an election at once, as the leader has stepped down in
// this member's favour.
func (r *Raft) handleTimeoutNow() {
	if r.isVoter(r.id) && r.role != Leader && !r.leaving {
		r.campaign(RequestVote, true)
	}
}
