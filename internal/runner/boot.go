// Package runner is the stand-in back end as a pure state machine. It speaks
// the published protocol as any real one would and simulates the work; it can
// be told to be slow, to fail, and to leave.
package runner

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Config is the configuration a runner starts with. Gates are the gateways it
// polls, Cap its capacity, and Seed makes its random choices repeatable.
type Config struct {
	Name        identifier.Runner
	Incarnation identifier.Incarnation
	Capacity    job.Demand
	Labels      []identifier.Label
	Domain      identifier.Domain
	Rack        identifier.Rack
	Gateways    []string
	Seed        int64
	// SlowdownPercent stretches every run, in percent; Faulty is the share of runs that
	// end in a defect, in percent.
	SlowdownPercent int64
	DefectPercent   int64
}

// Poll is one to be sent.
type Poll struct {
	Gateway string
	Seq     uint64
	Body    []byte
	Timeout clock.Millis
}

// Event is what happened to an attempt here, for logs and for observers.
type Event struct {
	Kind   string
	Lease  identifier.LeaseID
	Task   identifier.TaskRef
	Demand job.Demand
}

// Output is what the inputs so far ask the caller to do: polls to send and events
// to log.
type Output struct {
	Polls  []Poll
	Events []Event
}

const (
	// TickInterval is how often a runner should be ticked, in milliseconds.
	TickInterval clock.Millis = 20
	firstWait    clock.Millis = 1000
	tombLife     clock.Millis = 60000
	mostEnds                  = 512
	endsFull                  = 4096
	backMost     clock.Millis = 1000
)
