package state

import (
	"slices"

	"orchidward/internal/api/identifier"
)

// Task is one unit of work of a step.
type Task struct {
	State TaskState `json:"state"`
	// Defects counts the reported defects, in a gang of a queue's job those of all
	// members with the first.
	Defects int64 `json:"defects,omitempty"`
	// Lease is the open lease of a placed task, 0 for none.
	Lease identifier.LeaseID `json:"grant,omitempty"`
	// AvoidRunner is the runner that placement avoids, because of the last defect
	// there.
	AvoidRunner identifier.Runner `json:"shun,omitempty"`
	// DisplacedBy is the drain that displaced the task, empty for none.
	DisplacedBy string `json:"closing,omitempty"`
	// LostLeases are the leases that were counted lost, newest last, so that a late
	// report of one of them is recognised.
	LostLeases []identifier.LeaseID `json:"past,omitempty"`
	// LastRunner is the runner of the last lease.
	LastRunner identifier.Runner `json:"on,omitempty"`
	// Reason tells people why the task is in its state.
	Reason string `json:"why,omitempty"`
	// Attempt is the number of the last attempt, LostAttempts are those of
	// LostLeases, and LastDefectiveAttempt is the last that counted as a defect.
	// They are used by the jobs of queues only.
	Attempt              uint64   `json:"no,omitempty"`
	LostAttempts         []uint64 `json:"pastNo,omitempty"`
	LastDefectiveAttempt uint64   `json:"bad,omitempty"`
	// Checkpoint is what the next attempt goes on from.
	Checkpoint string `json:"saved,omitempty"`
}

// maxLostLeases bounds the lost leases that a task remembers.
const maxLostLeases = 8

func (t *Task) recordLostLease(lease *Lease) {
	t.LostLeases = keepLast(append(t.LostLeases, lease.ID), maxLostLeases)
	if lease.Attempt == 0 {
		return
	}
	t.LostAttempts = keepLast(append(t.LostAttempts, lease.Attempt), maxLostLeases)
}

// forgetLostLease removes a lease from the lost ones and tells whether it was among
// them.
func (t *Task) forgetLostLease(id identifier.LeaseID) bool {
	index := slices.Index(t.LostLeases, id)
	if index < 0 {
		return false
	}
	t.LostLeases = slices.Delete(slices.Clone(t.LostLeases), index, index+1)
	if index < len(t.LostAttempts) {
		t.LostAttempts = slices.Delete(slices.Clone(t.LostAttempts), index, index+1)
	}
	return true
}
