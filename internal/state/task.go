package state

import (
	"slices"

	"orchidward/internal/api/identifier"
)

// Task is one unit of work of a step.
type Task struct {
	State TaskState `json:"state"`
	// Defects counts the reported defects. For a gang of a queue's job, the first member
	// holds the count of all members.
	Defects int64 `json:"defects,omitempty"`
	// Lease is the open lease of a placed task, or 0.
	Lease identifier.LeaseID `json:"grant,omitempty"`
	// AvoidRunner is a runner that placement avoids, because the last defective, stalled
	// or slow attempt ran there.
	AvoidRunner identifier.Runner `json:"shun,omitempty"`
	// DisplacedBy is the id of the drain that displaced the task, or empty.
	DisplacedBy string `json:"closing,omitempty"`
	// LostLeases are the leases that were counted lost, newest last, so that a late
	// report of their end is recognised.
	LostLeases []identifier.LeaseID `json:"past,omitempty"`
	// LastRunner is the runner of the last lease.
	LastRunner identifier.Runner `json:"on,omitempty"`
	// Reason explains to users why the task is in its state.
	Reason string `json:"why,omitempty"`
	// Attempt is the number of the last attempt, LostAttempts are the attempt numbers of
	// LostLeases, and DefectiveAttempts are the attempts counted in Defects. Below
	// LateGangDefectLevel, LastDefectiveAttempt is the last of these. Only jobs of queues
	// use them.
	Attempt              uint64   `json:"no,omitempty"`
	LostAttempts         []uint64 `json:"pastNo,omitempty"`
	DefectiveAttempts    []uint64 `json:"badNo,omitempty"`
	LastDefectiveAttempt uint64   `json:"bad,omitempty"`
	// Checkpoint is the checkpoint from which the next attempt resumes.
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

// forgetLostLease removes a lease from the lost ones. It returns the number of its
// attempt, 0 for a job of rows, and reports whether the lease was among them.
func (t *Task) forgetLostLease(id identifier.LeaseID) (attempt uint64, ok bool) {
	index := slices.Index(t.LostLeases, id)
	if index < 0 {
		return 0, false
	}
	t.LostLeases = slices.Delete(slices.Clone(t.LostLeases), index, index+1)
	if index < len(t.LostAttempts) {
		attempt = t.LostAttempts[index]
		t.LostAttempts = slices.Delete(slices.Clone(t.LostAttempts), index, index+1)
	}
	return attempt, true
}

// recordDefectiveAttempt adds an attempt to the defective ones, and reports whether it was
// not among them. A task has at most as many as its queue allows it to fail.
func (t *Task) recordDefectiveAttempt(attempt uint64) bool {
	if slices.Contains(t.DefectiveAttempts, attempt) {
		return false
	}
	t.DefectiveAttempts = append(t.DefectiveAttempts, attempt)
	return true
}
