package raft

import "orchidward/internal/api/identifier"

// Member is one server of the group. A member that is not a voter is a learner: it
// receives the log but does not count towards any quorum.
type Member struct {
	ID     identifier.Node   `json:"id"`
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Voter  bool              `json:"voter"`
}

// EntryKind is the kind of data that a log entry carries.
type EntryKind uint8

const (
	// EntryBlank is the empty entry that a new leader appends at the start of its term.
	EntryBlank EntryKind = iota
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand
	// EntryConfig carries the complete member list as JSON. It takes effect on a member
	// as soon as it is appended to that member's log.
	EntryConfig
)

// Entry is one entry of the replicated log. Index and Term identify it: two logs that
// both contain an entry with this index and term are identical up to and including it.
type Entry struct {
	Index identifier.Index
	Term  identifier.Term
	Kind  EntryKind
	Data  []byte
}

// Snapshot is the state after applying the entry at Index. It replaces that entry and
// all entries before it.
type Snapshot struct {
	Index identifier.Index
	Term  identifier.Term
	// Members is the member list in effect at Index.
	Members []Member
	// Data is the encoded state.
	Data []byte
}

// noVote is the value of HardState.Vote while a member has not voted in its term.
const noVote identifier.Node = 0

// HardState is the state that must be on disk before a member sends messages that
// depend on it. Vote is 0 if the member has not voted in Term.
type HardState struct {
	Term identifier.Term
	Vote identifier.Node
}

// Write is a batch that is written to disk as a unit. Nil or empty fields leave the
// stored values unchanged. Entries replace all stored entries from the index of the
// first one onwards. Seq is passed to Synced once the batch is on disk.
type Write struct {
	Seq       uint64
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

func (w *Write) empty() bool { return w.HardState == nil && len(w.Entries) == 0 && w.Snapshot == nil }

// Output holds the results of the inputs since the last TakeOutput.
type Output struct {
	// Messages may be sent immediately.
	Messages []Message
	// Write must be written to disk after all earlier writes; nil if there is none.
	Write *Write
	// InstalledSnapshot, unless nil, is a leader's snapshot that replaces the state. It
	// must be restored before Committed is applied.
	InstalledSnapshot *Snapshot
	// Committed lists the entries to apply, in order.
	Committed []Entry
	// LocalSnapshot is a snapshot that this member took, nil if there is none. Nothing
	// depends on it, so it may be written whenever the disk is idle.
	LocalSnapshot *Snapshot
}
