package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MessageKind is the type of a message. It determines which fields of Message are used.
type MessageKind uint8

const (
	// AppendEntries carries the entries that follow the one at Index with term LogTerm, or
	// no entries as a heartbeat.
	AppendEntries MessageKind = iota + 1
	// AppendReply answers AppendEntries: either all entries up to Index are synced to
	// disk, or Reject is set and NextHint is the index that the leader should probe next.
	// It also acknowledges a complete snapshot. LogTerm is the term of the entry that the
	// sender's ClusterTime is derived from.
	AppendReply
	// RequestVote requests a vote. With LeaderTransfer set, the receiver skips the check
	// for a live leader, because the leader itself chose the candidate.
	RequestVote
	// VoteReply answers RequestVote. Reject is set if the vote is denied.
	VoteReply
	// RequestPreVote asks whether a RequestVote for Term would be granted.
	RequestPreVote
	// PreVoteReply answers RequestPreVote. A rejection carries the sender's term.
	PreVoteReply
	// TimeoutNow tells the receiver to start an election immediately, since the leader
	// transfers leadership to it.
	TimeoutNow
	// InstallSnapshot carries one chunk of a snapshot. Offset is the position of the chunk
	// and Total the size of the complete data, both in bytes.
	InstallSnapshot
	// SnapshotReply acknowledges a chunk. Offset is the number of bytes received so far.
	SnapshotReply
)

// Message is a message from one member to another.
type Message struct {
	Kind     MessageKind
	From     identifier.Node
	To       identifier.Node
	Term     identifier.Term
	Index    identifier.Index
	LogTerm  identifier.Term
	Commit   identifier.Index
	Entries  []Entry
	Reject   bool
	NextHint identifier.Index
	// LeaderTransfer marks an election that the leader requested by TimeoutNow.
	LeaderTransfer bool
	// SentAt is the monotonic time at which a request was sent. A reply echoes it
	// unchanged, so that the lease is measured on the leader's clock only.
	SentAt clock.Monotonic

	// Wall, FirstKnownTerm and ClusterTime serve the agreement on the cluster time: the
	// sender's wall clock, the first term in which its process knew a leader, and the
	// cluster time that it would continue from as leader.
	Wall           clock.WallTime
	FirstKnownTerm identifier.Term
	ClusterTime    clock.ClusterTime
	// Level is the highest command level that the sender supports.
	Level uint16
	// Leaving is set if the sender is about to stop.
	Leaving bool

	Snapshot *Snapshot
	Offset   int64
	Total    int64
}
