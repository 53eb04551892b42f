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
	// Blank is the empty entry with which a leader opens its term.
	Blank EntryKind = iota
	// Command carries a command for the replicated state machine.
	Command
	// Config carries the whole member list as JSON; it is in force as soon as it
	// is in a member's log.
	Config
)

// Entry is one position of the replicated log. Index and Term together identify
// it: two logs that share them are equal up to and including that entry.
type Entry struct {
	Index identifier.Index
	Term  identifier.Term
	Kind  EntryKind
	Data  []byte
}

// Kind says what a message is and which of the fields of Message it uses.
type Kind uint8

const (
	// AppendEntries carries entries after Index and LogTerm, or none as a heartbeat.
	AppendEntries Kind = iota + 1
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
	Kind    Kind
	From    identifier.Node
	To      identifier.Node
	Term    identifier.Term
	Index   identifier.Index
	LogTerm identifier.Term
	Commit  identifier.Index
	Entries []Entry
	No      bool
	Force   bool
	Hint    identifier.Index
	Stamp   clock.Monotonic
	Wall    clock.WallTime
	Met     identifier.Term
	Site    clock.ClusterTime
	Level   uint16
	Leaving bool
	View    *Snapshot
	Off     int64
	Total   int64
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
	Seq     uint64
	Hard    *HardState
	Entries []Entry
	View    *Snapshot
}

func (w *Write) empty() bool { return w.Hard == nil && len(w.Entries) == 0 && w.View == nil }

// Output is what one step asks for. Load is set when a view from the leader
// replaces the state; Commit lists entries to apply, in order.
type Output struct {
	Msgs   []Message
	Write  *Write
	Load   *Snapshot
	Commit []Entry
	// Draft is a view this member took itself. Nothing waits for it: it may be
	// written whenever the disk has time.
	Draft *Snapshot
}

// Timing in spans of the monotonic clock. Lease is shorter than Elect, the
// least a follower waits, by what clocks may drift in that time.
type Timing struct {
	Beat  clock.Millis
	Elect clock.Millis
	Lease clock.Millis
}

// Usual is the timing with an election timeout of one second.
func Usual() Timing { return Paced(1000) }

// Paced is the timing for a least election wait, in milliseconds.
func Paced(elect clock.Millis) Timing {
	return Timing{Beat: elect / 5, Elect: elect, Lease: elect * 4 / 5}
}
