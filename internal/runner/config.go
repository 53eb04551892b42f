package runner

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Config is what a runner is started with. Gateways are those that it polls, and Seed makes
// its random choices repeatable.
type Config struct {
	Name        identifier.Runner
	Incarnation identifier.Incarnation
	Capacity    job.Demand
	Labels      []identifier.Label
	Domain      identifier.Domain
	Rack        identifier.Rack
	Gateways    []string
	Seed        int64
	// SlowdownPercent stretches every attempt, and DefectPercent is the share of attempts
	// that end in a defect, both in percent.
	SlowdownPercent int64
	DefectPercent   int64
}

// Poll is a poll to be sent. Its response counts only within Timeout.
type Poll struct {
	Gateway string
	Seq     uint64
	Body    []byte
	Timeout clock.Millis
}

// Kinds of events, beside the outcomes of attempts (package runnerapi).
const (
	// EventStart is the start of an attempt.
	EventStart = "start"
	// EventAcked is an end that the control plane has acknowledged.
	EventAcked = "acked"
)

// Event is what happened to an attempt, for logs and for observers. Kind is an outcome of
// package runnerapi, EventStart or EventAcked.
type Event struct {
	Kind   string
	Lease  identifier.LeaseID
	Task   identifier.TaskRef
	Demand job.Demand
}

// Output is what the inputs so far ask the owner to do: polls to send and events to log.
type Output struct {
	Polls  []Poll
	Events []Event
}

const (
	// TickInterval is how often Tick should be called.
	TickInterval clock.Millis = 20
	// initialLease and initialStartTimeout hold until the control plane gives others.
	initialLease        clock.Millis = 10000
	initialStartTimeout clock.Millis = 1000
	// usedLeaseTTL is how long a lease is remembered that must not start again.
	usedLeaseTTL clock.Millis = 60000
	// maxReportedEnds bounds the ends that one poll reports, and maxEnds those that wait to
	// be acknowledged: beyond it nothing is started.
	maxReportedEnds = 512
	maxEnds         = 4096
	// minBackoff and maxBackoff bound the pause after a failed poll.
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 1000
	// maxOpenPolls bounds the polls without a response.
	maxOpenPolls = 2
)
