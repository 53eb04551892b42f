package raft

import "orchidward/internal/api/identifier"

// leaseMayBeActive tells whether a leader has been heard too lately to help elect another.
// Word of a newer term does not end this: the older leader has its answer and
// may count on it for the length of its lease.
// A process just started counts as having heard one: before it stopped it may
// have, and that leader's lease may still stand.
func (r *Raft) leaseMayBeActive() bool {
	if r.now.Since(r.startedAt) < r.timing.ElectionTimeout {
		return true
	}
	if r.role == Leader {
		return r.HasLease(r.now)
	}
	return r.now.Since(r.leaderHeardAt) < r.timing.ElectionTimeout
}

func (r *Raft) candidateUpToDate(m Message) bool {
	lastTerm := r.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= r.log.last()
}

func (r *Raft) handlePreVoteRequest(m Message) {
	reject := m.Term <= r.hardState.Term || !r.candidateUpToDate(m) || r.leaseMayBeActive() || r.log.last() == 0
	term := m.Term
	if m.Term <= r.hardState.Term {
		term = r.hardState.Term
	} else if reject {
		return
	}
	r.send(Message{Kind: PreVoteReply, To: m.From, Term: term, Reject: reject})
}

func (r *Raft) handleVoteRequest(m Message) {
	grant := (r.hardState.Vote == 0 || r.hardState.Vote == m.From) && r.candidateUpToDate(m) && r.role == Follower && r.log.last() > 0
	if !grant {
		r.sendAfterSync(Message{Kind: VoteReply, To: m.From, Reject: true})
		return
	}
	if r.hardState.Vote == 0 {
		r.setHardState(HardState{Term: r.hardState.Term, Vote: m.From})
	}
	r.timerResetAt = r.now
	r.sendAfterSync(Message{Kind: VoteReply, To: m.From})
}

func (r *Raft) countVote(from identifier.Node) {
	r.votes[from] = true
	granted := 0
	for id := range r.votes {
		if r.isVoter(id) {
			granted++
		}
	}
	if granted*2 <= r.voterCount() {
		return
	}
	if r.role == PreCandidate {
		r.campaign(RequestVote, false)
		return
	}
	r.becomeLeader()
}
