// Package diary is what a stand-in runner tells a drill of its attempts.
// Now is the time on the runner's clock when the page was made, so that the
// reader can place each event on its own clock by its age.
package diary

import (
	"orchidward/ids"
	"orchidward/job"
)

type Page struct {
	Runner ids.Runner  `json:"runner"`
	Inc    ids.Inc     `json:"incarnation"`
	Domain ids.Domain  `json:"domain"`
	Labels []ids.Label `json:"labels"`
	Cap    job.Demand  `json:"cap"`
	Now    ids.Mono    `json:"now"`
	// Broken counts polls whose answer broke off.
	Broken int     `json:"broken"`
	Events []Event `json:"events"`
}

type Event struct {
	N     uint64     `json:"n"`
	At    ids.Mono   `json:"at"`
	What  string     `json:"what"`
	Grant ids.Grant  `json:"grant"`
	Task  ids.Ref    `json:"task"`
	Cost  job.Demand `json:"cost"`
}
