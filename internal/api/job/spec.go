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

// Spec is the validated content of a job.
type Spec struct {
	// Row is the row of the limits table that the job belongs to, empty for a job for a
	// queue.
	Row identifier.Row `json:"pending"`
	// Urgency orders the jobs of a row: higher values go first.
	Urgency int64 `json:"urgency"`
	// NotBefore is the earliest cluster time of the first placement, Delay the same time
	// relative to the job's acceptance. If both are 0, the job is placed as soon as
	// resources are free.
	NotBefore clock.ClusterTime `json:"notBefore,omitempty"`
	Delay     clock.Millis      `json:"delayMs,omitempty"`
	Steps     []Step            `json:"steps"`
	// Queue is a queue of the catalogue, empty for a job for a row.
	Queue string `json:"queue,omitempty"`
	// Tenant is the tenant whose API key the job was submitted with, empty if there was no
	// key. The leader sets it.
	Tenant string `json:"tenant,omitempty"`
	// KeyDigest is the digest of that key.
	KeyDigest string `json:"keyDigest,omitempty"`
	// Payload is passed to the runners of the tasks.
	Payload string `json:"text,omitempty"`
	// Repeat makes the steps run repeatedly; nil means once.
	Repeat *Repeat `json:"repeat,omitempty"`
}

// Repeat makes the steps of a job run Count times: the first time at First, and then at
// intervals of Every.
type Repeat struct {
	Count int64             `json:"times"`
	First clock.ClusterTime `json:"firstMs"`
	Every clock.Millis      `json:"everyMs"`
}

// DueAt returns when an occurrence is due. Occurrences are counted from 0.
func (r *Repeat) DueAt(number int64) clock.ClusterTime {
	return r.First.Add(clock.Millis(number) * r.Every)
}

// TaskCount returns the number of tasks in all steps.
func (s *Spec) TaskCount() int64 {
	var count int64
	for _, step := range s.Steps {
		count += step.Tasks
	}
	return count
}

// HasStartTime reports whether the job specifies a start time.
func (s *Spec) HasStartTime() bool { return s.NotBefore > 0 || s.Delay > 0 || s.Repeat != nil }

// CriticalPath returns the expected duration of the longest chain of dependent steps.
func (s *Spec) CriticalPath() clock.Millis { return s.CriticalPathBy(expectedRun) }

// CriticalPathBy returns the critical path with the durations of steps given by run.
func (s *Spec) CriticalPathBy(run func(step *Step) clock.Millis) clock.Millis {
	return s.CriticalPathWithout(func(int) bool { return false }, run)
}

func expectedRun(step *Step) clock.Millis { return step.ExpectedRun }

// CriticalPathWithout returns the critical path of the steps for which done returns false,
// with durations given by run.
func (s *Spec) CriticalPathWithout(done func(step int) bool, run func(step *Step) clock.Millis) clock.Millis {
	var longest clock.Millis
	// Steps are in no particular order, so it takes up to one pass per step until all
	// chains have their final length.
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

// longestChain returns the length of the longest chain that ends with one of the named steps.
func (s *Spec) longestChain(chains []clock.Millis, names []string) clock.Millis {
	var longest clock.Millis
	for i := range s.Steps {
		if chains[i] > longest && slices.Contains(names, s.Steps[i].Name) {
			longest = chains[i]
		}
	}
	return longest
}

// checksumBytes is the number of bytes kept from a SHA-256 hash.
const checksumBytes = 12

// Checksum identifies the content: it is the hash of the canonical form without the tenant and
// the key digest, so that a job keeps its checksum when tenants are introduced in its cluster.
func (s *Spec) Checksum() string {
	content := *s
	content.Tenant = ""
	content.KeyDigest = ""
	text, err := json.Marshal(&content)
	if err != nil {
		panic(fmt.Sprintf("job: encoding a spec: %v", err))
	}
	hash := sha256.Sum256(text)
	return hex.EncodeToString(hash[:checksumBytes])
}
