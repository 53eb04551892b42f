package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// MaxCheckpointBytes bounds a checkpoint, in bytes.
const MaxCheckpointBytes = 16 << 10

// An agent may be restarted and remembers nothing, and its runner does not know of leases.
// So both name an attempt by its task and its number.

// RunState is an attempt that is running.
type RunState struct {
	Task    identifier.TaskRef `json:"task"`
	Attempt uint64             `json:"run"`
	// Checkpoint is the last one, empty for none.
	Checkpoint string `json:"saved,omitempty"`
	// ProgressPercent is how far the attempt says it is.
	ProgressPercent int64 `json:"percent,omitempty"`
	// StalledFor is how long ProgressPercent has not changed, in milliseconds.
	StalledFor clock.Millis `json:"stillMs,omitempty"`
	// ProgressRate is the recent progress, in thousandths of the whole task a second; 0
	// when it is not known.
	ProgressRate int64 `json:"speed,omitempty"`
}

// RunEnd is an attempt that ended.
type RunEnd struct {
	// Seq rises from 1 within each incarnation of a runner.
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

// How an attempt ended. Runners without an agent report the first four only.
const (
	OutcomeSuccess = "well"
	// OutcomeDefect is a failure of the attempt or of its runner.
	OutcomeDefect = "defect"
	// OutcomeStopped is an attempt that was told to stop.
	OutcomeStopped = "stopped"
	// OutcomeLeaseLapsed is an attempt whose lease ran out.
	OutcomeLeaseLapsed = "lapsed"
	// OutcomeGangBroken is an attempt that ended because another member of its gang did.
	OutcomeGangBroken = "broken"
	// OutcomeGangIncomplete is an attempt that ended because not all members of its gang
	// started.
	OutcomeGangIncomplete = "alone"
	// OutcomeRejected is an attempt that the runner refused to start.
	OutcomeRejected = "refused"
)

// runnerOutcomes are those that a runner may report, agentOutcomes those that an agent may.
var (
	runnerOutcomes = []string{OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed}
	agentOutcomes  = append(runnerOutcomes[:len(runnerOutcomes):len(runnerOutcomes)], OutcomeGangBroken, OutcomeGangIncomplete, OutcomeRejected)
)
