package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MaxCheckpointBytes bounds a checkpoint, in bytes.
const MaxCheckpointBytes = 16 << 10

// An agent keeps no state across restarts, and its runner does not know about leases, so both
// identify an attempt by its task and attempt number.

// RunState is the state of a running attempt.
type RunState struct {
	Task    identifier.TaskRef `json:"task"`
	Attempt uint64             `json:"run"`
	// Checkpoint is the last checkpoint, empty for none.
	Checkpoint string `json:"saved,omitempty"`
	// ProgressPercent is the progress that the attempt reports.
	ProgressPercent int64 `json:"percent,omitempty"`
	// StalledFor is how long ProgressPercent has not changed, in milliseconds.
	StalledFor clock.Millis `json:"stillMs,omitempty"`
	// ProgressRate is the recent progress rate, in thousandths of the whole task per
	// second; 0 means unknown.
	ProgressRate int64 `json:"speed,omitempty"`
}

// RunEnd is an attempt that ended.
type RunEnd struct {
	// Seq increases from 1 within each incarnation of a runner.
	Seq     uint64             `json:"n"`
	Task    identifier.TaskRef `json:"task"`
	Attempt uint64             `json:"run"`
	// Outcome is one of the constants below.
	Outcome    string `json:"how"`
	Checkpoint string `json:"saved,omitempty"`
}

// RunStop orders an attempt to stop.
type RunStop struct {
	Task    identifier.TaskRef `json:"task"`
	Attempt uint64             `json:"run"`
}

// Outcomes of attempts. Runners without an agent report only the first four.
const (
	OutcomeSuccess = "well"
	// OutcomeDefect is a failure of the attempt or of its runner.
	OutcomeDefect = "defect"
	// OutcomeStopped means that the attempt was ordered to stop.
	OutcomeStopped = "stopped"
	// OutcomeLeaseLapsed means that the attempt's lease expired.
	OutcomeLeaseLapsed = "lapsed"
	// OutcomeGangBroken means that the attempt ended because another member of its gang
	// ended.
	OutcomeGangBroken = "broken"
	// OutcomeGangIncomplete means that the attempt ended because not all members of its
	// gang started.
	OutcomeGangIncomplete = "alone"
	// OutcomeRejected means that the runner refused to start the attempt.
	OutcomeRejected = "refused"
)

// runnerOutcomes lists the outcomes that a runner may report, agentOutcomes those that an
// agent may report.
var (
	runnerOutcomes = []string{OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed}
	agentOutcomes  = append(runnerOutcomes[:len(runnerOutcomes):len(runnerOutcomes)], OutcomeGangBroken, OutcomeGangIncomplete, OutcomeRejected)
)
