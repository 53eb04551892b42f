// A peer is the leader's knowledge of one other member. While it is probed,
// one append at a time is out, and only that one's refusal counts: answering
// every refusal of a pipeline with a new pipeline would never end.

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

type peer struct {
	next            identifier.Index
	match           identifier.Index
	ackedSentAt     clock.Monotonic
	lastHeardAt     clock.Monotonic
	wallTime        clock.WallTime
	wallTimeReadAt  clock.Monotonic
	firstKnownTerm  identifier.Term
	clusterTime     clock.ClusterTime
	clusterTimeTerm identifier.Term
	probing         bool
	appendInFlight  bool
	lastPrevIndex   identifier.Index
	snapshot        *Snapshot
	snapshotOffset  int64
	chunkSentAt     clock.Monotonic
	level           uint16
	// leaving is a member that has said that it stops soon.
	leaving bool
}

// recordReply takes what any answer of the peer says of it. Only an answer to what was
// sent in this leadership renews the lease: a stamp from before may be of a
// former life of this process, whose clock was another.
func (p *peer) recordReply(m Message, electedAt, now clock.Monotonic) {
	if m.SentAt >= electedAt && m.SentAt <= now {
		p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	}
	p.lastHeardAt, p.wallTime, p.wallTimeReadAt, p.firstKnownTerm, p.clusterTime, p.level = now, m.Wall, now, m.FirstKnownTerm, m.ClusterTime, m.Level
	p.leaving = m.Leaving
}
