package raft

import (
	"fmt"
	"hash/fnv"

	"orchidward/internal/api/identifier"
)

// history is what the hosts of a group have done, by which they are judged.
type history struct {
	// leaders is who led each term.
	leaders map[identifier.Term]identifier.Node
	// committed is what was committed at each index, up to lastCommitted.
	committed     map[identifier.Index]string
	lastCommitted identifier.Index
	// newestCommittedTerm is the newest term in which a leader has committed.
	newestCommittedTerm identifier.Term
	// stateChecksums are the checksums of the state at each index.
	stateChecksums map[identifier.Index]uint64
}

func newHistory() history {
	return history{
		leaders:        map[identifier.Term]identifier.Node{},
		committed:      map[identifier.Index]string{},
		stateChecksums: map[identifier.Index]uint64{},
	}
}

// entryKey distinguishes entries.
func entryKey(e Entry) string {
	return fmt.Sprint(e.Term, e.Kind, string(e.Data[max(0, len(e.Data)-64):]))
}

// apply takes a committed entry into a host's state. It must be the next one, the
// same as any other host committed at its index, and lead to the same state.
func (g *group) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		g.failf("host %d hands out entry %d after %d", h.id, e.Index, h.applied)
	}
	h.applied = e.Index
	key := entryKey(e)
	if other, ok := g.committed[e.Index]; ok && other != key {
		g.failf("host %d has %s at %d, another committed %s", h.id, key, e.Index, other)
	}
	hash := fnv.New64a()
	hash.Write(h.encodeState())
	hash.Write([]byte(key))
	h.checksum = hash.Sum64()
	if other, ok := g.stateChecksums[e.Index]; ok && other != h.checksum {
		g.failf("host %d has another state at %d than others had", h.id, e.Index)
	}
	g.stateChecksums[e.Index] = h.checksum
	g.committed[e.Index] = key
	g.lastCommitted = max(g.lastCommitted, e.Index)
}

// checkAcknowledged checks that what a host acknowledged to a leader stays in its
// log for as long as that leader's term lasts.
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
		g.failf("host %d acknowledged entry %d of term %d, and its log ends at %d", h.id, h.ackedIndex, h.ackedTerm, h.raft.LastIndex())
	}
}

// checkLeader checks that a term has one leader and that a new one has all that
// was ever committed.
func (g *group) checkLeader(h *host) {
	term := h.raft.Term()
	if leader, ok := g.leaders[term]; ok {
		if leader != h.id {
			g.failf("term %d has the leaders %d and %d", term, leader, h.id)
		}
		return
	}
	g.leaders[term] = h.id
	g.maybeRestartLeader(h)
	if h.raft.LastIndex() < g.lastCommitted {
		g.failf("leader %d of term %d ends at %d, committed is %d", h.id, term, h.raft.LastIndex(), g.lastCommitted)
	}
	for _, e := range h.raft.log.entries {
		if key, ok := g.committed[e.Index]; ok && key != entryKey(e) {
			g.failf("leader %d of term %d has other content at %d than was committed", h.id, term, e.Index)
		}
	}
}

// checkLeases checks that at most one leader has a lease, and none has one once a
// leader of a later term has committed.
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
			g.failf("leader %d of term %d holds a lease, term %d has committed", h.id, h.raft.Term(), g.newestCommittedTerm)
		}
	}
	if len(holders) > 1 {
		g.failf("%d leaders hold a lease at once", len(holders))
	}
}
