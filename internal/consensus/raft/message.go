package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

const (
	// AppendEntries carries entries after Index and LogTerm, or none as a heartbeat.
	AppendEntries MessageKind = iota + 1
	// AppendReply answers AppendEntries: Index is synced to disk, or No is set and Hint is
	// where the leader should try next. It also acknowledges a whole snapshot.
	AppendReply
	// RequestVote requests a vote. Force skips the check for a live leader, for a
	// candidate that the leader itself chose.
	RequestVote
	// VoteReply answers RequestVote; No is set when the vote is refused.
	VoteReply
	// RequestPreVote asks whether a RequestVote for Term would be granted.
	RequestPreVote
	// PreVoteReply answers RequestPreVote; a refusal carries the answering member's term.
	PreVoteReply
	// TimeoutNow tells the receiver to start an election at once, as the leader steps
	// down in its favour.
	TimeoutNow
	// InstallSnapshot carries one chunk of a snapshot: Off is its offset and Total the size
	// of the whole, in bytes.
	InstallSnapshot
	// SnapshotReply acknowledges a chunk; Off is the number of bytes received so far.
	SnapshotReply
)

// MessageKind says what a message is and which of the fields of Message it uses.
type MessageKind uint8

// Message is what keepers say to one another. Stamp is the sender's own monotonic
// time, handed back unchanged, so a lease is measured on one clock only. Wall
// and Met are evidence for cluster time: Met is the first term in which the
// sender, since it started, knew a leader; Site is the cluster time it carries.
// Level is the highest level of commands and rules that the sender knows;
// Leaving says that the sender stops soon.
type Message struct {
	Kind           MessageKind
	From           identifier.Node
	To             identifier.Node
	Term           identifier.Term
	Index          identifier.Index
	LogTerm        identifier.Term
	Commit         identifier.Index
	Entries        []Entry
	Reject         bool
	LeaderTransfer bool
	NextHint       identifier.Index
	SentAt         clock.Monotonic
	Wall           clock.WallTime
	FirstKnownTerm identifier.Term
	ClusterTime    clock.ClusterTime
	Level          uint16
	Leaving        bool
	Snapshot       *Snapshot
	Offset         int64
	Total          int64
}
