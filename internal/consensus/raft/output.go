package raft

// send sends a message at once.
func (r *Raft) send(m Message) { r.emit(r.address(m)) }

// sendAfterSync sends a message once everything written so far is on disk.
func (r *Raft) sendAfterSync(m Message) {
	r.outbox.deferUntilSynced(r.address(m))
	r.releasePending()
}

// address fills in the sender, its term and its time where they are not set.
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

// emit puts a message into the output, with this member's evidence for cluster
// time as it is at this moment.
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

// releasePending sends the messages whose writes are on disk, except those of an
// older term, and counts this candidate's own vote if it is among them.
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

// TakeOutput hands over what the inputs since the last call led to.
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

// Synced passes in that all writes up to seq are on disk.
func (r *Raft) Synced(seq uint64) {
	r.outbox.markSynced(seq, r.log.last())
	r.releasePending()
	if r.role == Leader {
		r.advanceCommit()
	}
}
