// What a server is started with, what a step asks of the world, and the bounds.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// Config is what a keeper is told at its start.
type Config struct {
	ID     identifier.Node
	Addr   string
	Domain identifier.Domain
	Seeds  []string
	Seed   int64
	Timing raft.Timing
	// Level is the highest level of commands and rules this program knows.
	Level uint16
	// Diskless makes it a porter: it has no identity and keeps nothing.
	Diskless bool
	// MayFound lets an empty keeper found a group.
	MayFound bool
	// InitialLimits are the cells of the table's first row that a founder sets.
	InitialLimits map[string]string
}

// Event is one line for the log.
type Event struct {
	Name   string
	Fields []any
}

// Output is what a step asks of the world. Start lays out a new ring.
type Output struct {
	Messages  []wire.Envelope
	CreateLog *raft.Snapshot
	Writes    []*raft.Write
	Snapshot  *raft.Snapshot
	Events    []Event
	// Quit says why this keeper must step aside; it takes no further input.
	Quit string
}

const (
	tickMillis         = 20
	schedulingInterval = 20
	snapshotEntries    = 8000
	snapshotBytes      = 8 << 20
	maxProposals       = 4096
	// maxProposalBytes bounds the bodies of requests under way. They can fill neither the
	// memory nor the log on disk, which no snapshot frees before they are decided.
	maxProposalBytes = 8 << 20
	maxGateways      = 256
	maxConfigChanges = 64
	memberDeadAfter  = 10000
	// maxLearners bounds the members that wait for a seat.
	maxLearners      = 4
	gatewayLife      = 5000
	checksumInterval = 2000
	sweepInterval    = 1000
	// leaderChangedRetryAfter is when a caller may come back whose request was with a
	// leader that another replaced, in milliseconds.
	leaderChangedRetryAfter = 200
)

// TickInterval is how often a keeper should be ticked.
const TickInterval clock.Millis = tickMillis
