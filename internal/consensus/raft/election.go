// Elections: when a member asks for one, how votes are counted, and what changes
// when it becomes leader or follower.

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
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

func (r *Raft) resetElectionTimer() {
	r.randomizedTimeout = r.timing.ElectionTimeout + clock.Millis(r.random.Int63n(int64(r.timing.ElectionTimeout)))
}

func (r *Raft) setHardState(h HardState) {
	r.hardState = h
	r.write.HardState = &h
	r.hardStateSeq = r.seq + 1
}
