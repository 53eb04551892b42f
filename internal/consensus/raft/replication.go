package raft

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
)

const (
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 256 << 10
	// maxInFlightEntries and maxInFlightBytes bound what is sent to a peer beyond
	// what it has acknowledged.
	maxInFlightEntries = 2048
	maxInFlightBytes   = 8 << 20
)

// Propose appends a command to the log. It is committed once TakeOutput hands it
// out again, which may never happen. It returns false unless this member leads.
func (r *Raft) Propose(data []byte) (index identifier.Index, ok bool) {
	if r.role != Leader {
		return 0, false
	}
	return r.append(EntryCommand, data), true
}

// append adds an entry of the current term to the log.
func (r *Raft) append(kind EntryKind, data []byte) identifier.Index {
	e := Entry{Index: r.log.last() + 1, Term: r.hardState.Term, Kind: kind, Data: data}
	r.appendEntry(e)
	return e.Index
}

// appendEntry adds an entry to the log and to the next write.
func (r *Raft) appendEntry(e Entry) {
	r.log.entries = append(r.log.entries, e)
	r.outbox.addEntry(e)
	r.recordConfiguration(e)
}

// Flush sends what has been appended since, without waiting for a heartbeat.
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

// replicateTo sends a peer the entries or the part of a snapshot that it needs
// next. With heartbeat set a message is sent even if it carries nothing.
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

// repeatProbe asks once more whether a peer has the entry before those in flight. They are
// not sent again: on a thin link they may be on their way for long, and repeats would fill
// it. If they were lost, what is sent after the peer's answer is rejected, and they follow.
func (r *Raft) repeatProbe(to identifier.Node, p *peer) {
	prevTerm, ok := r.log.term(p.lastPrevIndex)
	if !ok {
		p.next = p.lastPrevIndex + 1
		r.sendSnapshot(to, p, true)
		return
	}
	r.send(Message{Kind: AppendEntries, To: to, Index: p.lastPrevIndex, LogTerm: prevTerm, Commit: r.commit})
}

// mayPipeline reports whether more entries may be sent to a peer before it has
// acknowledged the ones in flight.
func (r *Raft) mayPipeline(p *peer) bool {
	return p.next-p.match < maxInFlightEntries && r.log.entryBytes(p.match+1, p.next-1) < maxInFlightBytes
}

// handleAppendReply notes what a peer has on disk and sends what it needs next.
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

// handleAppendReject probes where the peer's log and this one may still be equal.
func (r *Raft) handleAppendReject(m Message, p *peer) {
	if p.probing && m.Index != p.lastPrevIndex || m.Index < p.match {
		return
	}
	p.next = max(p.match+1, min(m.NextHint+1, r.log.last()+1))
	p.probing = true
	p.appendInFlight = false
	r.replicateTo(m.From, false)
}

// advanceCommit commits the entries that a quorum of voters has on disk. Only an
// entry of the leader's own term is committed by being counted, and with it all
// before it (Ongaro's thesis, section 3.6.2).
func (r *Raft) advanceCommit() {
	matches := voterValues(r, r.outbox.syncedIndex, func(p *peer) identifier.Index { return p.match })
	quorumMatch := matches[r.voterCount()/2]
	if term, ok := r.log.term(quorumMatch); ok && quorumMatch > r.commit && term == r.hardState.Term {
		r.commit = quorumMatch
	}
}

// voterValues lists one value for each voter, the largest first: own for this
// member, ofPeer for the others. The value at voterCount()/2 is one that a quorum
// has reached.
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

// matchPeers makes sure that every other member has a peer, and nobody else: of a member
// that was removed and joins again, nothing from before counts.
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
