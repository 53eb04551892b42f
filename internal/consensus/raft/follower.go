package raft

import (
	"fmt"

	"orchidward/internal/api/identifier"
)

// followLeader notes that the sender leads the current term and is alive.
func (r *Raft) followLeader(m Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.recordFirstKnownTerm()
	r.timer.postpone(r.now)
	r.leaderHeardAt = r.now
}

// handleAppend takes entries from the leader. They are refused unless the entry
// before them is in this log too (Ongaro's thesis, section 3.5).
func (r *Raft) handleAppend(m Message) {
	if m.Index < r.log.base {
		skip := r.log.base - m.Index
		if identifier.Index(len(m.Entries)) < skip {
			r.acknowledge(m, r.log.base)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = r.log.base
		m.LogTerm = r.log.baseTerm
	}
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		r.rejectAppend(m)
		return
	}
	match := m.Index + identifier.Index(len(m.Entries))
	r.mergeEntries(m.Entries)
	r.commit = max(r.commit, min(m.Commit, match))
	r.acknowledge(m, match)
}

// rejectAppend refuses entries and says up to which index both logs may be equal.
func (r *Raft) rejectAppend(m Message) {
	hint := max(r.commit, min(r.log.last(), m.Index-1))
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, NextHint: hint, SentAt: m.SentAt})
}

// mergeEntries skips the entries that the log has already and appends the rest,
// in place of any that contradict them.
func (r *Raft) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			r.truncate(e.Index)
		}
		for _, fresh := range entries[i:] {
			r.appendEntry(fresh)
		}
		return
	}
}

// truncate drops a tail that another leader's log contradicts.
func (r *Raft) truncate(from identifier.Index) {
	if from <= r.commit {
		panic(fmt.Sprintf("raft: entry %d contradicts the log, which is committed up to %d", from, r.commit))
	}
	r.log.truncateFrom(from)
	if r.truncatedFrom == 0 || from < r.truncatedFrom {
		r.truncatedFrom = from
	}
	r.outbox.truncate(from)
	r.truncateConfigurations(from)
}

// acknowledge acknowledges at once what is on disk already, so that a slow disk
// never looks like a lost connection, and the rest when it is synced.
func (r *Raft) acknowledge(m Message, match identifier.Index) {
	synced := min(match, r.outbox.syncedIndex)
	reply := Message{Kind: AppendReply, To: m.From, Index: synced, SentAt: m.SentAt}
	if !r.outbox.hardStateSynced() {
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
