package raft

import "orchidward/internal/api/identifier"

// campaign starts a pre-vote or an election, as kind is RequestPreVote or
// RequestVote (Ongaro's thesis, sections 3.4 and 9.6). leaderTransfer says that
// the leader itself asked for the election.
func (r *Raft) campaign(kind MessageKind, leaderTransfer bool) {
	r.timer.restart(r.now)
	r.leader = noLeader
	r.votes = map[identifier.Node]bool{}
	term := r.hardState.Term + 1
	if kind == RequestPreVote {
		r.role = PreCandidate
	} else {
		r.role = Candidate
		r.setHardState(HardState{Term: term, Vote: r.id})
	}
	for _, m := range r.Members() {
		if m.Voter && m.ID != r.id {
			r.requestVote(kind, m.ID, term, leaderTransfer)
		}
	}
	if kind == RequestPreVote {
		r.countVote(r.id)
		return
	}
	r.outbox.deferOwnVote(term)
}

// requestVote asks one member for a vote, or for a promise of one. A vote is asked
// for only once the new term is on disk.
func (r *Raft) requestVote(kind MessageKind, to identifier.Node, term identifier.Term, leaderTransfer bool) {
	request := Message{
		Kind:           kind,
		To:             to,
		Term:           term,
		Index:          r.log.last(),
		LogTerm:        r.log.lastTerm(),
		LeaderTransfer: leaderTransfer,
	}
	if kind == RequestPreVote {
		r.send(request)
		return
	}
	r.sendAfterSync(request)
}

// countVote counts a vote, or a promise of one in a pre-vote, and goes on once a
// quorum of voters has given theirs.
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

// becomeLeader opens the term with a blank entry, by which all entries before it can
// be committed.
func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.recordFirstKnownTerm()
	r.peers = map[identifier.Node]*peer{}
	r.matchPeers()
	r.leadership = leadership{
		electedAt:       r.now,
		heartbeatSentAt: r.now,
		previousLogTerm: r.log.lastTerm(),
	}
	r.leadership.termStart = r.append(EntryBlank, nil)
	for _, m := range r.Members() {
		r.replicateTo(m.ID, false)
	}
}

// becomeFollower follows a leader in a term that is not older than the current one;
// the leader may be unknown.
func (r *Raft) becomeFollower(term identifier.Term, leader identifier.Node) {
	if term > r.hardState.Term {
		r.setHardState(HardState{Term: term})
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.peers = nil
	r.timer.restart(r.now)
}
