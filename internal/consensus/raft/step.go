// Step takes one message from another keeper.

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Step passes in one message from another member. Messages to another member or
// of an older term change nothing; a stale leader is told of the newer term. A
// message of a newer term makes this member a follower in it, except that a vote
// request is ignored while a leader may still hold its lease.
func (r *Raft) Step(m Message, now clock.Monotonic, wall clock.WallTime) {
	r.now, r.wall = now, wall
	if m.To != r.id {
		return
	}
	switch m.Kind {
	case RequestPreVote:
		r.handlePreVoteRequest(m)
		return
	case RequestVote:
		if !m.LeaderTransfer && r.leaseMayBeActive() {
			return
		}
	case PreVoteReply:
		if m.Reject && m.Term > r.hardState.Term {
			r.becomeFollower(m.Term, 0)
		}
		if r.role == PreCandidate && !m.Reject && m.Term == r.hardState.Term+1 {
			r.countVote(m.From)
		}
		return
	}
	if m.Term < r.hardState.Term {
		if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
			r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, NextHint: r.log.last(), SentAt: never})
		}
		return
	}
	if m.Term > r.hardState.Term {
		leader := identifier.Node(0)
		if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
			leader = m.From
		}
		r.becomeFollower(m.Term, leader)
	}
	switch m.Kind {
	case AppendEntries:
		r.followLeader(m)
		r.handleAppend(m)
	case InstallSnapshot:
		r.followLeader(m)
		r.handleSnapshot(m)
	case RequestVote:
		r.handleVoteRequest(m)
	case VoteReply:
		if r.role == Candidate && !m.Reject {
			r.countVote(m.From)
		}
	case AppendReply:
		r.handleAppendReply(m)
	case SnapshotReply:
		r.handleSnapshotReply(m)
	case TimeoutNow:
		if r.isVoter(r.id) && r.role != Leader && !r.leaving {
			r.campaign(RequestVote, true)
		}
	}
}

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

// followLeader takes a message of the term's leader as a sign of its life.
func (r *Raft) followLeader(m Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.recordFirstKnownTerm()
	r.timerResetAt, r.leaderHeardAt = r.now, r.now
}

// recordFirstKnownTerm notes the first term in which this process knew a leader.
func (r *Raft) recordFirstKnownTerm() {
	if r.firstKnownTerm == 0 {
		r.firstKnownTerm = r.hardState.Term
	}
}

func (r *Raft) handleAppend(m Message) {
	if m.Index < r.log.base {
		skip := r.log.base - m.Index
		if identifier.Index(len(m.Entries)) < skip {
			r.acknowledge(m, r.log.base)
			return
		}
		m.Entries, m.Index, m.LogTerm = m.Entries[skip:], r.log.base, r.log.baseTerm
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(r.log.last(), m.Index-1)
		r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, NextHint: max(hint, r.commit), SentAt: m.SentAt})
		return
	}
	match := m.Index + identifier.Index(len(m.Entries))
	for i, e := range m.Entries {
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.truncate(e.Index)
		}
		for _, e := range m.Entries[i:] {
			r.log.entries = append(r.log.entries, e)
			r.write.Entries = append(r.write.Entries, e)
			r.recordConfiguration(e)
		}
		break
	}
	r.commit = max(r.commit, min(m.Commit, match))
	r.acknowledge(m, match)
}

// truncate drops a tail that another leader's log contradicts.
func (r *Raft) truncate(from identifier.Index) {
	if from <= r.commit {
		panic("raft: a committed entry would be cut")
	}
	r.log.truncateFrom(from)
	if r.truncatedFrom == 0 || from < r.truncatedFrom {
		r.truncatedFrom = from
	}
	r.syncedIndex = min(r.syncedIndex, from-1)
	kept := r.write.Entries[:0]
	for _, e := range r.write.Entries {
		if e.Index < from {
			kept = append(kept, e)
		}
	}
	r.write.Entries = kept
	for len(r.configurations) > 1 && r.configurations[len(r.configurations)-1].index >= from {
		r.configurations = r.configurations[:len(r.configurations)-1]
	}
	for i := range r.inFlight {
		r.inFlight[i].lastIndex = min(r.inFlight[i].lastIndex, from-1)
	}
}

// acknowledge acknowledges at once what is on disk already, so that a slow disk
// never looks like a lost link, and the rest when it is synced.
func (r *Raft) acknowledge(m Message, match identifier.Index) {
	synced := min(match, r.syncedIndex)
	reply := Message{Kind: AppendReply, To: m.From, Index: synced, SentAt: m.SentAt}
	if r.hardStateSeq > r.syncedSeq {
		reply.Index = match
		r.sendAfterSync(reply)
		return
	}
	r.send(reply)
	if synced < match {
		reply.Index = match
		r.sendAfterSync(reply)
	}
}

func (r *Raft) handleAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m, r.electedAt, r.now)
	p.clusterTimeTerm = m.LogTerm
	if m.Reject {
		if p.probing && m.Index != p.lastPrevIndex || m.Index < p.match {
			return
		}
		p.next = max(p.match+1, min(m.NextHint+1, r.log.last()+1))
		p.probing, p.appendInFlight = true, false
		r.replicateTo(m.From, false)
		return
	}
	if p.probing && m.Index >= p.lastPrevIndex {
		p.probing = false
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
	if p.next <= r.log.last() && p.snapshot == nil {
		r.replicateTo(m.From, false)
	}
}

// handleSnapshot takes a part of a snapshot. One whose last entry is in the log
// already only tells that this entry is committed: entries behind it may have
// been acknowledged, and must stay.
func (r *Raft) handleSnapshot(m Message) {
	chunk := m.Snapshot
	if chunk == nil {
		return
	}
	if chunk.Index <= r.commit {
		r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: r.commit, SentAt: m.SentAt})
		return
	}
	if term, ok := r.log.term(chunk.Index); ok && term == chunk.Term {
		r.commit = chunk.Index
		r.acknowledge(m, chunk.Index)
		return
	}
	if r.incomingSnapshot == nil || r.incomingSnapshot.Index != chunk.Index || r.incomingFrom != m.From {
		r.incomingFrom = m.From
		r.incomingSnapshot = &Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members}
	}
	if m.Offset == int64(len(r.incomingSnapshot.Data)) {
		r.incomingSnapshot.Data = append(r.incomingSnapshot.Data, chunk.Data...)
	}
	if int64(len(r.incomingSnapshot.Data)) < m.Total {
		r.send(Message{Kind: SnapshotReply, To: m.From, Index: chunk.Index, Offset: int64(len(r.incomingSnapshot.Data)), SentAt: m.SentAt})
		return
	}
	complete := r.incomingSnapshot
	r.incomingSnapshot = nil
	r.replaceLog(complete)
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: complete.Index, SentAt: m.SentAt})
}

// replaceLog goes on from a snapshot of the leader's: all of the log is either
// covered by it or contradicts it.
func (r *Raft) replaceLog(snapshot *Snapshot) {
	r.log = log{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot}
	r.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	r.commit, r.delivered, r.syncedIndex = snapshot.Index, snapshot.Index, 0
	for i := range r.inFlight {
		r.inFlight[i].lastIndex = 0
	}
	r.write.Entries = nil
	r.write.Snapshot = snapshot
	r.output.Committed, r.output.InstalledSnapshot = nil, snapshot
}

func (r *Raft) handleSnapshotReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m, r.electedAt, r.now)
	if p.snapshot != nil && p.snapshot.Index == m.Index && m.Offset != p.snapshotOffset {
		p.snapshotOffset, p.chunkSentAt = m.Offset, 0
		r.sendSnapshot(m.From, p, true)
	}
}

// MemberStatus is what the leader can tell of one member.
type MemberStatus struct {
	Member
	Match           identifier.Index
	SilentFor       clock.Millis
	WallTime        clock.WallTime
	WallTimeReadAt  clock.Monotonic
	FirstKnownTerm  identifier.Term
	ClusterTime     clock.ClusterTime
	ClusterTimeTerm identifier.Term
	Level           uint16
	// Leaving is a member that has said that it stops soon.
	Leaving bool
}

// MemberStatuses lists the other members as the leader sees them.
func (r *Raft) MemberStatuses() []MemberStatus {
	var statuses []MemberStatus
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; p != nil {
			statuses = append(statuses, MemberStatus{Member: m, Match: p.match, SilentFor: r.now.Since(p.lastHeardAt), WallTime: p.wallTime, WallTimeReadAt: p.wallTimeReadAt, FirstKnownTerm: p.firstKnownTerm, ClusterTime: p.clusterTime, ClusterTimeTerm: p.clusterTimeTerm, Level: p.level, Leaving: p.leaving})
		}
	}
	return statuses
}
