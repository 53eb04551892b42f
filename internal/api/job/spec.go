package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Spec is the checked content of a job.
type Spec struct {
	// Row is the row of the limits table that the job counts for, empty for a job of a
	// queue.
	Row identifier.Row `json:"pending"`
	// Urgency orders the jobs of a row: the higher goes first.
	Urgency int64 `json:"urgency"`
	// NotBefore is the earliest cluster time of the first placement, Delay that time
	// counted from the job's acceptance. When both are 0 the job is placed as soon as
	// there are resources.
	NotBefore clock.ClusterTime `json:"notBefore,omitempty"`
	Delay     clock.Millis      `json:"delayMs,omitempty"`
	Steps     []Step            `json:"steps"`
	// Queue is a queue of the catalogue, empty for a job of a row.
	Queue string `json:"queue,omitempty"`
	// Tenant is whose API key the job was handed in with, empty for nobody's. The leader
	// sets it.
	Tenant string `json:"tenant,omitempty"`
	// KeyDigest is the digest of that key.
	KeyDigest string `json:"keyDigest,omitempty"`
	// Payload is handed to whatever runs the tasks.
	Payload string `json:"text,omitempty"`
	// Repeat has the steps run many times, nil for once.
	Repeat *Repeat `json:"repeat,omitempty"`
}

// Repeat has the steps of a job run Count times, the first at First and then one after
// each span of Every.
type Repeat struct {
	Count int64             `json:"times"`
	First clock.ClusterTime `json:"firstMs"`
	Every clock.Millis      `json:"everyMs"`
}

// DueAt is when an occurrence is due, counted from 0.
func (r *Repeat) DueAt(number int64) clock.ClusterTime {
	return r.First.Add(clock.Millis(number) * r.Every)
}

// TaskCount is the number of tasks in all steps.
func (s *Spec) TaskCount() int64 {
	var count int64
	for _, step := range s.Steps {
		count += step.Tasks
	}
	return count
}

// HasStartTime tells whether the job names a time at which it starts.
func (s *Spec) HasStartTime() bool { return s.NotBefore > 0 || s.Delay > 0 || s.Repeat != nil }

// CriticalPath is the expected duration, in milliseconds, of the longest chain of steps.
func (s *Spec) CriticalPath() clock.Millis { return s.CriticalPathBy(expectedRun) }

// CriticalPathBy is the critical path when a step takes as long as run says, in milliseconds.
func (s *Spec) CriticalPathBy(run func(step *Step) clock.Millis) clock.Millis {
	return s.CriticalPathWithout(func(int) bool { return false }, run)
}

func expectedRun(step *Step) clock.Millis { return step.ExpectedRun }

// CriticalPathWithout is the critical path when the steps for which done returns true take
// no time, and the others as long as run says.
func (s *Spec) CriticalPathWithout(done func(step int) bool, run func(step *Step) clock.Millis) clock.Millis {
	var longest clock.Millis
	// Steps come in any order, so one pass for each of them settles every chain.
	chains := make([]clock.Millis, len(s.Steps))
	for range s.Steps {
		for i := range s.Steps {
			if done(i) {
				continue
			}
			chains[i] = s.longestChain(chains, s.Steps[i].After) + run(&s.Steps[i])
			longest = max(longest, chains[i])
		}
	}
	return longest
}

// longestChain is the longest of the chains that end with one of the named steps.
func (s *Spec) longestChain(chains []clock.Millis, names []string) clock.Millis {
	var longest clock.Millis
	for i := range s.Steps {
		if chains[i] > longest && slices.Contains(names, s.Steps[i].Name) {
			longest = chains[i]
		}
	}
	return longest
}

// checksumBytes is the number of bytes kept of a SHA-256 hash.
const checksumBytes = 12

// Checksum identifies the content: the hash of the normal form, without whose job it is, so
// that a job keeps its checksum when its cluster comes to have tenants.
func (s *Spec) Checksum() string {
	content := *s
	content.Tenant = ""
	content.KeyDigest = ""
	text, err := json.Marshal(&content)
	if err != nil {
		panic(fmt.Sprintf("job: a spec must always encode: %v", err))
	}
	hash := sha256.Sum256(text)
	return hex.EncodeToString(hash[:checksumBytes])
}
