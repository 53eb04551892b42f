package raft

import (
	"fmt"
	"hash/fnv"
)

// apply takes an entry into a member's state, which must then be what any
// other's was at this index.
func (g *group) apply(h *host, e Entry) {
	hash := fnv.New64a()
	hash.Write(h.encodeState())
	hash.Write([]byte(entryKey(e)))
	h.checksum = hash.Sum64()
	if was, ok := g.stateChecksums[e.Index]; ok && was != h.checksum {
		g.failf("host %d has another state at %d than others had", h.id, e.Index)
	}
	g.stateChecksums[e.Index] = h.checksum
}

// checkAcknowledged checks that what a member acknowledged to a leader stays in its log
// for as long as that leader's term lasts.
func (h *host) checkAcknowledged(g *group, msgs []Message) {
	for _, m := range msgs {
		if m.Kind != AppendReply || m.Reject {
			continue
		}
		if m.Term > h.ackedTerm {
			h.ackedIndex, h.ackedTerm = 0, m.Term
		}
		h.ackedIndex = max(h.ackedIndex, m.Index)
	}
	if h.raft.Term() == h.ackedTerm && h.raft.LastIndex() < h.ackedIndex {
		g.failf("host %d acknowledged entry %d of term %d, and its log ends at %d", h.id, h.ackedIndex, h.ackedTerm, h.raft.LastIndex())
	}
}

// checkLeader checks that a term has one leader and that it has all that was ever
// committed.
func (g *group) checkLeader(h *host) {
	if was, ok := g.leaders[h.raft.Term()]; ok {
		if was != h.id {
			g.failf("term %d has the leaders %d and %d", h.raft.Term(), was, h.id)
		}
		return
	}
	g.leaders[h.raft.Term()] = h.id
	if g.faultsEnabled && g.random.Intn(3) == 0 {
		g.after(g.random.Int63n(80), func() { g.restart(h) })
	}
	if h.raft.LastIndex() < g.lastCommitted {
		g.failf("leader %d of term %d ends at %d, committed is %d", h.id, h.raft.Term(), h.raft.LastIndex(), g.lastCommitted)
	}
	for _, e := range h.raft.log.entries {
		if word, ok := g.committed[e.Index]; ok && word != entryKey(e) {
			g.failf("leader %d of term %d has other content at %d than was committed", h.id, h.raft.Term(), e.Index)
		}
	}
}

// checkLeases counts who may act alone at this moment.
func (g *group) checkLeases() {
	n := 0
	for _, h := range g.hosts {
		if h.up && h.raft.HasLease(g.monotonic(h)) {
			n++
		}
	}
	for _, h := range g.hosts {
		if h.up && h.raft.Role() == Leader && h.raft.CommitIndex() >= h.raft.TermStart() {
			g.newestCommittedTerm = max(g.newestCommittedTerm, h.raft.Term())
		}
	}
	for _, h := range g.hosts {
		if h.up && h.raft.HasLease(g.monotonic(h)) && h.raft.Term() < g.newestCommittedTerm {
			g.failf("leader %d of term %d holds a lease, term %d has committed", h.id, h.raft.Term(), g.newestCommittedTerm)
		}
	}
	if n > 1 {
		g.failf("%d leaders hold a lease at once", n)
	}
}

// entryKey tells entries apart.
func entryKey(e Entry) string {
	return fmt.Sprint(e.Term, e.Kind, string(e.Data[max(0, len(e.Data)-64):]))
}
