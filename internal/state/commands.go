package state

import (
	"bytes"
	"encoding/json"
	"fmt"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// Command is one command of the replicated log. Exactly one of the pointers is set;
// At is the leader's cluster time when it proposed the command.
type Command struct {
	At             clock.ClusterTime `json:"at"`
	SubmitJob      *SubmitJob        `json:"submit,omitempty"`
	CancelJob      *CancelJob        `json:"cancel,omitempty"`
	ChangeLimits   *limits.Change    `json:"table,omitempty"`
	StartDrain     *StartDrain       `json:"close,omitempty"`
	EndDrain       *EndDrain         `json:"reopen,omitempty"`
	ReportRunner   *ReportRunner     `json:"report,omitempty"`
	ReportEnds     *ReportEnds       `json:"ends,omitempty"`
	PlaceTasks     *PlaceTasks       `json:"place,omitempty"`
	RevokeLeases   *RevokeLeases     `json:"recall,omitempty"`
	LoseRunner     *LoseRunner       `json:"lost,omitempty"`
	AdvanceDrain   *AdvanceDrain     `json:"step,omitempty"`
	RaiseLevel     *RaiseLevel       `json:"raise,omitempty"`
	VerifyChecksum *VerifyChecksum   `json:"check,omitempty"`
	// ChangeCatalog is used from CatalogLevel on.
	ChangeCatalog *catalog.Change `json:"catalog,omitempty"`
}

// RaiseLevel raises the level: from this entry on, commands and rules of that level may
// be used, since every member has announced that it supports them.
type RaiseLevel struct {
	Level uint16 `json:"level"`
}

// VerifyChecksum carries the checksum of the leader's store after the entry at Index. The
// other servers compare it with theirs.
type VerifyChecksum struct {
	Index    identifier.Index `json:"index"`
	Checksum uint64           `json:"sum"`
}

// SubmitJob submits a job. A resend of the same content gets the same response.
type SubmitJob struct {
	Key  identifier.JobKey `json:"key"`
	Spec job.Spec          `json:"spec"`
}

// CancelJob cancels a job and revokes its leases.
type CancelJob struct {
	Key identifier.JobKey `json:"key"`
}

// StartDrain starts the drain of a failure domain.
type StartDrain struct {
	Domain identifier.Domain `json:"domain"`
	// ID identifies the drain if set, so that a resend does not start a second one.
	ID string `json:"id,omitempty"`
	// AllowUnknown allows draining a domain from which no runner has reported yet.
	AllowUnknown bool `json:"unseen,omitempty"`
}

// EndDrain reopens the scope of a drain, identified by its id or its domain.
type EndDrain struct {
	Name string `json:"name"`
}

// ReportRunner is a runner's report of its own properties, committed whenever they
// change. A new incarnation ends all leases of the previous one as lost, after
// Checkpoints have been recorded.
type ReportRunner struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Capacity    job.Demand             `json:"cap"`
	Labels      []identifier.Label     `json:"labels,omitempty"`
	Domain      identifier.Domain      `json:"domain"`
	Rack        identifier.Rack        `json:"rack"`
	Draining    bool                   `json:"draining,omitempty"`
	DepartsAt   clock.ClusterTime      `json:"departsAt,omitempty"`
	Pool        string                 `json:"pool,omitempty"`
	AgentAddr   string                 `json:"addr,omitempty"`
	Checkpoints []Checkpoint           `json:"saves,omitempty"`
}

// Checkpoint is the last checkpoint of an attempt that is about to be counted lost.
type Checkpoint struct {
	Lease identifier.LeaseID `json:"grant"`
	Data  string             `json:"saved"`
}

// Outcome is how an attempt ended.
type Outcome string

const (
	// OutcomeSuccess is an attempt that succeeded.
	OutcomeSuccess Outcome = "well"
	// OutcomeDefect is an attempt that failed. It counts against the task's allowed
	// defects.
	OutcomeDefect Outcome = "defect"
	// OutcomeStopped is an attempt that ended because its lease was revoked.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseLapsed is an attempt that the runner stopped because it had no contact
	// with a server for the duration of its lease.
	OutcomeLeaseLapsed Outcome = "lapsed"
	// OutcomeGangBroken is an attempt that ended because another member of its gang
	// ended.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete is an attempt that ended because not all members of its
	// gang started.
	OutcomeGangIncomplete Outcome = "alone"
	// OutcomeRejected is an attempt that the runner refused to start.
	OutcomeRejected Outcome = "refused"
	// outcomeLost is an attempt whose runner was counted lost.
	outcomeLost Outcome = "lost"
)

// End is the end of one attempt.
type End struct {
	Lease identifier.LeaseID `json:"grant"`
	// Task repeats the task, in case the lease is no longer open.
	Task    identifier.TaskRef `json:"ref"`
	Outcome Outcome            `json:"how"`
	// Checkpoint is the last checkpoint, empty for none.
	Checkpoint string `json:"saved,omitempty"`
}

// ReportEnds reports attempts that ended on one incarnation of a runner. Leases of other
// incarnations are not affected.
type ReportEnds struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Ends        []End                  `json:"list"`
}

// Placement places tasks of one step: the i-th of Tasks on the i-th of Runners. A
// placement of a gang contains all its waiting tasks.
type Placement struct {
	Job     identifier.JobKey   `json:"job"`
	Step    int                 `json:"step"`
	Tasks   []int               `json:"nums"`
	Runners []identifier.Runner `json:"on"`
}

// PlaceTasks opens leases. Each placement is validated again against the current state
// and skipped if it is no longer valid.
type PlaceTasks struct {
	Placements []Placement `json:"puts"`
}

// RevokeLeases revokes leases; those no longer open are skipped.
type RevokeLeases struct {
	Leases []identifier.LeaseID `json:"grants"`
	Reason string               `json:"why"`
}

// LoseRunner counts a runner as lost and ends all its leases, after Checkpoints have been
// recorded. It is a no-op if the runner has reported another incarnation.
type LoseRunner struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Checkpoints []Checkpoint           `json:"saves,omitempty"`
}

// AdvanceDrain executes the current stage of a drain.
type AdvanceDrain struct {
	ID string `json:"id"`
	// From is the stage that the leader saw. If the drain is in another stage, the
	// command is a no-op.
	From Stage `json:"from"`
	// TimedOut is set once the time for confirming stops has run out.
	TimedOut bool `json:"judge,omitempty"`
}

// Encode returns the data of a log entry.
func (c *Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("state: a command must always encode: %v", err))
	}
	return data
}

// DecodeCommand parses the data of a log entry. It fails on fields unknown to this
// program: ignoring what such a field asks for would make the state diverge from that of
// the other servers.
func DecodeCommand(data []byte) (*Command, error) {
	command := &Command{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(command); err != nil {
		return nil, err
	}
	return command, nil
}
