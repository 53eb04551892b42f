// Replication: how the leader's log gets to the others, and when an entry is
// committed.

package raft

import (
	"sort"

	"orchidward/internal/api/identifier"
)

func (r *Raft) append(kind EntryKind, data []byte) identifier.Index {
	e := Entry{Index: r.log.last() + 1, Term: r.hardState.Term, Kind: kind, Data: data}
	r.log.entries = append(r.log.entries, e)
	r.write.Entries = append(r.write.Entries, e)
	r.recordConfiguration(e)
	return e.Index
}

// Propose logs a command; it is decided once Commit hands it out again.
func (r *Raft) Propose(data []byte) (i identifier.Index, ok bool) {
	if r.role != Leader {
		return 0, false
	}
	return r.append(EntryCommand, data), true
}

// Flush sends what has been appended since, without waiting for a beat.
func (r *Raft) Flush() {
	if r.role != Leader {
		return
	}
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; p != nil && p.next <= r.log.last() {
			r.replicateTo(m.ID, false)
		}
	}
}

func (r *Raft) replicateTo(to identifier.Node, heartbeat bool) {
	p := r.peers[to]
	if p == nil {
		return
	}
	if p.snapshot != nil || p.next <= r.log.base {
		r.sendSnapshot(to, p, heartbeat)
		return
	}
	if p.probing && p.appendInFlight {
		if !heartbeat {
			return
		}
		p.next = p.lastPrevIndex + 1
	}
	prev := p.next - 1
	prevTerm, _ := r.log.term(prev)
	m := Message{Kind: AppendEntries, To: to, Index: prev, LogTerm: prevTerm, Commit: r.commit}
	if p.next-p.match < maxInFlightEntries && r.log.entryBytes(p.match+1, p.next-1) < maxInFlightBytes {
		m.Entries = r.log.entriesFrom(p.next, maxAppendBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	p.next += identifier.Index(len(m.Entries))
	p.lastPrevIndex, p.appendInFlight = prev, true
	r.send(m)
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

func (r *Raft) advanceCommit() {
	matches := []identifier.Index{}
	for _, m := range r.Members() {
		switch {
		case !m.Voter:
		case m.ID == r.id:
			matches = append(matches, r.syncedIndex)
		case r.peers[m.ID] != nil:
			matches = append(matches, r.peers[m.ID].match)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	quorumMatch := matches[r.voterCount()/2]
	if term, ok := r.log.term(quorumMatch); ok && quorumMatch > r.commit && term == r.hardState.Term {
		r.commit = quorumMatch
	}
}

// addPeers makes sure that every other member has a peer.
func (r *Raft) addPeers() {
	for _, m := range r.Members() {
		if m.ID != r.id && r.peers[m.ID] == nil {
			r.peers[m.ID] = &peer{next: r.log.last() + 1, probing: true, ackedSentAt: never, lastHeardAt: r.now}
		}
	}
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
