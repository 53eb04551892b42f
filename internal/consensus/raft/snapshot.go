package raft

import "orchidward/internal/api/identifier"

// handleSnapshot takes a part of a snapshot. One whose last entry is in the log
// already only tells that this entry is committed: entries behind it may have
// been acknowledged, and must stay.
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
	if r.incomingSnapshot == nil || r.incomingSnapshot.Index != chunk.Index || r.incomingFrom != m.From {
		r.incomingFrom = m.From
		r.incomingSnapshot = &Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members}
	}
	if m.Offset == int64(len(r.incomingSnapshot.Data)) {
		r.incomingSnapshot.Data = append(r.incomingSnapshot.Data, chunk.Data...)
	}
	if int64(len(r.incomingSnapshot.Data)) < m.Total {
		r.send(Message{Kind: SnapshotReply, To: m.From, Index: chunk.Index, Offset: int64(len(r.incomingSnapshot.Data)), SentAt: m.SentAt})
		return
	}
	complete := r.incomingSnapshot
	r.incomingSnapshot = nil
	r.replaceLog(complete)
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: complete.Index, SentAt: m.SentAt})
}

// replaceLog goes on from a snapshot of the leader's: all of the log is either
// covered by it or contradicts it.
func (r *Raft) replaceLog(snapshot *Snapshot) {
	r.log = log{base: snapshot.Index, baseTerm: snapshot.Term, snapshot: snapshot}
	r.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	r.commit, r.delivered, r.syncedIndex = snapshot.Index, snapshot.Index, 0
	for i := range r.inFlight {
		r.inFlight[i].lastIndex = 0
	}
	r.write.Entries = nil
	r.write.Snapshot = snapshot
	r.output.Committed, r.output.InstalledSnapshot = nil, snapshot
}

func (r *Raft) handleSnapshotReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m, r.electedAt, r.now)
	if p.snapshot != nil && p.snapshot.Index == m.Index && m.Offset != p.snapshotOffset {
		p.snapshotOffset, p.chunkSentAt = m.Offset, 0
		r.sendSnapshot(m.From, p, true)
	}
}

func (r *Raft) sendSnapshot(to identifier.Node, p *peer, heartbeat bool) {
	if p.snapshot == nil || p.snapshot != r.log.snapshot && r.unresponsive(p) {
		p.snapshot, p.snapshotOffset, p.chunkSentAt = r.log.snapshot, 0, 0
	}
	end := min(p.snapshotOffset+snapshotChunkBytes, int64(len(p.snapshot.Data)))
	if p.chunkSentAt != 0 && r.now.Since(p.chunkSentAt) < r.timing.ElectionTimeout {
		if !heartbeat {
			return
		}
		end = p.snapshotOffset
	} else {
		p.chunkSentAt = r.now
	}
	part := &Snapshot{Index: p.snapshot.Index, Term: p.snapshot.Term, Members: p.snapshot.Members, Data: p.snapshot.Data[p.snapshotOffset:end]}
	r.send(Message{Kind: InstallSnapshot, To: to, Snapshot: part, Offset: p.snapshotOffset, Total: int64(len(p.snapshot.Data)), Commit: r.commit})
}

// oldestTransfer is the index of the oldest snapshot that a live follower is being
// sent, or that of the newest snapshot when none is.
func (r *Raft) oldestTransfer() identifier.Index {
	oldest := r.log.snapshot.Index
	for _, p := range r.peers {
		if p.snapshot != nil && !r.unresponsive(p) {
			oldest = min(oldest, p.snapshot.Index)
		}
	}
	return oldest
}

// unresponsive tells whether a peer has not been heard for so long that a load to it
// may as well begin anew.
func (r *Raft) unresponsive(p *peer) bool {
	return r.now.Since(p.lastHeardAt) > 2*r.timing.ElectionTimeout
}

// Compact takes a view of the state at an applied index.
func (r *Raft) Compact(index identifier.Index, data []byte) {
	term, ok := r.log.term(index)
	if !ok || index <= r.log.snapshot.Index {
		return
	}
	snapshot := &Snapshot{Index: index, Term: term, Data: data}
	for _, c := range r.configurations {
		if c.index <= index {
			snapshot.Members = c.members
		}
	}
	r.log.snapshot = snapshot
	r.output.LocalSnapshot = snapshot
	r.log.dropTo(r.log.retainFrom(r.tail, r.oldestTransfer()))
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
}
