// A Task is the unit of work. Past keeps the last grants it lost, so that a
// late word from one of them can be told from a stranger's.

package state

import "orchidward/internal/api/identifier"

// Task is one unit of work of a step, with the lease it holds, if any. Shun is
// the runner of its last defect, which placement avoids; Closing is the drain
// that displaced it; On is the runner of its last lease; Past are the leases
// counted lost, newest last, at most pastKept of them.
type Task struct {
	State   State                `json:"state"`
	Defects int64                `json:"defects,omitempty"`
	Grant   identifier.LeaseID   `json:"grant,omitempty"`
	Shun    identifier.Runner    `json:"shun,omitempty"`
	Closing string               `json:"closing,omitempty"`
	Past    []identifier.LeaseID `json:"past,omitempty"`
	On      identifier.Runner    `json:"on,omitempty"`
	Why     string               `json:"why,omitempty"`
	// No is the number of the last run, PastNo those of the grants in Past, Bad
	// the last run that counted as a defect, Saved the progress to go on from.
	No     uint64   `json:"no,omitempty"`
	PastNo []uint64 `json:"pastNo,omitempty"`
	Bad    uint64   `json:"bad,omitempty"`
	Saved  string   `json:"saved,omitempty"`
}

const pastKept = 8

func (t *Task) lose(g *Grant) {
	t.Past = append(t.Past, g.ID)
	if len(t.Past) > pastKept {
		t.Past = t.Past[len(t.Past)-pastKept:]
	}
	if g.No == 0 {
		return
	}
	t.PastNo = append(t.PastNo, g.No)
	if len(t.PastNo) > pastKept {
		t.PastNo = t.PastNo[len(t.PastNo)-pastKept:]
	}
}

// recall takes a past grant off the list and tells whether it was there.
func (t *Task) recall(g identifier.LeaseID) bool {
	for i, p := range t.Past {
		if p == g {
			t.Past = append(append([]identifier.LeaseID(nil), t.Past[:i]...), t.Past[i+1:]...)
			if i < len(t.PastNo) {
				t.PastNo = append(append([]uint64(nil), t.PastNo[:i]...), t.PastNo[i+1:]...)
			}
			return true
		}
	}
	return false
}
