// Members, entries, messages, and what a step asks for.

package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Member is one keeper of the group. A learner receives the log and does not
// count towards any quorum.
type Member struct {
	ID     identifier.Node   `json:"id"`
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Voter  bool              `json:"voter"`
}

// EntryKind says what an entry of the log carries.
type EntryKind uint8

const (
	// EntryBlank is the empty entry with which a leader opens its term.
	EntryBlank EntryKind = iota
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand
	// EntryConfig carries the whole member list as JSON; it is in force as soon as it
	// is in a member's log.
	EntryConfig
)

// Entry is one position of the replicated log. Index and Term together identify
// it: two logs that share them are equal up to and including that entry.
type Entry struct {
	Index identifier.Index
	Term  identifier.Term
	Kind  EntryKind
	Data  []byte
}

// MessageKind says what a message is and which of the fields of Message it uses.
type MessageKind uint8

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

// Snapshot is the state up to and with Index, by which older entries may go.
type Snapshot struct {
	Index   identifier.Index
	Term    identifier.Term
	Members []Member
	Data    []byte
}

// HardState is what must be on disk before it is acted on.
type HardState struct {
	Term identifier.Term
	Vote identifier.Node
}

// Write goes to the disk as one batch. Entries replace whatever is kept from
// the first one's index on. Seq comes back in Synced.
type Write struct {
	Seq       uint64
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

func (w *Write) empty() bool { return w.HardState == nil && len(w.Entries) == 0 && w.Snapshot == nil }

// Output is what one step asks for. Load is set when a view from the leader
// replaces the state; Commit lists entries to apply, in order.
type Output struct {
	Messages          []Message
	Write             *Write
	InstalledSnapshot *Snapshot
	Committed         []Entry
	// LocalSnapshot is a view this member took itself. Nothing waits for it: it may be
	// written whenever the disk has time.
	LocalSnapshot *Snapshot
}

// Timing in spans of the monotonic clock. Lease is shorter than Elect, the
// least a follower waits, by what clocks may drift in that time.
type Timing struct {
	HeartbeatInterval clock.Millis
	ElectionTimeout   clock.Millis
	LeaseDuration     clock.Millis
}

// DefaultTiming is the timing with an election timeout of one second.
func DefaultTiming() Timing { return NewTiming(1000) }

// NewTiming is the timing for a least election wait, in milliseconds.
func NewTiming(electionTimeout clock.Millis) Timing {
	return Timing{HeartbeatInterval: electionTimeout / 5, ElectionTimeout: electionTimeout, LeaseDuration: electionTimeout * 4 / 5}
}
