package raft

// leaseMayBeActive reports whether this member heard from a leader so recently that it
// must not vote for another. A newer term does not change this: the earlier leader has
// this member's reply and relies on it for the duration of its lease. A process that
// has just started is treated as if it had just heard from a leader, since it may have
// replied to one before it stopped. See Ongaro's thesis, sections 4.2.3 and 6.4.1.
func (r *Raft) leaseMayBeActive() bool {
	if r.now.Since(r.startedAt) < r.timing.ElectionTimeout {
		return true
	}
	if r.role == Leader {
		return r.HasLease(r.now)
	}
	return r.now.Since(r.leaderHeardAt) < r.timing.ElectionTimeout
}

// candidateUpToDate reports whether the log of the candidate that sent m is at least as
// up-to-date as this member's log (Ongaro's thesis, section 3.6.1).
func (r *Raft) candidateUpToDate(m Message) bool {
	lastTerm := r.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= r.log.last()
}

// handlePreVoteRequest replies whether this member would grant a vote (Ongaro's thesis,
// section 9.6). It sends a rejection only to a member whose term is stale; in other
// cases it denies the pre-vote by not replying, as if the message had been lost. A
// member whose log is empty grants no pre-vote: it joined with an empty disk and waits
// for a snapshot.
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

// handlePreVoteReply counts a pre-vote for the next term. A rejection carries the newer
// term of its sender, in which this member becomes a follower.
func (r *Raft) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > r.hardState.Term {
		r.becomeFollower(m.Term, noLeader)
	}
	if r.role == PreCandidate && !m.Reject && m.Term == r.hardState.Term+1 {
		r.countVote(m.From)
	}
}

// handleVoteRequest grants a vote to a candidate of the current term whose log is
// up-to-date, unless this member has voted for another candidate in this term. The vote
// is sent only once it is on disk.
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

// handleTimeoutNow starts an election immediately, since the leader has stepped down to
// transfer leadership to this member.
func (r *Raft) handleTimeoutNow() {
	if r.isVoter(r.id) && r.role != Leader && !r.leaving {
		r.campaign(RequestVote, true)
	}
}
