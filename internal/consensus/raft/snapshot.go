package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// snapshotChunkBytes is the size of one chunk of a snapshot on the wire.
	snapshotChunkBytes = 256 << 10
	// unresponsiveTimeouts is after how many election timeouts of silence the
	// transfer of a snapshot to a peer may as well start anew.
	unresponsiveTimeouts = 2
)

// incomingSnapshot gathers the chunks of a snapshot from one leader; snapshot is
// nil while there is none.
type incomingSnapshot struct {
	snapshot *Snapshot
	from     identifier.Node
}

// add appends a chunk that goes on from those before. A chunk of another
// snapshot, or from another leader, starts anew.
func (s *incomingSnapshot) add(m Message) {
	chunk := m.Snapshot
	if s.snapshot == nil || s.snapshot.Index != chunk.Index || s.from != m.From {
		s.from = m.From
		s.snapshot = &Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members}
	}
	if m.Offset == s.size() {
		s.snapshot.Data = append(s.snapshot.Data, chunk.Data...)
	}
}

func (s *incomingSnapshot) size() int64 { return int64(len(s.snapshot.Data)) }

// handleSnapshot takes one chunk of a snapshot (Ongaro's thesis, figure 5.3). A
// snapshot whose last entry is in the log already only shows that this entry is
// committed: entries behind it may have been acknowledged, and must stay.
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
	r.incoming.add(m)
	if r.incoming.size() < m.Total {
		r.send(Message{Kind: SnapshotReply, To: m.From, Index: chunk.Index, Offset: r.incoming.size(), SentAt: m.SentAt})
		return
	}
	complete := r.incoming.snapshot
	r.incoming.snapshot = nil
	r.replaceLog(complete)
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: complete.Index, SentAt: m.SentAt})
}

// replaceLog continues from a leader's snapshot: the log is either covered by it
// or contradicts it.
func (r *Raft) replaceLog(snapshot *Snapshot) {
	r.log = log{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot}
	r.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	r.commit = snapshot.Index
	r.delivered = snapshot.Index
	r.outbox.installSnapshot(snapshot)
}

// handleSnapshotReply sends the chunk after those that the peer has.
func (r *Raft) handleSnapshotReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m, r.leadership.electedAt, r.now)
	transfer := &p.transfer
	if transfer.snapshot != nil && transfer.snapshot.Index == m.Index && m.Offset != transfer.offset {
		transfer.offset = m.Offset
		transfer.chunkSentAt = 0
		transfer.advancedAt = r.now
		r.sendSnapshot(m.From, p, true)
	}
}

// sendSnapshot sends a peer the next chunk of the snapshot that it is being sent,
// or of the newest one. A chunk is repeated when it has no answer within an
// election timeout; a heartbeat in between carries no data.
func (r *Raft) sendSnapshot(to identifier.Node, p *peer, heartbeat bool) {
	superseded := p.transfer.snapshot != r.log.snapshot
	if p.transfer.snapshot == nil || superseded && r.unresponsive(p) {
		p.transfer = snapshotTransfer{snapshot: r.log.snapshot, advancedAt: r.now}
	}
	chunkBytes := int64(snapshotChunkBytes)
	if p.transfer.awaitingReply(r.now, r.timing.ElectionTimeout) {
		if !heartbeat {
			return
		}
		chunkBytes = 0
	} else {
		p.transfer.chunkSentAt = r.now
	}
	r.send(Message{
		Kind:     InstallSnapshot,
		To:       to,
		Snapshot: p.transfer.nextChunk(chunkBytes),
		Offset:   p.transfer.offset,
		Total:    int64(len(p.transfer.snapshot.Data)),
		Commit:   r.commit,
	})
}

// awaitingReply reports whether a chunk is on its way that may still be answered.
func (t *snapshotTransfer) awaitingReply(now clock.Monotonic, timeout clock.Millis) bool {
	return t.chunkSentAt != 0 && now.Since(t.chunkSentAt) < timeout
}

// nextChunk is the snapshot with only the data behind what the peer has
// acknowledged, up to maxBytes of it.
func (t *snapshotTransfer) nextChunk(maxBytes int64) *Snapshot {
	end := min(t.offset+maxBytes, int64(len(t.snapshot.Data)))
	return &Snapshot{
		Index:   t.snapshot.Index,
		Term:    t.snapshot.Term,
		Members: t.snapshot.Members,
		Data:    t.snapshot.Data[t.offset:end],
	}
}

// oldestTransfer is the index of the oldest snapshot that a live follower is
// being sent, or that of the newest snapshot when none is.
func (r *Raft) oldestTransfer() identifier.Index {
	oldest := r.log.snapshot.Index
	for _, p := range r.peers {
		if p.transfer.snapshot != nil && !r.unresponsive(p) {
			oldest = min(oldest, p.transfer.snapshot.Index)
		}
	}
	return oldest
}

// unresponsive reports whether a peer has been silent for so long that the
// transfer of a snapshot to it may as well start anew.
func (r *Raft) unresponsive(p *peer) bool {
	return r.now.Since(p.lastHeardAt) > unresponsiveTimeouts*r.timing.ElectionTimeout
}

// Compact makes data, the encoded state at an applied index, this member's newest
// snapshot, and drops the entries before it that no follower needs. It does
// nothing when the index is not in the log or is covered by a snapshot already.
func (r *Raft) Compact(index identifier.Index, data []byte) {
	term, ok := r.log.term(index)
	if !ok || index <= r.log.snapshot.Index {
		return
	}
	snapshot := &Snapshot{Index: index, Term: term, Members: r.membersAt(index), Data: data}
	r.log.snapshot = snapshot
	r.outbox.output.LocalSnapshot = snapshot
	r.log.compactTo(r.log.compactionIndex(r.tail, r.oldestTransfer()))
	r.compactConfigurations(index)
}
