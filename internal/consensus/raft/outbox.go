// What leaves a member: messages at once, and those that wait until all that was
// written before them is on disk.

package raft

func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	if m.SentAt == 0 {
		m.SentAt = r.now
	}
	r.addClockEvidence(&m)
	r.output.Messages = append(r.output.Messages, m)
}

// addClockEvidence adds this keeper's evidence for cluster time as a message leaves.
func (r *Raft) addClockEvidence(m *Message) {
	m.Wall, m.FirstKnownTerm, m.ClusterTime, m.Level, m.Leaving = r.wall, r.firstKnownTerm, r.clusterTime, r.level, r.leaving
	if m.Kind == AppendReply {
		m.LogTerm = r.clusterTimeTerm
	}
}

// sendAfterSync keeps a message back until everything written so far is on disk.
func (r *Raft) sendAfterSync(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	if m.SentAt == 0 {
		m.SentAt = r.now
	}
	seq := r.seq
	if !r.write.empty() {
		seq++
	}
	if pending := len(r.pendingMessages); pending == 0 || !r.pendingMessages[pending-1].mergeAcknowledgement(seq, m) {
		r.pendingMessages = append(r.pendingMessages, pendingMessage{seq: seq, message: m})
	}
	r.releasePending()
}

// mergeAcknowledgement makes one acknowledgement of two that wait for the same write, so that
// those to a leader's heartbeats don't pile up while the disk stands still.
func (p *pendingMessage) mergeAcknowledgement(seq uint64, m Message) bool {
	earlier := p.message
	acks := !p.ownVote && earlier.Kind == AppendReply && m.Kind == AppendReply && !earlier.Reject && !m.Reject
	if !acks || p.seq != seq || earlier.To != m.To || earlier.Term != m.Term {
		return false
	}
	m.Index, m.SentAt = max(m.Index, earlier.Index), max(m.SentAt, earlier.SentAt)
	p.message = m
	return true
}

// TakeOutput hands over what the inputs so far led to.
func (r *Raft) TakeOutput() Output {
	if !r.write.empty() {
		r.seq++
		w := r.write
		w.Seq = r.seq
		r.write = Write{}
		r.output.Write = &w
		last := r.log.last()
		r.inFlight = append(r.inFlight, inFlightWrite{w.Seq, last, r.now})
	}
	r.releasePending()
	if r.commit > r.delivered {
		r.output.Committed = append(r.output.Committed, r.log.entries[r.delivered-r.log.base:r.commit-r.log.base]...)
		r.delivered = r.commit
	}
	out := r.output
	r.output = Output{}
	return out
}

// Synced says that all writes up to seq are on disk.
func (r *Raft) Synced(seq uint64) {
	r.syncedSeq = max(r.syncedSeq, seq)
	for len(r.inFlight) > 0 && r.inFlight[0].seq <= seq {
		f := r.inFlight[0]
		r.inFlight = r.inFlight[1:]
		r.syncedIndex = max(r.syncedIndex, min(f.lastIndex, r.log.last()))
	}
	r.releasePending()
	if r.role == Leader {
		r.advanceCommit()
	}
}

func (r *Raft) releasePending() {
	kept := r.pendingMessages[:0]
	for _, h := range r.pendingMessages {
		if h.seq > r.syncedSeq {
			kept = append(kept, h)
			continue
		}
		if h.ownVote {
			if r.role == Candidate && h.message.Term == r.hardState.Term {
				defer r.countVote(r.id)
			}
			continue
		}
		if h.message.Term < r.hardState.Term {
			continue
		}
		r.addClockEvidence(&h.message)
		r.output.Messages = append(r.output.Messages, h.message)
	}
	r.pendingMessages = kept
}
