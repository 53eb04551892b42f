package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Config configures an agent. Name is the name under which the control plane knows the
// runner of this machine; a runner that restarts there is a new incarnation of it. Seeds are
// addresses of control-plane servers.
type Config struct {
	Name   identifier.Runner
	Addr   string
	Domain identifier.Domain
	Seeds  []string
	// Seed is the initial sequence number of polls. It must be higher than the sequence
	// numbers of earlier agent processes; microseconds since 1970 meet this requirement.
	Seed int64
	// MaxLease is the longest lease that a runner accepts.
	MaxLease clock.Millis
	// UsualLease is the longest lease granted in normal operation, 0 for MaxLease. A
	// shorter lease detects a crashed runner sooner, but the lease must outlast a restart
	// of the agent.
	UsualLease clock.Millis
	// DepartureNotice is the minimum time that a runner is expected to keep running after a
	// leave notification if it did not announce its departure beforehand.
	DepartureNotice clock.Millis
	// HeartbeatInterval is the interval between a runner's heartbeats.
	HeartbeatInterval clock.Millis
}

// Heartbeat is one heartbeat of the runner: its identity, its total capacity, and the
// attempts that run or have ended on it. DepartsIn is the minimum time until the runner
// leaves, and is valid only while Draining is set.
type Heartbeat struct {
	Runner identifier.Incarnation
	// Seq increases with every heartbeat of one incarnation, so that late heartbeats are
	// ignored.
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
	// EndsTruncated is set if Finished may lack ends, which the runner lists once the
	// listed ones are observed. An attempt in neither list may then have ended.
	EndsTruncated bool
}

// Orders is the response to a heartbeat. Lease is how long the running attempts may
// continue, counted from when the runner sent the heartbeat; a lease of 0 renews nothing and
// starts nothing. ObservedThrough is the sequence number up to which ends need not be
// reported again, and NextHeartbeat is the delay before the next heartbeat.
type Orders struct {
	Lease           clock.Millis
	FencingToken    uint64
	ObservedThrough uint64
	Start           []runnerapi.Start
	Stop            []runnerapi.RunStop
	NextHeartbeat   clock.Millis
}

// Event is a log entry: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output holds the messages to send and the events to log as a result of the inputs so far.
type Output struct {
	Messages []wire.Envelope
	Events   []Event
}

// TickInterval is how often Tick should be called.
const TickInterval clock.Millis = 20
