package raft

import "orchidward/internal/api/identifier"

// Member is one server of the group. One that is not a voter is a learner: it
// receives the log and does not count towards any quorum.
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
	// EntryConfig carries the complete member list as JSON; it is in force as soon as
	// it is in a member's log.
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

// Snapshot is the state after the entry at Index, which replaces that entry and
// all before it.
type Snapshot struct {
	Index identifier.Index
	Term  identifier.Term
	// Members is the member list in force at Index.
	Members []Member
	// Data is the encoded state.
	Data []byte
}

// noVote stands for no vote in a term.
const noVote identifier.Node = 0

// HardState is what must be on disk before a member acts on it. A Vote of 0 is
// none.
type HardState struct {
	Term identifier.Term
	Vote identifier.Node
}

// Write goes to the disk as one batch; fields that are nil or empty stay as they
// are on disk. Entries replace all that the disk has from the first one's index
// on. Seq is to be passed to Synced.
type Write struct {
	Seq       uint64
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

func (w *Write) empty() bool { return w.HardState == nil && len(w.Entries) == 0 && w.Snapshot == nil }

// Output is what the inputs since the last TakeOutput led to.
type Output struct {
	// Messages may be sent at once.
	Messages []Message
	// Write is to go to disk, after the ones before it; nil for none.
	Write *Write
	// InstalledSnapshot, unless nil, is a leader's snapshot that replaces the state.
	// It comes before the entries in Committed.
	InstalledSnapshot *Snapshot
	// Committed lists entries to apply, in order.
	Committed []Entry
	// LocalSnapshot is a snapshot that this member took itself. Nothing waits for it:
	// it may be written whenever the disk has time.
	LocalSnapshot *Snapshot
}
