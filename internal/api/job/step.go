package job

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Step is a set of equal tasks.
type Step struct {
	Name string `json:"name"`
	// After names the steps that this one depends on: all their tasks must have succeeded
	// first.
	After []string `json:"after,omitempty"`
	Tasks int64    `json:"tasks"`
	// Gang means that the tasks are placed together or not at all.
	Gang bool `json:"gang,omitempty"`
	// Demand is the demand of each task.
	Demand Demand             `json:"demand"`
	Labels []identifier.Label `json:"labels,omitempty"`
	// MaxDefects is the number of reported defects after which a task fails.
	MaxDefects int64 `json:"allowedDefects"`
	// ExpectedRun is the expected duration of one task, in milliseconds.
	ExpectedRun clock.Millis `json:"spanMs"`

	// The fields below are for jobs for queues only.

	// PreferredRack is the rack that has the data, and OneRack requests that all members
	// of a gang run in one rack. Both are preferences, not requirements.
	PreferredRack identifier.Rack `json:"near,omitempty"`
	OneRack       bool            `json:"oneRack,omitempty"`
	// MaxPerRunner bounds the number of the step's tasks on one runner at a time; 0 means
	// no bound.
	MaxPerRunner int64 `json:"apart,omitempty"`
	// AllowDuplicates means that two attempts at the same task may run concurrently.
	AllowDuplicates bool `json:"copies,omitempty"`
	// Service means that the tasks are restarted however they end, until the job is
	// cancelled.
	Service bool `json:"lasting,omitempty"`
	// Checkpoints means that the tasks report checkpoints, which are passed to the next
	// attempt.
	Checkpoints bool `json:"saves,omitempty"`
}
