// A Grant is one attempt: this task, on this runner, in this incarnation of
// it. Stop says why the attempt was called back; the grant stays open, and
// holds its room, until the runner confirms or the core may count it lost.

package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Grant is the lease of one attempt: this task, on this runner, in this
// incarnation of it. Stop is why it was revoked, empty while it is not; a
// revoked lease stays open and keeps its room until the runner confirms the end
// or is counted lost. Run is the expected duration in milliseconds.
type Grant struct {
	ID     identifier.LeaseID     `json:"id"`
	Ref    identifier.TaskRef     `json:"ref"`
	Runner identifier.Runner      `json:"runner"`
	Inc    identifier.Incarnation `json:"inc"`
	Row    identifier.Row         `json:"row"`
	Demand job.Demand             `json:"demand"`
	Run    clock.Millis           `json:"spanMs"`
	At     clock.ClusterTime      `json:"at"`
	Stop   string                 `json:"stop,omitempty"`
	// No counts the runs of the task, from 1; the members of a gang share one.
	No uint64 `json:"no,omitempty"`
}

// Reasons for calling a grant back; a closing's own id follows its prefix.
const (
	StopCancel  = "cancelled"
	StopFail    = "job failed"
	StopDone    = "ended well elsewhere"
	StopPartner = "gang partner gone"
	StopLate    = "start not confirmed"
	StopPush    = "pushed out"
	StopSilent  = "gang partner silent"
	StopStill   = "stands still"
	StopSlow    = "sooner done elsewhere"
	StopClosing = "closing "
)
