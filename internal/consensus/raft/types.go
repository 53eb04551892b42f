// Members, entries, messages, and what a step asks for.

package raft

import (
	"orchidward/internal/api/identifier"
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
