// Package runner is the stand-in back end as a pure state machine. It speaks
// the published protocol as any real one would and simulates the work; it can
// be told to be slow, to fail, and to leave.
package runner

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Boot is the configuration a runner starts with. Gates are the gateways it
// polls, Cap its capacity, and Seed makes its random choices repeatable.
type Boot struct {
	Name   identifier.Runner
	Inc    identifier.Incarnation
	Cap    job.Demand
	Labels []identifier.Label
	Domain identifier.Domain
	Rack   identifier.Rack
	Gates  []string
	Seed   int64
	// Slow stretches every run, in percent; Faulty is the share of runs that
	// end in a defect, in percent.
	Slow   int64
	Faulty int64
}

// Poll is one to be sent.
type Poll struct {
	Gate string
	Seq  uint64
	Body []byte
	Wait clock.Millis
}

// Event is what happened to an attempt here, for logs and for observers.
type Event struct {
	What  string
	Grant identifier.LeaseID
	Task  identifier.TaskRef
	Cost  job.Demand
}

// Out is what the inputs so far ask the caller to do: polls to send and events
// to log.
type Out struct {
	Polls  []Poll
	Events []Event
}

const (
	// Tick is how often a runner should be ticked, in milliseconds.
	Tick      clock.Millis = 20
	firstWait clock.Millis = 1000
	tombLife  clock.Millis = 60000
	mostEnds               = 512
	endsFull               = 4096
	backMost  clock.Millis = 1000
)
