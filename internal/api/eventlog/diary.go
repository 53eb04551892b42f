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
	Runner identifier.Runner      `json:"runner"`
	Inc    identifier.Incarnation `json:"incarnation"`
	Domain identifier.Domain      `json:"domain"`
	Labels []identifier.Label     `json:"labels"`
	Cap    job.Demand             `json:"cap"`
	Now    clock.Monotonic        `json:"now"`
	// Broken counts polls whose answer broke off.
	Broken int     `json:"broken"`
	Events []Event `json:"events"`
}

// Event is one thing that happened to an attempt. N numbers the events, and At
// is in milliseconds on the same clock as the page's Now.
type Event struct {
	N     uint64             `json:"n"`
	At    clock.Monotonic    `json:"at"`
	What  string             `json:"what"`
	Grant identifier.LeaseID `json:"grant"`
	Task  identifier.TaskRef `json:"task"`
	Cost  job.Demand         `json:"cost"`
}
