package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// Config is the configuration of a server. Addr is where it listens for other processes
// and Domain its zone. Seeds are addresses of processes that may know the consensus
// group. Seed makes its random choices reproducible.
type Config struct {
	ID     identifier.Node
	Addr   string
	Domain identifier.Domain
	Seeds  []string
	Seed   int64
	Timing raft.Timing
	// Level is the highest level of commands and rules that this program supports.
	Level uint16
	// Diskless makes the server stateless: it has no identity and no vote, and only
	// forwards requests to the leader.
	Diskless bool
	// MayFound allows a server with an empty disk to found a group.
	MayFound bool
	// LossesTolerated is the number of members' disks that may be lost at once, 0 if not
	// configured.
	LossesTolerated int
	// InitialLimits are the site-wide cells of the limits table that a founder sets, by
	// name.
	InitialLimits map[string]string
}

// Event is one line of the log: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output is what the owner of the server must do as a result of its inputs.
type Output struct {
	// Messages are to be sent. They may be lost, duplicated or reordered on the way.
	Messages []wire.Envelope
	// CreateLog, if set, requests a new write-ahead log that begins with this snapshot;
	// LogCreated reports that it is on disk.
	CreateLog *raft.Snapshot
	// Writes must go to disk in order; Synced reports each.
	Writes []*raft.Write
	// Snapshot may be written at any time. Nothing waits for it.
	Snapshot *raft.Snapshot
	// Events are lines for the log.
	Events []Event
	// Quit is the reason why this server must stop, empty if it need not. A server that
	// sets it accepts no further input.
	Quit string
}

// TickInterval is how often Tick should be called.
const TickInterval clock.Millis = 20
