// Package job is the caller's description of work: a pending row or a queue of
// the catalogue, and steps that depend on one another, each a number of like
// tasks.
package job

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Spec is the checked content of a job. A job starts at NotBefore (cluster time) or
// Delay milliseconds after it was accepted; when both are 0, as soon as there is
// room. Higher Urgency goes first within a row.
type Spec struct {
	Row       identifier.Row    `json:"pending"`
	Urgency   int64             `json:"urgency"`
	NotBefore clock.ClusterTime `json:"notBefore,omitempty"`
	Delay     clock.Millis      `json:"delayMs,omitempty"`
	Steps     []Step            `json:"steps"`
	// Queue names a queue of the catalogue in place of a pending row; Text is
	// handed to whatever runs the tasks; Repeat runs the steps many times.
	Queue   string  `json:"queue,omitempty"`
	Payload string  `json:"text,omitempty"`
	Repeat  *Repeat `json:"repeat,omitempty"`
}

// Repeat has the steps run Times times, the k-th due at First + k x Every.
type Repeat struct {
	Count int64             `json:"times"`
	First clock.ClusterTime `json:"firstMs"`
	Every clock.Millis      `json:"everyMs"`
}

// DueAt is when the k-th time is due.
func (r *Repeat) DueAt(k int64) clock.ClusterTime { return r.First.Add(clock.Millis(k) * r.Every) }

// TaskCount is the number of tasks in all steps.
func (s *Spec) TaskCount() int64 {
	var sum int64
	for _, one := range s.Steps {
		sum += one.Tasks
	}
	return sum
}

// HasStartTime tells whether the job has an appointed start.
func (s *Spec) HasStartTime() bool { return s.NotBefore > 0 || s.Delay > 0 || s.Repeat != nil }

// HasServices tells whether some of it goes on until the job is cancelled.
func (s *Spec) HasServices() bool {
	var yes bool
	for _, one := range s.Steps {
		yes = yes || one.Service
	}
	return yes
}

// CriticalPath is the longest chain of work through the steps, by their rough spans.
func (s *Spec) CriticalPath() clock.Millis {
	var span clock.Millis
	at := make([]clock.Millis, len(s.Steps))
	for range s.Steps {
		for i, one := range s.Steps {
			from := clock.Millis(0)
			for _, name := range one.After {
				for k, other := range s.Steps {
					if other.Name == name {
						from = max(from, at[k])
					}
				}
			}
			at[i] = from + one.ExpectedRun
			span = max(span, at[i])
		}
	}
	return span
}
