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
		if !m.LeaderTransfer && r.busy() {
			return
		}
	case PreVoteReply:
		if m.Reject && m.Term > r.hard.Term {
			r.becomeFollower(m.Term, 0)
		}
		if r.role == PreCandidate && !m.Reject && m.Term == r.hard.Term+1 {
			r.countVote(m.From)
		}
		return
	}
	if m.Term < r.hard.Term {
		if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
			r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, NextHint: r.log.last(), SentAt: never})
		}
		return
	}
	if m.Term > r.hard.Term {
		lead := identifier.Node(0)
		if m.Kind == AppendEntries || m.Kind == InstallSnapshot {
			lead = m.From
		}
		r.becomeFollower(m.Term, lead)
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
		if r.voter(r.id) && r.role != Leader && !r.leaving {
			r.campaign(RequestVote, true)
		}
	}
}

// busy tells whether a leader has been heard too lately to help elect another.
// Word of a newer term does not end this: the older leader has its answer and
// may count on it for the length of its lease.
// A process just started counts as having heard one: before it stopped it may
// have, and that leader's lease may still stand.
func (r *Raft) busy() bool {
	if r.now.Since(r.start) < r.tm.ElectionTimeout {
		return true
	}
	if r.role == Leader {
		return r.HasLease(r.now)
	}
	return r.now.Since(r.followed) < r.tm.ElectionTimeout
}

func (r *Raft) upToDate(m Message) bool {
	t := r.log.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= r.log.last()
}

func (r *Raft) handlePreVoteRequest(m Message) {
	no := m.Term <= r.hard.Term || !r.upToDate(m) || r.busy() || r.log.last() == 0
	term := m.Term
	if m.Term <= r.hard.Term {
		term = r.hard.Term
	} else if no {
		return
	}
	r.send(Message{Kind: PreVoteReply, To: m.From, Term: term, Reject: no})
}

func (r *Raft) handleVoteRequest(m Message) {
	ok := (r.hard.Vote == 0 || r.hard.Vote == m.From) && r.upToDate(m) && r.role == Follower && r.log.last() > 0
	if !ok {
		r.sendAfterSync(Message{Kind: VoteReply, To: m.From, Reject: true})
		return
	}
	if r.hard.Vote == 0 {
		r.setHard(HardState{Term: r.hard.Term, Vote: m.From})
	}
	r.heard = r.now
	r.sendAfterSync(Message{Kind: VoteReply, To: m.From})
}

// followLeader takes a message of the term's leader as a sign of its life.
func (r *Raft) followLeader(m Message) {
	if r.role != Follower || r.lead != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.meeting()
	r.heard, r.followed = r.now, r.now
}

// meeting notes the first term in which this process knew a leader.
func (r *Raft) meeting() {
	if r.met == 0 {
		r.met = r.hard.Term
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
			r.log.list = append(r.log.list, e)
			r.write.Entries = append(r.write.Entries, e)
			r.learnConfiguration(e)
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
	r.log.cut(from)
	if r.truncatedFrom == 0 || from < r.truncatedFrom {
		r.truncatedFrom = from
	}
	r.synced = min(r.synced, from-1)
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
		r.inFlight[i].last = min(r.inFlight[i].last, from-1)
	}
}

// acknowledge acknowledges at once what is on disk already, so that a slow disk
// never looks like a lost link, and the rest when it is synced.
func (r *Raft) acknowledge(m Message, match identifier.Index) {
	now := min(match, r.synced)
	back := Message{Kind: AppendReply, To: m.From, Index: now, SentAt: m.SentAt}
	if r.hardSeq > r.done {
		back.Index = match
		r.sendAfterSync(back)
		return
	}
	r.send(back)
	if now < match {
		back.Index = match
		r.sendAfterSync(back)
	}
}

func (r *Raft) handleAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.hear(m, r.ledSince, r.now)
	p.from = m.LogTerm
	if m.Reject {
		if p.probe && m.Index != p.prev || m.Index < p.match {
			return
		}
		p.next = max(p.match+1, min(m.NextHint+1, r.log.last()+1))
		p.probe, p.out = true, false
		r.replicateTo(m.From, false)
		return
	}
	if p.probe && m.Index >= p.prev {
		p.probe = false
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	if p.load != nil && p.match >= p.load.Index {
		p.load = nil
	}
	if p.next <= r.log.last() && p.load == nil {
		r.replicateTo(m.From, false)
	}
}

// handleSnapshot takes a part of a snapshot. One whose last entry is in the log
// already only tells that this entry is committed: entries behind it may have
// been acknowledged, and must stay.
func (r *Raft) handleSnapshot(m Message) {
	v := m.Snapshot
	if v == nil {
		return
	}
	if v.Index <= r.commit {
		r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: r.commit, SentAt: m.SentAt})
		return
	}
	if term, ok := r.log.term(v.Index); ok && term == v.Term {
		r.commit = v.Index
		r.acknowledge(m, v.Index)
		return
	}
	if r.receiving == nil || r.receiving.Index != v.Index || r.receivingFrom != m.From {
		r.receivingFrom = m.From
		r.receiving = &Snapshot{Index: v.Index, Term: v.Term, Members: v.Members}
	}
	if m.Offset == int64(len(r.receiving.Data)) {
		r.receiving.Data = append(r.receiving.Data, v.Data...)
	}
	if int64(len(r.receiving.Data)) < m.Total {
		r.send(Message{Kind: SnapshotReply, To: m.From, Index: v.Index, Offset: int64(len(r.receiving.Data)), SentAt: m.SentAt})
		return
	}
	whole := r.receiving
	r.receiving = nil
	r.replaceLog(whole)
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: whole.Index, SentAt: m.SentAt})
}

// replaceLog goes on from a snapshot of the leader's: all of the log is either
// covered by it or contradicts it.
func (r *Raft) replaceLog(whole *Snapshot) {
	r.log = log{base: whole.Index, baseTerm: whole.Term, view: whole}
	r.configurations = []configuration{{whole.Index, whole.Members}}
	r.commit, r.taken, r.synced = whole.Index, whole.Index, 0
	for i := range r.inFlight {
		r.inFlight[i].last = 0
	}
	r.write.Entries = nil
	r.write.Snapshot = whole
	r.out.Committed, r.out.InstalledSnapshot = nil, whole
}

func (r *Raft) handleSnapshotReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.hear(m, r.ledSince, r.now)
	if p.load != nil && p.load.Index == m.Index && m.Offset != p.off {
		p.off, p.sent = m.Offset, 0
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
	var out []MemberStatus
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; p != nil {
			out = append(out, MemberStatus{Member: m, Match: p.match, SilentFor: r.now.Since(p.heard), WallTime: p.wall, WallTimeReadAt: p.at, FirstKnownTerm: p.met, ClusterTime: p.site, ClusterTimeTerm: p.from, Level: p.level, Leaving: p.leaving})
		}
	}
	return out
}
