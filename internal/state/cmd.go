// Commands are the entries of the log. Exactly one of the pointers is set; At
// is the leader's cluster time when it proposed, and only ever moves Now forward.

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
	At     clock.ClusterTime `json:"at"`
	Submit *Submit           `json:"submit,omitempty"`
	Cancel *Cancel           `json:"cancel,omitempty"`
	Table  *limits.Change    `json:"table,omitempty"`
	Close  *Close            `json:"close,omitempty"`
	Reopen *Reopen           `json:"reopen,omitempty"`
	Report *Report           `json:"report,omitempty"`
	Ends   *Ends             `json:"ends,omitempty"`
	Place  *Place            `json:"place,omitempty"`
	Recall *Recall           `json:"recall,omitempty"`
	Lost   *Lost             `json:"lost,omitempty"`
	Step   *Step             `json:"step,omitempty"`
	Raise  *Raise            `json:"raise,omitempty"`
	Check  *Check            `json:"check,omitempty"`
	// Catalog is known from CatalogLevel on.
	Catalog *catalog.Change `json:"catalog,omitempty"`
}

// Raise lifts the level: from this entry on commands and rules of that level
// may be used, since every member has said that it knows them.
type Raise struct {
	Level uint16 `json:"level"`
}

// Check says what the book's sum was, at the leader, after the entry at Index.
type Check struct {
	Index identifier.Index `json:"index"`
	Sum   uint64           `json:"sum"`
}

// Submit accepts a job. A repeated one with the same content gets the same
// answer.
type Submit struct {
	Key  identifier.JobKey `json:"key"`
	Spec job.Spec          `json:"spec"`
}

// Cancel ends a job and revokes its leases.
type Cancel struct {
	Key identifier.JobKey `json:"key"`
}

// Close starts the drain of a zone. ID, when given, names the operation, so that
// a repeated command starts no second one.
type Close struct {
	Domain identifier.Domain `json:"domain"`
	ID     string            `json:"id,omitempty"`
	// Unseen closes a domain of which no runner is known yet.
	Unseen bool `json:"unseen,omitempty"`
}

// Reopen names a closing by its id or by its domain.
type Reopen struct {
	Name string `json:"name"`
}

// Report is what a runner says of itself. A new incarnation ends all leases of
// the one before as lost, after Saves have been recorded.
type Report struct {
	Runner identifier.Runner      `json:"runner"`
	Inc    identifier.Incarnation `json:"inc"`
	Cap    job.Demand             `json:"cap"`
	Labels []identifier.Label     `json:"labels,omitempty"`
	Domain identifier.Domain      `json:"domain"`
	Rack   identifier.Rack        `json:"rack"`
	Drain  bool                   `json:"draining,omitempty"`
	Depart clock.ClusterTime      `json:"departsAt,omitempty"`
	Pool   string                 `json:"pool,omitempty"`
	Addr   string                 `json:"addr,omitempty"`
	Saves  []Save                 `json:"saves,omitempty"`
}

// Save is the last progress told of a run that is about to be counted lost.
type Save struct {
	Grant identifier.LeaseID `json:"grant"`
	Saved string             `json:"saved"`
}

// How an attempt ended.
type How string

const (
	// EndWell is success.
	EndWell How = "well"
	// EndDefect is a failure that counts against the task's allowed defects.
	EndDefect How = "defect"
	// EndStopped is a run that ended because its lease was revoked.
	EndStopped How = "stopped"
	// EndLapsed is a run that the runner stopped because it had no contact for
	// as long as its lease lasts.
	EndLapsed How = "lapsed"
	// EndBroken is a run that ended because another member of its gang did.
	EndBroken How = "broken"
	// EndAlone is a run that ended because its gang did not gather.
	EndAlone How = "alone"
	// EndRefused is a start that the runner turned away; the run never began.
	EndRefused How = "refused"
	endLost    How = "lost"
)

// End is the end of one attempt. Ref names the task again, for a lease that is
// no longer known; Saved is the last progress, if any.
type End struct {
	Grant identifier.LeaseID `json:"grant"`
	Ref   identifier.TaskRef `json:"ref"`
	How   How                `json:"how"`
	Saved string             `json:"saved,omitempty"`
}

// Ends reports attempts that ended on one incarnation of a runner. Leases of
// another incarnation are left alone.
type Ends struct {
	Runner identifier.Runner      `json:"runner"`
	Inc    identifier.Incarnation `json:"inc"`
	List   []End                  `json:"list"`
}

// Put places tasks of one step; a gang's Nums and On cover it whole.
type Put struct {
	Job  identifier.JobKey   `json:"job"`
	Step int                 `json:"step"`
	Nums []int               `json:"nums"`
	On   []identifier.Runner `json:"on"`
}

// Place opens leases. Each Put is checked against the state again and passed
// over when it no longer holds.
type Place struct {
	Puts []Put `json:"puts"`
}

// Recall revokes leases; unknown ones are passed over.
type Recall struct {
	Grants []identifier.LeaseID `json:"grants"`
	Why    string               `json:"why"`
}

// Lost counts an incarnation of a runner as lost and ends all its leases. It
// does nothing when the runner has reported another incarnation.
type Lost struct {
	Runner identifier.Runner      `json:"runner"`
	Inc    identifier.Incarnation `json:"inc"`
	Saves  []Save                 `json:"saves,omitempty"`
}

// Step moves one closing on from one stage; Judge says that the time for
// unconfirmed stops has run out.
type Step struct {
	ID    string `json:"id"`
	From  Stage  `json:"from"`
	Judge bool   `json:"judge,omitempty"`
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
	c := &Command{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, err
	}
	return c, nil
}
