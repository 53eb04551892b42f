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
	// LossesTolerated is how many disks of members may be lost at once, 0 if that is not
	// said.
	LossesTolerated int
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

// TickInterval is how often Tick should be called.
const TickInterval clock.Millis = 20
