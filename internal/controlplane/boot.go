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
	tickMs    = 20
	planGap   = 20
	viewEvery = 8000
	viewBytes = 8 << 20
	mostWaits = 4096
	// mostBytes bounds the bodies of requests under way. They can fill neither the
	// memory nor the log on disk, which no snapshot frees before they are decided.
	mostBytes  = 8 << 20
	mostGates  = 256
	mostTables = 64
	deadMs     = 10000
	// mostLearners bounds the members that wait for a seat.
	mostLearners = 4
	gateLife     = 5000
	checkGap     = 2000
	sweepGap     = 1000
	// leaderChangedRetry is when a caller may come back whose request was with a
	// leader that another replaced, in milliseconds.
	leaderChangedRetry = 200
)

// TickInterval is how often a keeper should be ticked.
const TickInterval clock.Millis = tickMs
