// Package eventlog is what a stand-in runner tells a drill of its attempts.
// Now is the time on the runner's clock when the page was made, so that the
// reader can place each event on its own clock by its age.
package eventlog

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Page is the event log of one incarnation of a runner. Now is in milliseconds
// on the runner's monotonic clock.
type Page struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Domain      identifier.Domain      `json:"domain"`
	Labels      []identifier.Label     `json:"labels"`
	Capacity    job.Demand             `json:"cap"`
	Now         clock.Monotonic        `json:"now"`
	// BrokenResponses counts polls whose answer broke off.
	BrokenResponses int     `json:"broken"`
	Events          []Event `json:"events"`
}

// Event is one thing that happened to an attempt. N numbers the events, and At
// is in milliseconds on the same clock as the page's Now.
type Event struct {
	Seq    uint64             `json:"n"`
	At     clock.Monotonic    `json:"at"`
	Kind   string             `json:"what"`
	Lease  identifier.LeaseID `json:"grant"`
	Task   identifier.TaskRef `json:"task"`
	Demand job.Demand         `json:"cost"`
}
