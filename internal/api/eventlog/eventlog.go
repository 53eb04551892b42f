// Package eventlog defines the document in which a simulated runner reports the events of its
// attempts to a drill. Each page has the time on the runner's clock, so that the reader can
// convert the events to its own clock by their age.
package eventlog

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Page is a page of the event log of one incarnation of a runner.
type Page struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Domain      identifier.Domain      `json:"domain"`
	Labels      []identifier.Label     `json:"labels"`
	Capacity    job.Demand             `json:"cap"`
	// Now is when the runner wrote the page, in milliseconds on its monotonic clock.
	Now clock.Monotonic `json:"now"`
	// BrokenResponses counts the polls with an incomplete response.
	BrokenResponses int     `json:"broken"`
	Events          []Event `json:"events"`
}

// Event is an event of an attempt.
type Event struct {
	// Seq numbers the events.
	Seq uint64 `json:"n"`
	// At is in milliseconds on the same clock as Page.Now.
	At     clock.Monotonic    `json:"at"`
	Kind   string             `json:"what"`
	Lease  identifier.LeaseID `json:"grant"`
	Task   identifier.TaskRef `json:"task"`
	Demand job.Demand         `json:"cost"`
}
