// What leaves a member: messages at once, and those that wait until all that was
// written before them is on disk.

package raft

func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	if m.SentAt == 0 {
		m.SentAt = r.now
	}
	r.stampEvidence(&m)
	r.out.Messages = append(r.out.Messages, m)
}

// stampEvidence adds this keeper's evidence for cluster time as a message leaves.
func (r *Raft) stampEvidence(m *Message) {
	m.Wall, m.FirstKnownTerm, m.ClusterTime, m.Level, m.Leaving = r.wall, r.met, r.site, r.level, r.leaving
	if m.Kind == AppendReply {
		m.LogTerm = r.from
	}
}

// sendAfterSync keeps a message back until everything written so far is on disk.
func (r *Raft) sendAfterSync(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	if m.SentAt == 0 {
		m.SentAt = r.now
	}
	seq := r.seq
	if !r.write.empty() {
		seq++
	}
	if n := len(r.pendingMessages); n == 0 || !r.pendingMessages[n-1].absorb(seq, m) {
		r.pendingMessages = append(r.pendingMessages, pendingMessage{seq: seq, msg: m})
	}
	r.releasePending()
}

// absorb makes one acknowledgement of two that wait for the same write, so that
// those to a leader's heartbeats don't pile up while the disk stands still.
func (h *pendingMessage) absorb(seq uint64, m Message) bool {
	was := h.msg
	acks := !h.own && was.Kind == AppendReply && m.Kind == AppendReply && !was.Reject && !m.Reject
	if !acks || h.seq != seq || was.To != m.To || was.Term != m.Term {
		return false
	}
	m.Index, m.SentAt = max(m.Index, was.Index), max(m.SentAt, was.SentAt)
	h.msg = m
	return true
}

// TakeOutput hands over what the inputs so far led to.
func (r *Raft) TakeOutput() Output {
	if !r.write.empty() {
		r.seq++
		w := r.write
		w.Seq = r.seq
		r.write = Write{}
		r.out.Write = &w
		last := r.log.last()
		r.inFlight = append(r.inFlight, flight{w.Seq, last, r.now})
	}
	r.releasePending()
	if r.commit > r.taken {
		r.out.Committed = append(r.out.Committed, r.log.list[r.taken-r.log.base:r.commit-r.log.base]...)
		r.taken = r.commit
	}
	out := r.out
	r.out = Output{}
	return out
}

// Synced says that all writes up to seq are on disk.
func (r *Raft) Synced(seq uint64) {
	r.done = max(r.done, seq)
	for len(r.inFlight) > 0 && r.inFlight[0].seq <= seq {
		f := r.inFlight[0]
		r.inFlight = r.inFlight[1:]
		r.synced = max(r.synced, min(f.last, r.log.last()))
	}
	r.releasePending()
	if r.role == Leader {
		r.advanceCommit()
	}
}

func (r *Raft) releasePending() {
	kept := r.pendingMessages[:0]
	for _, h := range r.pendingMessages {
		if h.seq > r.done {
			kept = append(kept, h)
			continue
		}
		if h.own {
			if r.role == Candidate && h.msg.Term == r.hard.Term {
				defer r.countVote(r.id)
			}
			continue
		}
		if h.msg.Term < r.hard.Term {
			continue
		}
		r.stampEvidence(&h.msg)
		r.out.Messages = append(r.out.Messages, h.msg)
	}
	r.pendingMessages = kept
}
