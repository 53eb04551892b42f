// Package job is the caller's description of work: a pending row, and steps
// that depend on one another, each a number of like tasks.
package job

import "orchidward/ids"

type Spec struct {
	Pending   ids.Row    `json:"pending"`
	Urgency   int64      `json:"urgency"`
	NotBefore ids.Millis `json:"notBefore,omitempty"`
	Delay     ids.Span   `json:"delayMs,omitempty"`
	Steps     []Step     `json:"steps"`
}

func (s *Spec) Tasks() (sum int64) {
	for _, one := range s.Steps {
		sum += one.Tasks
	}
	return sum
}

// Timed tells whether the job has an appointed start.
func (s *Spec) Timed() (yes bool) { return s.NotBefore > 0 || s.Delay > 0 }
