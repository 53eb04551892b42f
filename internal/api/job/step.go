// A Step is a number of like tasks that may start once every step named in
// After has ended well. Defects is how many reported defects use up a task.

package job

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Step is a number of equal tasks. They may start once every step named in After
// has ended with success. Run is the expected duration of one task in
// milliseconds, and Defects the number of reported defects that use up a task.
type Step struct {
	Name        string             `json:"name"`
	After       []string           `json:"after,omitempty"`
	Tasks       int64              `json:"tasks"`
	Gang        bool               `json:"gang,omitempty"`
	Demand      Demand             `json:"demand"`
	Labels      []identifier.Label `json:"labels,omitempty"`
	MaxDefects  int64              `json:"allowedDefects"`
	ExpectedRun clock.Millis       `json:"spanMs"`
	// PreferredRack is the rack that holds the data; OneRack wants the members of a gang
	// in one rack. Both cost time where they are missed, and neither forbids.
	PreferredRack identifier.Rack `json:"near,omitempty"`
	OneRack       bool            `json:"oneRack,omitempty"`
	// MaxPerRunner is how many tasks of the step one runner may hold, 0 for any number.
	MaxPerRunner int64 `json:"apart,omitempty"`
	// AllowDuplicates may run side by side; Lasting tasks are started again however they
	// end; Saves says that progress is kept.
	AllowDuplicates bool `json:"copies,omitempty"`
	Service         bool `json:"lasting,omitempty"`
	Checkpoints     bool `json:"saves,omitempty"`
}
