// Package agent is the part of the scheduler that stands beside one runner, as
// a pure state machine. It alone speaks to that runner: it answers the runner's
// heartbeats at once from what the core has granted, passes on starts and stops
// with their fence, tells the core what changed, and lets work run on under its
// hold while the core looks for a new leader.
package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Config is what an agent is told at its start. Name is the name under which the
// core knows the place this agent stands at; a runner that is started again
// there is a new incarnation of it.
type Config struct {
	Name   identifier.Runner
	Addr   string
	Domain identifier.Domain
	Seeds  []string
	// Seed is where the numbers of this life's polls begin. It must lie above
	// those of former lives: microseconds since 1970 will do.
	Seed int64
	// MaxLease is the longest hold a runner takes, in milliseconds.
	MaxLease clock.Millis
	// UsualLease is what a runner is given while all is well, 0 for MaxLease. The
	// shorter it is, the sooner a runner that has crashed is known to be dead; it
	// must outlast an agent that is started again.
	UsualLease clock.Millis
	// HeartbeatInterval is how long a runner should wait between heartbeats, in milliseconds.
	HeartbeatInterval clock.Millis
}

// Heartbeat is one heartbeat of the runner: who it is, what room it has in all, and
// what runs or has ended on it. Departs is the least time it has left, and
// counts only while Draining is set.
type Heartbeat struct {
	Runner identifier.Incarnation
	// Seq rises with every heartbeat of one life: a late one is passed over.
	Seq       uint64
	Pool      string
	Domain    identifier.Domain
	Rack      identifier.Rack
	Labels    []identifier.Label
	Capacity  job.Demand
	Draining  bool
	DepartsIn clock.Millis
	Active    []runnerapi.RunState
	Finished  []runnerapi.RunEnd
}

// Event is one line for the log.
type Event struct {
	Name   string
	Fields []any
}

// Output is what a step asks of the world.
type Output struct {
	Messages []wire.Envelope
	Events   []Event
}

// TickInterval is how often an agent should be ticked.
const TickInterval clock.Millis = 20

// Orders answer a heartbeat. Hold is how long everything that runs may run on,
// counted from the sending of the heartbeat; 0 holds nothing and starts
// nothing. Observed is the number up to which ends need not be told again.
// Retry is when to beat again.
type Orders struct {
	Lease           clock.Millis
	FencingToken    uint64
	ObservedThrough uint64
	Start           []runnerapi.Start
	Stop            []runnerapi.RunStop
	NextHeartbeat   clock.Millis
}
