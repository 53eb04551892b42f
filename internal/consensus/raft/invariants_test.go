package raft

import (
	"fmt"
	"hash/fnv"

	"orchidward/internal/api/identifier"
)

// history records what the hosts of a group have done, for checking the invariants.
type history struct {
	// leaders is the leader of each term.
	leaders map[identifier.Term]identifier.Node
	// committed is the key of the entry committed at each index, up to lastCommitted.
	committed     map[identifier.Index]string
	lastCommitted identifier.Index
	// newestCommittedTerm is the newest term in which a leader has committed an entry.
	newestCommittedTerm identifier.Term
	// stateChecksums is the checksum of the state at each index.
	stateChecksums map[identifier.Index]uint64
}

func newHistory() history {
	return history{
		leaders:        map[identifier.Term]identifier.Node{},
		committed:      map[identifier.Index]string{},
		stateChecksums: map[identifier.Index]uint64{},
	}
}

// entryKey returns a key that identifies an entry's content.
func entryKey(e Entry) string {
	return fmt.Sprint(e.Term, e.Kind, string(e.Data[max(0, len(e.Data)-64):]))
}

// apply applies a committed entry to a host's state. It checks that the entry is the next
// one, is the same as on every other host, and leads to the same state.
func (g *group) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		g.failf("host %d returned committed entry %d after %d", h.id, e.Index, h.applied)
	}
	h.applied = e.Index
	key := entryKey(e)
	if other, ok := g.committed[e.Index]; ok && other != key {
		g.failf("host %d committed %s at %d, another host committed %s", h.id, key, e.Index, other)
	}
	hash := fnv.New64a()
	hash.Write(h.encodeState())
	hash.Write([]byte(key))
	h.checksum = hash.Sum64()
	if other, ok := g.stateChecksums[e.Index]; ok && other != h.checksum {
		g.failf("host %d has a different state at %d than other hosts", h.id, e.Index)
	}
	g.stateChecksums[e.Index] = h.checksum
	g.committed[e.Index] = key
	g.lastCommitted = max(g.lastCommitted, e.Index)
}

// checkAcknowledged checks that the entries that a host acknowledged to a leader stay in
// its log until the end of that leader's term.
func (g *group) checkAcknowledged(h *host, sent []Message) {
	for _, m := range sent {
		if m.Kind != AppendReply || m.Reject {
			continue
		}
		if m.Term > h.ackedTerm {
			h.ackedTerm = m.Term
			h.ackedIndex = 0
		}
		h.ackedIndex = max(h.ackedIndex, m.Index)
	}
	if h.raft.Term() == h.ackedTerm && h.raft.LastIndex() < h.ackedIndex {
		g.failf("host %d acknowledged entry %d in term %d, and its log ends at %d", h.id, h.ackedIndex, h.ackedTerm, h.raft.LastIndex())
	}
}

// checkLeader checks that a term has only one leader and that the log of a new leader
// contains all committed entries.
func (g *group) checkLeader(h *host) {
	term := h.raft.Term()
	if leader, ok := g.leaders[term]; ok {
		if leader != h.id {
			g.failf("term %d has two leaders, %d and %d", term, leader, h.id)
		}
		return
	}
	g.leaders[term] = h.id
	g.maybeRestartLeader(h)
	if h.raft.LastIndex() < g.lastCommitted {
		g.failf("the log of leader %d of term %d ends at %d, but entries are committed up to %d", h.id, term, h.raft.LastIndex(), g.lastCommitted)
	}
	for _, e := range h.raft.log.entries {
		if key, ok := g.committed[e.Index]; ok && key != entryKey(e) {
			g.failf("leader %d of term %d has a different entry at %d than was committed", h.id, term, e.Index)
		}
	}
}

// checkLeases checks that at most one leader holds a lease, and that no leader holds one
// once a leader of a later term has committed.
func (g *group) checkLeases() {
	holders := []*host{}
	for _, h := range g.hosts {
		if !h.up {
			continue
		}
		if h.raft.HasLease(g.monotonic(h)) {
			holders = append(holders, h)
		}
		if h.raft.Role() == Leader && h.raft.CommitIndex() >= h.raft.TermStart() {
			g.newestCommittedTerm = max(g.newestCommittedTerm, h.raft.Term())
		}
	}
	for _, h := range holders {
		if h.raft.Term() < g.newestCommittedTerm {
			g.failf("leader %d of term %d holds a lease, but term %d has committed", h.id, h.raft.Term(), g.newestCommittedTerm)
		}
	}
	if len(holders) > 1 {
		g.failf("%d leaders hold a lease at once", len(holders))
	}
}
