package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// peer is the leader's view of another member, like Progress in etcd's raft.
type peer struct {
	// match is the index of the last entry known to be on the peer's disk, next that of
	// the next entry to send.
	match identifier.Index
	next  identifier.Index
	// probing is set until the peer confirms that its log contains the entry at
	// lastPrevIndex. Meanwhile only one append is in flight, and only a rejection of that
	// append is handled: answering every rejection of pipelined appends with a new pipeline
	// would never terminate.
	probing        bool
	appendInFlight bool
	// lastPrevIndex is the index of the entry that precedes the last append.
	lastPrevIndex identifier.Index
	transfer      snapshotTransfer

	// ackedSentAt is the send time of the latest message that the peer has replied to;
	// lastHeardAt is when the last reply arrived.
	ackedSentAt clock.Monotonic
	lastHeardAt clock.Monotonic
	// wallTime is the peer's wall clock, as received at wallTimeReadAt on this member's
	// monotonic clock.
	wallTime       clock.WallTime
	wallTimeReadAt clock.Monotonic
	evidence       clockEvidence
	level          uint16
	// leaving is set if the peer has announced that it is about to stop.
	leaving bool
}

// snapshotTransfer is the transfer of a snapshot to a peer; snapshot is nil while there
// is none. offset is the number of bytes that the peer has acknowledged, chunkSentAt is
// when the next chunk was sent, 0 if it has not been, and advancedAt is when the transfer
// began or offset last changed.
type snapshotTransfer struct {
	snapshot    *Snapshot
	offset      int64
	chunkSentAt clock.Monotonic
	advancedAt  clock.Monotonic
}

// recordReply records the sender's status, which every reply contains. Only a reply to a
// message sent during the current leadership renews the lease: an earlier send time may
// stem from before a restart of this process, and thus from a different clock.
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
