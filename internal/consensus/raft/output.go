package raft

// send sends a message without waiting for pending writes.
func (r *Raft) send(m Message) { r.emit(r.address(m)) }

// sendAfterSync sends a message once all writes so far are on disk.
func (r *Raft) sendAfterSync(m Message) {
	r.outbox.deferUntilSynced(r.address(m))
	r.releasePending()
}

// address fills in the sender, and its term and send time unless they are set.
func (r *Raft) address(m Message) Message {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	if m.SentAt == 0 {
		m.SentAt = r.now
	}
	return m
}

// emit adds a message to the output, together with this member's current status: its
// clock evidence, command level and whether it is leaving.
func (r *Raft) emit(m Message) {
	m.Wall = r.wall
	m.FirstKnownTerm = r.evidence.firstKnownTerm
	m.ClusterTime = r.evidence.clusterTime
	m.Level = r.level
	m.Leaving = r.leaving
	if m.Kind == AppendReply {
		m.LogTerm = r.evidence.clusterTimeTerm
	}
	r.outbox.output.Messages = append(r.outbox.output.Messages, m)
}

// releasePending sends the pending messages whose writes are on disk, drops those of an
// older term, and counts a candidate's vote for itself once that vote is on disk.
func (r *Raft) releasePending() {
	ownVote := false
	for _, p := range r.outbox.takeReady() {
		if p.ownVote {
			ownVote = ownVote || r.role == Candidate && p.message.Term == r.hardState.Term
			continue
		}
		if p.message.Term >= r.hardState.Term {
			r.emit(p.message)
		}
	}
	if ownVote {
		r.countVote(r.id)
	}
}

// TakeOutput returns and clears the results of the inputs since the last call.
func (r *Raft) TakeOutput() Output {
	r.outbox.takeWrite(r.log.last(), r.now)
	r.releasePending()
	if r.commit > r.delivered {
		committed := r.log.entries[r.delivered-r.log.base : r.commit-r.log.base]
		r.outbox.output.Committed = append(r.outbox.output.Committed, committed...)
		r.delivered = r.commit
	}
	return r.outbox.takeOutput()
}

// Synced reports that all writes up to seq are on disk.
func (r *Raft) Synced(seq uint64) {
	r.outbox.markSynced(seq, r.log.last())
	r.releasePending()
	if r.role == Leader {
		r.advanceCommit()
	}
}
