package agent

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// Config is what an agent is started with. Name is the name under which the control plane
// knows the runner of this machine; a runner that is started again there is a new
// incarnation of it. Seeds are addresses of control-plane servers.
type Config struct {
	Name   identifier.Runner
	Addr   string
	Domain identifier.Domain
	Seeds  []string
	// Seed is where the numbers of polls begin. It must lie above those of earlier
	// processes: microseconds since 1970 will do.
	Seed int64
	// MaxLease is the longest lease that a runner takes.
	MaxLease clock.Millis
	// UsualLease is what a runner is given while all is well, 0 for MaxLease. The shorter
	// it is, the sooner a runner that has crashed is known to be dead; it must outlast a
	// restart of the agent.
	UsualLease clock.Millis
	// DepartureNotice is how long a runner is expected to go on at least that says farewell
	// without having announced its departure.
	DepartureNotice clock.Millis
	// HeartbeatInterval is how long a runner should wait between heartbeats.
	HeartbeatInterval clock.Millis
}

// Heartbeat is one heartbeat of the runner: who it is, its whole capacity, and what runs
// or has ended on it. DepartsIn is the least time it has left, and counts only while
// Draining is set.
type Heartbeat struct {
	Runner identifier.Incarnation
	// Seq rises with every heartbeat of one incarnation: a late one is passed over.
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

// Orders answer a heartbeat. Lease is how long everything that runs may run on, counted
// from the sending of the heartbeat; 0 holds nothing and starts nothing. ObservedThrough
// is the number up to which ends need not be reported again, and NextHeartbeat after how
// long to send the next heartbeat.
type Orders struct {
	Lease           clock.Millis
	FencingToken    uint64
	ObservedThrough uint64
	Start           []runnerapi.Start
	Stop            []runnerapi.RunStop
	NextHeartbeat   clock.Millis
}

// Event is one line for the log: a name and alternating keys and values.
type Event struct {
	Name   string
	Fields []any
}

// Output is what the inputs so far ask the owner to do: messages to send and events to
// log.
type Output struct {
	Messages []wire.Envelope
	Events   []Event
}

// TickInterval is how often Tick should be called.
const TickInterval clock.Millis = 20
