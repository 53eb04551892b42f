package raft

import (
	"fmt"

	"orchidward/internal/api/identifier"
)

// followLeader records that the sender is the live leader of the current term.
func (r *Raft) followLeader(m Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.recordFirstKnownTerm()
	r.timer.postpone(r.now)
	r.leaderHeardAt = r.now
}

// handleAppend appends entries from the leader. It rejects them unless the log contains
// the entry that precedes them (Ongaro's thesis, section 3.5).
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

// rejectAppend rejects entries and sends the leader a hint: the highest index up to which
// both logs may match.
func (r *Raft) rejectAppend(m Message) {
	hint := max(r.commit, min(r.log.last(), m.Index-1))
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, NextHint: hint, SentAt: m.SentAt})
}

// mergeEntries skips the entries that the log already contains and appends the others,
// after truncating any conflicting entries.
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

// truncate removes the entries from an index on, which conflict with the leader's log.
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

// acknowledge immediately acknowledges the entries that are already on disk, so that a
// slow disk does not look like a lost connection, and the others once they are synced.
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
