// A Task is the unit of work. Past keeps the last grants it lost, so that a
// late word from one of them can be told from a stranger's.

package state

import "orchidward/internal/api/identifier"

// Task is one unit of work of a step, with the lease it holds, if any. Shun is
// the runner of its last defect, which placement avoids; Closing is the drain
// that displaced it; On is the runner of its last lease; Past are the leases
// counted lost, newest last, at most pastKept of them.
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

const pastKept = 8

func (t *Task) lose(g *Lease) {
	t.LostLeases = append(t.LostLeases, g.ID)
	if len(t.LostLeases) > pastKept {
		t.LostLeases = t.LostLeases[len(t.LostLeases)-pastKept:]
	}
	if g.Attempt == 0 {
		return
	}
	t.LostAttempts = append(t.LostAttempts, g.Attempt)
	if len(t.LostAttempts) > pastKept {
		t.LostAttempts = t.LostAttempts[len(t.LostAttempts)-pastKept:]
	}
}

// recall takes a past grant off the list and tells whether it was there.
func (t *Task) recall(g identifier.LeaseID) bool {
	for i, p := range t.LostLeases {
		if p == g {
			t.LostLeases = append(append([]identifier.LeaseID(nil), t.LostLeases[:i]...), t.LostLeases[i+1:]...)
			if i < len(t.LostAttempts) {
				t.LostAttempts = append(append([]uint64(nil), t.LostAttempts[:i]...), t.LostAttempts[i+1:]...)
			}
			return true
		}
	}
	return false
}
