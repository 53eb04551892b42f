package raft

import "orchidward/internal/api/identifier"

// campaign starts a pre-vote if kind is RequestPreVote, or an election if it is
// RequestVote (Ongaro's thesis, sections 3.4 and 9.6). leaderTransfer is set if the
// leader itself requested the election.
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

// requestVote requests a vote or a pre-vote from one member. A vote request is sent only
// once the new term is on disk.
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

// countVote counts a vote or a pre-vote. Once a quorum of voters has granted theirs, a
// pre-candidate starts the election and a candidate becomes leader.
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

// becomeLeader starts the term with a blank entry. Committing it also commits all
// entries before it.
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

// becomeFollower makes this member a follower in a term that is not older than the
// current one. leader is noLeader if the leader is unknown.
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
