package state

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Lease is the lease of one attempt: one task on one incarnation of a runner. A revoked
// lease stays open and holds its resources until the runner confirms the end or is
// counted lost.
type Lease struct {
	ID          identifier.LeaseID     `json:"id"`
	Task        identifier.TaskRef     `json:"ref"`
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Row         identifier.Row         `json:"row"`
	Demand      job.Demand             `json:"demand"`
	ExpectedRun clock.Millis           `json:"spanMs"`
	OpenedAt    clock.ClusterTime      `json:"at"`
	// RevokeReason is empty unless the lease is revoked.
	RevokeReason string `json:"stop,omitempty"`
	// Attempt numbers the attempts of the task from 1; the members of a gang share one
	// number. It is 0 for jobs of rows.
	Attempt uint64 `json:"no,omitempty"`
}

// belongsTo reports whether the lease was opened for this incarnation of the runner.
func (l *Lease) belongsTo(name identifier.Runner, incarnation identifier.Incarnation) bool {
	return l.Runner == name && l.Incarnation == incarnation
}

// Reasons for revoking a lease. They are part of the log and of snapshots.
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
	// RevokeDrainPrefix is followed by the id of the drain that revoked the lease.
	RevokeDrainPrefix = "closing "
)

// revokingDrain returns the drain that revoked the lease, or nil if no drain did or the
// drain no longer cordons its scope.
func (s *Store) revokingDrain(lease *Lease) *Drain {
	id, ok := strings.CutPrefix(lease.RevokeReason, RevokeDrainPrefix)
	if !ok {
		return nil
	}
	drain := s.Drains[id]
	if drain == nil || !drain.Stage.Cordons() {
		return nil
	}
	return drain
}
