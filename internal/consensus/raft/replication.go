package raft

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
)

const (
	// maxAppendBytes bounds the size of the entries in one message.
	maxAppendBytes = 256 << 10
	// maxInFlightEntries and maxInFlightBytes bound the entries sent to a peer that it has
	// not yet acknowledged.
	maxInFlightEntries = 2048
	maxInFlightBytes   = 8 << 20
)

// Propose appends a command to the log. The command is committed once TakeOutput returns
// it in Output.Committed, which may never happen. It returns false unless this member is
// the leader.
func (r *Raft) Propose(data []byte) (index identifier.Index, ok bool) {
	if r.role != Leader {
		return 0, false
	}
	return r.append(EntryCommand, data), true
}

// append appends a new entry of the current term to the log.
func (r *Raft) append(kind EntryKind, data []byte) identifier.Index {
	e := Entry{Index: r.log.last() + 1, Term: r.hardState.Term, Kind: kind, Data: data}
	r.appendEntry(e)
	return e.Index
}

// appendEntry appends an entry to the log and to the next write.
func (r *Raft) appendEntry(e Entry) {
	r.log.entries = append(r.log.entries, e)
	r.outbox.addEntry(e)
	r.recordConfiguration(e)
}

// Flush sends newly appended entries without waiting for the next heartbeat.
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

// replicateTo sends a peer the entries or the snapshot chunk that it needs next. If
// heartbeat is set, it sends a message even if there is nothing to replicate.
func (r *Raft) replicateTo(to identifier.Node, heartbeat bool) {
	p := r.peers[to]
	if p == nil {
		return
	}
	if p.transfer.snapshot != nil || p.next <= r.log.base {
		r.sendSnapshot(to, p, heartbeat)
		return
	}
	if p.probing && p.appendInFlight {
		if heartbeat {
			r.repeatProbe(to, p)
		}
		return
	}
	prevIndex := p.next - 1
	prevTerm, _ := r.log.term(prevIndex)
	m := Message{Kind: AppendEntries, To: to, Index: prevIndex, LogTerm: prevTerm, Commit: r.commit}
	if r.mayPipeline(p) {
		m.Entries = r.log.entriesFrom(p.next, maxAppendBytes)
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	p.next += identifier.Index(len(m.Entries))
	p.lastPrevIndex = prevIndex
	p.appendInFlight = true
	r.send(m)
}

// repeatProbe probes again for the entry that precedes those in flight, without resending
// the latter: on a low-bandwidth link they may be in transit for a long time, and resending
// them would saturate the link. If they were lost, the peer rejects the entries sent after
// its reply, and the lost entries are sent again then.
func (r *Raft) repeatProbe(to identifier.Node, p *peer) {
	prevTerm, ok := r.log.term(p.lastPrevIndex)
	if !ok {
		p.next = p.lastPrevIndex + 1
		r.sendSnapshot(to, p, true)
		return
	}
	r.send(Message{Kind: AppendEntries, To: to, Index: p.lastPrevIndex, LogTerm: prevTerm, Commit: r.commit})
}

// mayPipeline reports whether more entries may be sent to a peer before it acknowledges
// those in flight.
func (r *Raft) mayPipeline(p *peer) bool {
	return p.next-p.match < maxInFlightEntries && r.log.entryBytes(p.match+1, p.next-1) < maxInFlightBytes
}

// handleAppendReply records which entries a peer has on disk and sends those it needs
// next.
func (r *Raft) handleAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m, r.leadership.electedAt, r.now)
	p.evidence.clusterTimeTerm = m.LogTerm
	if m.Reject {
		r.handleAppendReject(m, p)
		return
	}
	if p.probing && m.Index >= p.lastPrevIndex {
		p.probing = false
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	if p.transfer.snapshot != nil && p.match >= p.transfer.snapshot.Index {
		p.transfer = snapshotTransfer{}
	}
	if p.next <= r.log.last() && p.transfer.snapshot == nil {
		r.replicateTo(m.From, false)
	}
}

// handleAppendReject probes at the highest index at which the peer's log may still match
// this one.
func (r *Raft) handleAppendReject(m Message, p *peer) {
	if p.probing && m.Index != p.lastPrevIndex || m.Index < p.match {
		return
	}
	p.next = max(p.match+1, min(m.NextHint+1, r.log.last()+1))
	p.probing = true
	p.appendInFlight = false
	r.replicateTo(m.From, false)
}

// advanceCommit commits the entries that a quorum of voters has on disk. Only entries of
// the leader's own term are committed by counting replicas; all entries before them are
// committed indirectly (Ongaro's thesis, section 3.6.2).
func (r *Raft) advanceCommit() {
	matches := voterValues(r, r.outbox.syncedIndex, func(p *peer) identifier.Index { return p.match })
	quorumMatch := matches[r.voterCount()/2]
	if term, ok := r.log.term(quorumMatch); ok && quorumMatch > r.commit && term == r.hardState.Term {
		r.commit = quorumMatch
	}
}

// voterValues returns one value for each voter in descending order: own for this member
// and the result of ofPeer for the others. The value at voterCount()/2 is the highest one
// that a quorum has reached.
func voterValues[T cmp.Ordered](r *Raft, own T, ofPeer func(p *peer) T) []T {
	var values []T
	for _, m := range r.Members() {
		switch {
		case !m.Voter:
		case m.ID == r.id:
			values = append(values, own)
		case r.peers[m.ID] != nil:
			values = append(values, ofPeer(r.peers[m.ID]))
		}
	}
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(b, a) })
	return values
}

// matchPeers keeps exactly one peer for every other member. Peers of removed members are
// deleted, so that a member that joins again starts from a fresh state.
func (r *Raft) matchPeers() {
	for id := range r.peers {
		if _, ok := r.Member(id); !ok {
			delete(r.peers, id)
		}
	}
	for _, m := range r.Members() {
		if m.ID != r.id && r.peers[m.ID] == nil {
			r.peers[m.ID] = &peer{next: r.log.last() + 1, probing: true, ackedSentAt: never, lastHeardAt: r.now}
		}
	}
}
