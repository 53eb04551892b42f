// A peer is the leader's knowledge of one other member. While it is probed,
// one append at a time is out, and only that one's refusal counts: answering
// every refusal of a pipeline with a new pipeline would never end.

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

type peer struct {
	next  identifier.Index
	match identifier.Index
	ack   clock.Monotonic
	heard clock.Monotonic
	wall  clock.WallTime
	at    clock.Monotonic
	met   identifier.Term
	site  clock.ClusterTime
	from  identifier.Term
	probe bool
	out   bool
	prev  identifier.Index
	load  *Snapshot
	off   int64
	sent  clock.Monotonic
	level uint16
	// leaving is a member that has said that it stops soon.
	leaving bool
}

// hear takes what any answer of the peer says of it. Only an answer to what was
// sent in this leadership renews the lease: a stamp from before may be of a
// former life of this process, whose clock was another.
func (p *peer) hear(m Message, rose, now clock.Monotonic) {
	if m.SentAt >= rose && m.SentAt <= now {
		p.ack = max(p.ack, m.SentAt)
	}
	p.heard, p.wall, p.at, p.met, p.site, p.level = now, m.Wall, now, m.FirstKnownTerm, m.ClusterTime, m.Level
	p.leaving = m.Leaving
}
