package job

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Step is a number of equal tasks.
type Step struct {
	Name string `json:"name"`
	// After names the steps whose tasks must all have succeeded first.
	After []string `json:"after,omitempty"`
	Tasks int64    `json:"tasks"`
	// Gang has the tasks placed together or not at all.
	Gang bool `json:"gang,omitempty"`
	// Demand is that of each task.
	Demand Demand             `json:"demand"`
	Labels []identifier.Label `json:"labels,omitempty"`
	// MaxDefects is the number of reported defects that fail a task.
	MaxDefects int64 `json:"allowedDefects"`
	// ExpectedRun is the expected duration of one task, in milliseconds.
	ExpectedRun clock.Millis `json:"spanMs"`

	// The rest is for jobs of queues only.

	// PreferredRack is the rack that has the data, and OneRack asks for all members of a
	// gang in one rack. Neither is a requirement.
	PreferredRack identifier.Rack `json:"near,omitempty"`
	OneRack       bool            `json:"oneRack,omitempty"`
	// MaxPerRunner is the number of tasks of the step that one runner may have at once,
	// 0 for any number.
	MaxPerRunner int64 `json:"apart,omitempty"`
	// AllowDuplicates says that two attempts of one task may run side by side.
	AllowDuplicates bool `json:"copies,omitempty"`
	// Service tasks are started again however they end, until the job is cancelled.
	Service bool `json:"lasting,omitempty"`
	// Checkpoints says that the tasks report checkpoints, which are given to the next
	// attempt.
	Checkpoints bool `json:"saves,omitempty"`
}
