package state

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// Lease is the lease of one attempt: this task, on this runner, in this incarnation
// of it. A revoked lease stays open and keeps its resources until the runner
// confirms the end or is counted lost.
type Lease struct {
	ID          identifier.LeaseID     `json:"id"`
	Task        identifier.TaskRef     `json:"ref"`
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Row         identifier.Row         `json:"row"`
	Demand      job.Demand             `json:"demand"`
	ExpectedRun clock.Millis           `json:"spanMs"`
	OpenedAt    clock.ClusterTime      `json:"at"`
	// RevokeReason is empty while the lease is not revoked.
	RevokeReason string `json:"stop,omitempty"`
	// Attempt counts the attempts of the task, from 1; the members of a gang share
	// one. It is 0 for jobs of rows.
	Attempt uint64 `json:"no,omitempty"`
}

// belongsTo tells whether the lease was opened for this incarnation of the runner.
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
	// RevokeDrainPrefix comes before the id of the drain that revoked the lease.
	RevokeDrainPrefix = "closing "
)

// revokingDrain is the drain that revoked the lease, nil when none did or when it no
// longer cordons its scope.
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
