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

func (r *Raft) handleAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recordReply(m, r.electedAt, r.now)
	p.clusterTimeTerm = m.LogTerm
	if m.Reject {
		if p.probing && m.Index != p.lastPrevIndex || m.Index < p.match {
			return
		}
		p.next = max(p.match+1, min(m.NextHint+1, r.log.last()+1))
		p.probing, p.appendInFlight = true, false
		r.replicateTo(m.From, false)
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
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
	if p.next <= r.log.last() && p.snapshot == nil {
		r.replicateTo(m.From, false)
	}
}
