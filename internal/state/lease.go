// A Grant is one attempt: this task, on this runner, in this incarnation of
// it. Stop says why the attempt was called back; the grant stays open, and
// holds its room, until the runner confirms or the core may count it lost.

package state

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Lease is the lease of one attempt: this task, on this runner, in this
// incarnation of it. Stop is why it was revoked, empty while it is not; a
// revoked lease stays open and keeps its room until the runner confirms the end
// or is counted lost. Run is the expected duration in milliseconds.
type Lease struct {
	ID           identifier.LeaseID     `json:"id"`
	Task         identifier.TaskRef     `json:"ref"`
	Runner       identifier.Runner      `json:"runner"`
	Incarnation  identifier.Incarnation `json:"inc"`
	Row          identifier.Row         `json:"row"`
	Demand       job.Demand             `json:"demand"`
	ExpectedRun  clock.Millis           `json:"spanMs"`
	OpenedAt     clock.ClusterTime      `json:"at"`
	RevokeReason string                 `json:"stop,omitempty"`
	// Attempt counts the runs of the task, from 1; the members of a gang share one.
	Attempt uint64 `json:"no,omitempty"`
}

// Reasons for calling a grant back; a closing's own id follows its prefix.
const (
	RevokeCancelled        = "cancelled"
	RevokeJobFailed        = "job failed"
	RevokeDoneElsewhere    = "ended well elsewhere"
	RevokeGangMemberGone   = "gang partner gone"
	RevokeStartUnconfirmed = "start not confirmed"
	RevokePreempted        = "pushed out"
	RevokeGangMemberSilent = "gang partner silent"
	RevokeStalled          = "stands still"
	RevokeSlow             = "sooner done elsewhere"
	RevokeDrainPrefix      = "closing "
)
