package raft

import (
	"orchidward/internal/api/identifier"
)

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
