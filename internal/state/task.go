// A Task is the unit of work. Past keeps the last grants it lost, so that a
// late word from one of them can be told from a stranger's.

package state

import "orchidward/internal/api/identifier"

// Task is one unit of work of a step, with the lease it holds, if any. Shun is
// the runner of its last defect, which placement avoids; Closing is the drain
// that displaced it; On is the runner of its last lease; Past are the leases
// counted lost, newest last, at most maxLostLeases of them.
type Task struct {
	State       TaskState            `json:"state"`
	Defects     int64                `json:"defects,omitempty"`
	Lease       identifier.LeaseID   `json:"grant,omitempty"`
	AvoidRunner identifier.Runner    `json:"shun,omitempty"`
	DisplacedBy string               `json:"closing,omitempty"`
	LostLeases  []identifier.LeaseID `json:"past,omitempty"`
	LastRunner  identifier.Runner    `json:"on,omitempty"`
	Reason      string               `json:"why,omitempty"`
	// Attempt is the number of the last run, LostAttempts those of the grants in Past, Bad
	// the last run that counted as a defect, Saved the progress to go on from.
	Attempt              uint64   `json:"no,omitempty"`
	LostAttempts         []uint64 `json:"pastNo,omitempty"`
	LastDefectiveAttempt uint64   `json:"bad,omitempty"`
	Checkpoint           string   `json:"saved,omitempty"`
}

const maxLostLeases = 8

func (t *Task) recordLostLease(lease *Lease) {
	t.LostLeases = append(t.LostLeases, lease.ID)
	if len(t.LostLeases) > maxLostLeases {
		t.LostLeases = t.LostLeases[len(t.LostLeases)-maxLostLeases:]
	}
	if lease.Attempt == 0 {
		return
	}
	t.LostAttempts = append(t.LostAttempts, lease.Attempt)
	if len(t.LostAttempts) > maxLostLeases {
		t.LostAttempts = t.LostAttempts[len(t.LostAttempts)-maxLostLeases:]
	}
}

// forgetLostLease takes a past grant off the list and tells whether it was there.
func (t *Task) forgetLostLease(lease identifier.LeaseID) bool {
	for i, p := range t.LostLeases {
		if p == lease {
			t.LostLeases = append(append([]identifier.LeaseID(nil), t.LostLeases[:i]...), t.LostLeases[i+1:]...)
			if i < len(t.LostAttempts) {
				t.LostAttempts = append(append([]uint64(nil), t.LostAttempts[:i]...), t.LostAttempts[i+1:]...)
			}
			return true
		}
	}
	return false
}
