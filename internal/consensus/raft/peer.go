package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// peer is a leader's knowledge of one other member.
type peer struct {
	// match is the last entry known to be on the peer's disk, next the first one
	// to send it.
	match identifier.Index
	next  identifier.Index
	// probing is set while match is not known to be a prefix of this log. Only
	// one append is then in flight, and only its refusal counts: to answer every
	// refusal of a pipeline with a new pipeline would never end.
	probing        bool
	appendInFlight bool
	// lastPrevIndex is the index before the entries of the last append.
	lastPrevIndex identifier.Index
	transfer      snapshotTransfer

	// ackedSentAt is the latest time at which this leader sent a message that the
	// peer has answered; lastHeardAt is when the peer last answered any.
	ackedSentAt clock.Monotonic
	lastHeardAt clock.Monotonic
	// wallTime is the peer's clock, as read at wallTimeReadAt of this one's.
	wallTime       clock.WallTime
	wallTimeReadAt clock.Monotonic
	evidence       clockEvidence
	level          uint16
	// leaving says that the peer has announced that it stops soon.
	leaving bool
}

// snapshotTransfer is a snapshot on its way to a peer, or none while snapshot is
// nil. offset is the number of bytes that the peer has acknowledged, chunkSentAt
// when the chunk behind them was sent, 0 if it was not, and advancedAt when the
// transfer began or offset last changed.
type snapshotTransfer struct {
	snapshot    *Snapshot
	offset      int64
	chunkSentAt clock.Monotonic
	advancedAt  clock.Monotonic
}

// recordReply records what any reply says of its sender. Only a reply to a message
// sent in this leadership renews the lease: an earlier send time may come from
// before a restart of this process, whose clock was another.
func (p *peer) recordReply(m Message, electedAt, now clock.Monotonic) {
	if m.SentAt >= electedAt && m.SentAt <= now {
		p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	}
	p.lastHeardAt = now
	p.wallTime = m.Wall
	p.wallTimeReadAt = now
	p.evidence.firstKnownTerm = m.FirstKnownTerm
	p.evidence.clusterTime = m.ClusterTime
	p.level = m.Level
	p.leaving = m.Leaving
}
