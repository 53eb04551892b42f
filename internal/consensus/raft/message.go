package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MessageKind says what a message is and which of the fields of Message it uses.
type MessageKind uint8

const (
	// AppendEntries carries entries after Index and LogTerm, or none as a heartbeat.
	AppendEntries MessageKind = iota + 1
	// AppendReply answers AppendEntries: either Index is synced to disk, or Reject is
	// set and NextHint is where the leader should try next. It also acknowledges a
	// complete snapshot. Its LogTerm is the term of the entry that the sender's
	// ClusterTime comes from.
	AppendReply
	// RequestVote requests a vote. LeaderTransfer skips the check for a live leader,
	// for a candidate that the leader itself chose.
	RequestVote
	// VoteReply answers RequestVote; Reject is set when the vote is refused.
	VoteReply
	// RequestPreVote asks whether a RequestVote for Term would be granted.
	RequestPreVote
	// PreVoteReply answers RequestPreVote; a refusal carries the answering member's term.
	PreVoteReply
	// TimeoutNow tells the receiver to start an election at once, as the leader steps
	// down in its favour.
	TimeoutNow
	// InstallSnapshot carries one chunk of a snapshot: Offset is where it begins and
	// Total the size of the complete data, in bytes.
	InstallSnapshot
	// SnapshotReply acknowledges a chunk; Offset is the number of bytes received so far.
	SnapshotReply
)

// Message is what members send one another.
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
	// LeaderTransfer marks an election that the leader itself asked for.
	LeaderTransfer bool
	// SentAt is the monotonic time at which a request was sent. A reply hands it back
	// unchanged, so that a lease is measured on one clock only.
	SentAt clock.Monotonic

	// Wall, FirstKnownTerm and ClusterTime are evidence for cluster time: the sender's
	// wall clock, the first term in which its process knew a leader, and the cluster
	// time that it would continue from.
	Wall           clock.WallTime
	FirstKnownTerm identifier.Term
	ClusterTime    clock.ClusterTime
	// Level is the highest level of commands that the sender knows.
	Level uint16
	// Leaving says that the sender stops soon.
	Leaving bool

	Snapshot *Snapshot
	Offset   int64
	Total    int64
}
