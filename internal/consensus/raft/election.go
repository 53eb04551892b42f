// Elections: when a member asks for one, how votes are counted, and what changes
// when it becomes leader or follower.

package raft

import (
	"orchidward/internal/api/identifier"
)

func (r *Raft) campaign(kind MessageKind, leaderTransfer bool) {
	r.timerResetAt = r.now
	r.resetElectionTimer()
	r.leader = 0
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
			msg := Message{Kind: kind, To: m.ID, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm(), LeaderTransfer: leaderTransfer}
			if kind == RequestPreVote {
				r.send(msg)
			} else {
				r.sendAfterSync(msg)
			}
		}
	}
	if kind == RequestPreVote {
		r.countVote(r.id)
		return
	}
	r.pendingMessages = append(r.pendingMessages, pendingMessage{seq: r.seq + 1, ownVote: true, message: Message{Term: term}})
}

func (r *Raft) becomeLeader() {
	r.role, r.leader = Leader, r.id
	r.previousLogTerm = r.log.lastTerm()
	r.recordFirstKnownTerm()
	r.peers = map[identifier.Node]*peer{}
	r.addPeers()
	r.heartbeatSentAt, r.electedAt = r.now, r.now
	r.termStart = r.append(EntryBlank, nil)
	for _, m := range r.Members() {
		r.replicateTo(m.ID, false)
	}
}

func (r *Raft) becomeFollower(term identifier.Term, leader identifier.Node) {
	if term > r.hardState.Term {
		r.setHardState(HardState{Term: term})
	}
	r.role, r.leader = Follower, leader
	r.votes, r.peers = nil, nil
	r.timerResetAt = r.now
	r.resetElectionTimer()
}

func (r *Raft) setHardState(h HardState) {
	r.hardState = h
	r.write.HardState = &h
	r.hardStateSeq = r.seq + 1
}
