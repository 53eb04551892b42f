package state

import (
	"bytes"
	"encoding/json"

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
	// ChangeCatalog is known from CatalogLevel on.
	ChangeCatalog *catalog.Change `json:"catalog,omitempty"`
}

// RaiseLevel lifts the level: from this entry on commands and rules of that level
// may be used, since every member has said that it knows them.
type RaiseLevel struct {
	Level uint16 `json:"level"`
}

// VerifyChecksum says what the book's sum was, at the leader, after the entry at Index.
type VerifyChecksum struct {
	Index    identifier.Index `json:"index"`
	Checksum uint64           `json:"sum"`
}

// SubmitJob accepts a job. A repeated one with the same content gets the same
// answer.
type SubmitJob struct {
	Key  identifier.JobKey `json:"key"`
	Spec job.Spec          `json:"spec"`
}

// CancelJob ends a job and revokes its leases.
type CancelJob struct {
	Key identifier.JobKey `json:"key"`
}

// StartDrain starts the drain of a zone. ID, when given, names the operation, so that
// a repeated command starts no second one.
type StartDrain struct {
	Domain identifier.Domain `json:"domain"`
	ID     string            `json:"id,omitempty"`
	// AllowUnknown closes a domain of which no runner is known yet.
	AllowUnknown bool `json:"unseen,omitempty"`
}

// EndDrain names a closing by its id or by its domain.
type EndDrain struct {
	Name string `json:"name"`
}

// ReportRunner is what a runner says of itself. A new incarnation ends all leases of
// the one before as lost, after Saves have been recorded.
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

// Checkpoint is the last progress told of a run that is about to be counted lost.
type Checkpoint struct {
	Lease identifier.LeaseID `json:"grant"`
	Data  string             `json:"saved"`
}

// Outcome an attempt ended.
type Outcome string

const (
	// OutcomeSuccess is success.
	OutcomeSuccess Outcome = "well"
	// OutcomeDefect is a failure that counts against the task's allowed defects.
	OutcomeDefect Outcome = "defect"
	// OutcomeStopped is a run that ended because its lease was revoked.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseLapsed is a run that the runner stopped because it had no contact for
	// as long as its lease lasts.
	OutcomeLeaseLapsed Outcome = "lapsed"
	// OutcomeGangBroken is a run that ended because another member of its gang did.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete is a run that ended because its gang did not gather.
	OutcomeGangIncomplete Outcome = "alone"
	// OutcomeRejected is a start that the runner turned away; the run never began.
	OutcomeRejected Outcome = "refused"
	outcomeLost     Outcome = "lost"
)

// End is the end of one attempt. Ref names the task again, for a lease that is
// no longer known; Saved is the last progress, if any.
type End struct {
	Lease      identifier.LeaseID `json:"grant"`
	Task       identifier.TaskRef `json:"ref"`
	Outcome    Outcome            `json:"how"`
	Checkpoint string             `json:"saved,omitempty"`
}

// ReportEnds reports attempts that ended on one incarnation of a runner. Leases of
// another incarnation are left alone.
type ReportEnds struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Ends        []End                  `json:"list"`
}

// Placement places tasks of one step; a gang's Nums and On cover it whole.
type Placement struct {
	Job     identifier.JobKey   `json:"job"`
	Step    int                 `json:"step"`
	Tasks   []int               `json:"nums"`
	Runners []identifier.Runner `json:"on"`
}

// PlaceTasks opens leases. Each Put is checked against the state again and passed
// over when it no longer holds.
type PlaceTasks struct {
	Placements []Placement `json:"puts"`
}

// RevokeLeases revokes leases; unknown ones are passed over.
type RevokeLeases struct {
	Leases []identifier.LeaseID `json:"grants"`
	Reason string               `json:"why"`
}

// LoseRunner counts an incarnation of a runner as lost and ends all its leases. It
// does nothing when the runner has reported another incarnation.
type LoseRunner struct {
	Runner      identifier.Runner      `json:"runner"`
	Incarnation identifier.Incarnation `json:"inc"`
	Checkpoints []Checkpoint           `json:"saves,omitempty"`
}

// AdvanceDrain moves one closing on from one stage; Judge says that the time for
// unconfirmed stops has run out.
type AdvanceDrain struct {
	ID       string `json:"id"`
	From     Stage  `json:"from"`
	JudgeNow bool   `json:"judge,omitempty"`
}

// Encode makes the data of a log entry.
func (c *Command) Encode() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// DecodeCommand wants to know every word of an entry: what this program does not
// know it would not do, and its book would part from the others'.
func DecodeCommand(text []byte) (*Command, error) {
	command := &Command{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(command); err != nil {
		return nil, err
	}
	return command, nil
}
