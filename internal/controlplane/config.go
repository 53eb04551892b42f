package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// Config is what a server is started with. Addr is where it listens for the other
// processes and Domain its zone. Seeds are addresses of processes that may know the
// consensus group. Seed makes its random choices repeatable.
type Config struct {
	ID     identifier.Node
	Addr   string
	Domain identifier.Domain
	Seeds  []string
	Seed   int64
	Timing raft.Timing
	// Level is the highest level of commands and rules that this program knows.
	Level uint16
	// Diskless makes the server one that keeps nothing: it has no identity and no
	// vote, and only forwards requests to the leader.
	Diskless bool
	// MayFound lets a server with an empty disk found a group.
	MayFound bool
	// InitialLimits are the site-wide cells of the limits table that a founder sets,
	// by name.
	InitialLimits map[string]string
}

// Event is one line for the log: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output is what the inputs so far ask the owner of the server to do.
type Output struct {
	// Messages are to be sent. They may be lost, doubled or reordered on the way.
	Messages []wire.Envelope
	// CreateLog, when set, asks for a new write-ahead log that begins with this
	// snapshot; LogCreated reports that it is on disk.
	CreateLog *raft.Snapshot
	// Writes go to disk in order; Synced reports each.
	Writes []*raft.Write
	// Snapshot may be written whenever the disk has time. Nothing waits for it.
	Snapshot *raft.Snapshot
	// Events are lines for the log.
	Events []Event
	// Quit says why this server must stop. It takes no further input.
	Quit string
}

const tickMillis = 20

// TickInterval is how often Tick should be called.
const TickInterval clock.Millis = tickMillis

const (
	// schedulingInterval is the least time between two scheduling cycles, in
	// milliseconds.
	schedulingInterval = 20
	// A snapshot is taken after snapshotEntries entries or snapshotBytes bytes.
	snapshotEntries = 8000
	snapshotBytes   = 8 << 20
	// memberDeadAfter is how long a member is silent, in milliseconds, before it
	// counts as dead for good.
	memberDeadAfter = 10000
	// maxLearners bounds the members without a vote.
	maxLearners = 4
	// checksumInterval is how often the members compare the checksums of their
	// states, in milliseconds.
	checksumInterval = 2000
)
