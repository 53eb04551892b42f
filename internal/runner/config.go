package runner

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Config configures a runner. Gateways lists the gateways to poll, and Seed makes random
// choices reproducible.
type Config struct {
	Name        identifier.Runner
	Incarnation identifier.Incarnation
	Capacity    job.Demand
	Labels      []identifier.Label
	Domain      identifier.Domain
	Rack        identifier.Rack
	Gateways    []string
	Seed        int64
	// SlowdownPercent lengthens every attempt, and DefectPercent is the share of attempts
	// that end with a defect, both in percent.
	SlowdownPercent int64
	DefectPercent   int64
}

// Poll is a poll to send. A response that arrives after Timeout is ignored.
type Poll struct {
	Gateway string
	Seq     uint64
	Body    []byte
	Timeout clock.Millis
}

// Kinds of events, in addition to the outcomes of attempts (package runnerapi).
const (
	// EventStart is the start of an attempt.
	EventStart = "start"
	// EventAcked is an end that the control plane has acknowledged.
	EventAcked = "acked"
)

// Event is an event of an attempt, for logs and observers. Kind is an outcome of package
// runnerapi, EventStart or EventAcked.
type Event struct {
	Kind   string
	Lease  identifier.LeaseID
	Task   identifier.TaskRef
	Demand job.Demand
}

// Output holds the polls to send and the events to log as a result of the inputs so far.
type Output struct {
	Polls  []Poll
	Events []Event
}

const (
	// TickInterval is how often Tick should be called.
	TickInterval clock.Millis = 20
	// initialLease and initialStartTimeout apply until the control plane sends other values.
	initialLease        clock.Millis = 10000
	initialStartTimeout clock.Millis = 1000
	// usedLeaseTTL is how long a used lease is kept, so that it cannot start an attempt
	// again.
	usedLeaseTTL clock.Millis = 60000
	// maxReportedEnds bounds the ends that one poll reports. maxEnds bounds the
	// unacknowledged ends: once it is reached, the runner starts no attempts.
	maxReportedEnds = 512
	maxEnds         = 4096
	// minBackoff and maxBackoff bound the backoff after a failed poll.
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 1000
	// maxOpenPolls bounds the polls without a response.
	maxOpenPolls = 2
)
