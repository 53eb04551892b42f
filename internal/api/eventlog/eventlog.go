// Package eventlog is the document in which a simulated runner tells a drill what happened
// to its attempts. Each page has the time on the runner's own clock, so that the reader can
// place the events on its clock by their age.
package eventlog

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Page is the event log of one incarnation of a runner.
type Page struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Domain      identifier.Domain      `json:"domain"`
	Labels      []identifier.Label     `json:"labels"`
	Capacity    job.Demand             `json:"cap"`
	// Now is when the page was made, in milliseconds on the runner's monotonic clock.
	Now clock.Monotonic `json:"now"`
	// BrokenResponses counts polls whose response was incomplete.
	BrokenResponses int     `json:"broken"`
	Events          []Event `json:"events"`
}

// Event is one thing that happened to an attempt.
type Event struct {
	// Seq numbers the events.
	Seq uint64 `json:"n"`
	// At is in milliseconds on the same clock as the page's Now.
	At     clock.Monotonic    `json:"at"`
	Kind   string             `json:"what"`
	Lease  identifier.LeaseID `json:"grant"`
	Task   identifier.TaskRef `json:"task"`
	Demand job.Demand         `json:"cost"`
}
