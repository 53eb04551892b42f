package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// snapshotChunkBytes is the size of one chunk of a snapshot on the wire.
	snapshotChunkBytes = 256 << 10
	// unresponsiveTimeouts is the number of election timeouts without a reply after which
	// the transfer of a superseded snapshot to a peer is restarted with the newest one.
	unresponsiveTimeouts = 2
)

// incomingSnapshot assembles the chunks of a snapshot from one leader; snapshot is nil
// while no transfer is in progress.
type incomingSnapshot struct {
	snapshot *Snapshot
	from     identifier.Node
}

// add appends a chunk if it continues the data received so far, and otherwise ignores
// its data. A chunk of another snapshot, or from another leader, starts a new transfer.
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

// handleSnapshot handles one chunk of a snapshot (Ongaro's thesis, figure 5.3). If the
// log already contains the snapshot's last entry, the snapshot only shows that this entry
// is committed: later entries may have been acknowledged and must be retained.
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

// replaceLog replaces the log by a leader's snapshot, which either covers the whole log
// or conflicts with it.
func (r *Raft) replaceLog(snapshot *Snapshot) {
	r.log = log{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot}
	r.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	r.commit = snapshot.Index
	r.delivered = snapshot.Index
	r.outbox.installSnapshot(snapshot)
}

// handleSnapshotReply sends the chunk that follows the data acknowledged by the peer.
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

// sendSnapshot sends a peer the next chunk of the snapshot being transferred to it, or
// starts a transfer of the newest snapshot. A chunk that is not acknowledged within an
// election timeout is resent; heartbeats sent meanwhile carry no data.
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

// awaitingReply reports whether a chunk is in flight and its reply has not timed out.
func (t *snapshotTransfer) awaitingReply(now clock.Monotonic, timeout clock.Millis) bool {
	return t.chunkSentAt != 0 && now.Since(t.chunkSentAt) < timeout
}

// nextChunk returns the snapshot with only the data that follows what the peer has
// acknowledged, at most maxBytes of it.
func (t *snapshotTransfer) nextChunk(maxBytes int64) *Snapshot {
	end := min(t.offset+maxBytes, int64(len(t.snapshot.Data)))
	return &Snapshot{
		Index:   t.snapshot.Index,
		Term:    t.snapshot.Term,
		Members: t.snapshot.Members,
		Data:    t.snapshot.Data[t.offset:end],
	}
}

// oldestTransfer returns the index of the oldest snapshot being sent to a responsive
// peer, or that of the newest snapshot if none is being sent.
func (r *Raft) oldestTransfer() identifier.Index {
	oldest := r.log.snapshot.Index
	for _, p := range r.peers {
		if p.transfer.snapshot != nil && !r.unresponsive(p) {
			oldest = min(oldest, p.transfer.snapshot.Index)
		}
	}
	return oldest
}

// unresponsive reports whether a peer has not replied for so long that the transfer of a
// superseded snapshot to it need not be continued.
func (r *Raft) unresponsive(p *peer) bool {
	return r.now.Since(p.lastHeardAt) > unresponsiveTimeouts*r.timing.ElectionTimeout
}

// Compact makes data, the encoded state at an applied index, the newest snapshot of this
// member, and discards the entries before it that no follower needs. It does nothing if
// the index is not in the log or is already covered by a snapshot.
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
