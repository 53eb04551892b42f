// What an agent says of its runner's tasks. An agent may be started again and
// remembers nothing, and neither does its runner know of grants: both name an
// attempt by its task and the number of its run.

package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

// RunState is a run that goes on. Saved is its saved progress, empty for none,
// Percent how far it says it is.
type RunState struct {
	Task            identifier.TaskRef `json:"task"`
	Attempt         uint64             `json:"run"`
	Checkpoint      string             `json:"saved,omitempty"`
	ProgressPercent int64              `json:"percent,omitempty"`
	// StalledFor is how long, in milliseconds, the percentage has not moved.
	StalledFor clock.Millis `json:"stillMs,omitempty"`
	// ProgressRate is how far it came lately, in thousandths of the whole a second; 0
	// where that is not known.
	ProgressRate int64 `json:"speed,omitempty"`
}

// RunEnd is a run that ended; N rises from 1 within each life of a runner.
// How is one of the words below.
type RunEnd struct {
	Seq        uint64             `json:"n"`
	Task       identifier.TaskRef `json:"task"`
	Attempt    uint64             `json:"run"`
	Outcome    string             `json:"how"`
	Checkpoint string             `json:"saved,omitempty"`
}

// RunStop orders a run to end.
type RunStop struct {
	Task    identifier.TaskRef `json:"task"`
	Attempt uint64             `json:"run"`
}

// Outcome a run ended: well; by a defect, its own or its runner's; on order; past
// its hold; because another member of its gang ended; because its gang did not
// gather; or it was turned away and never began.
const (
	OutcomeSuccess        = "well"
	OutcomeDefect         = "defect"
	OutcomeStopped        = "stopped"
	OutcomeLeaseLapsed    = "lapsed"
	OutcomeGangBroken     = "broken"
	OutcomeGangIncomplete = "alone"
	OutcomeRejected       = "refused"
)

// MaxCheckpointBytes bounds the text of saved progress, in bytes.
const MaxCheckpointBytes = 16 << 10

// readAgent reads what only an agent says.
func (a *PollRequest) readAgent(o *jsondoc.Object) {
	a.MilliCores, a.GPUs = o.Int("milliCores", 0, 0, maxRoom), o.Int("gpus", 0, 0, maxRoom)
	a.Pool, a.AgentAddr = o.Text("pool", ""), o.Text("addr", "")
	a.SilentFor = clock.Millis(o.Int("silentMs", 0, 0, 1<<40))
	a.LeftInOrder, a.PresumedDead = o.Bool("left", false), o.Bool("dead", false)
	for _, one := range o.List("active", most) {
		s := RunState{Task: readTask(one), Attempt: readRun(one), Checkpoint: readSaved(one), ProgressPercent: one.Int("percent", 0, 0, 1<<20), StalledFor: clock.Millis(one.Int("stillMs", 0, 0, 1<<40)), ProgressRate: one.Int("speed", 0, 0, 1<<30)}
		one.Done()
		a.Active = append(a.Active, s)
	}
	for _, one := range o.List("finished", most) {
		e := RunEnd{Seq: uint64(one.Int("n", 0, 1, 1<<53)), Task: readTask(one), Attempt: readRun(one), Checkpoint: readSaved(one)}
		e.Outcome = one.OneOf("how", "", OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeGangBroken, OutcomeGangIncomplete, OutcomeRejected)
		one.Done()
		a.Finished = append(a.Finished, e)
	}
	for _, one := range o.List("gone", most) {
		a.Cleared = append(a.Cleared, RunStop{Task: readTask(one), Attempt: readRun(one)})
		one.Done()
	}
}

func readRun(o *jsondoc.Object) uint64 { return uint64(o.Int("run", 0, 0, 1<<53)) }

func readSaved(o *jsondoc.Object) string {
	var text string
	if text = o.Text("saved", ""); len(text) > MaxCheckpointBytes {
		o.Errors().Invalid(o.Path("saved"), "at most %d bytes", MaxCheckpointBytes)
		return ""
	}
	return text
}

func readTask(o *jsondoc.Object) identifier.TaskRef {
	var r identifier.TaskRef
	t := o.Object("task")
	if t == nil {
		return r
	}
	r = identifier.TaskRef{Job: identifier.JobKey(t.Text("job", "")), Step: int(t.Int("step", 0, 0, 1<<20)), Num: int(t.Int("num", 0, 0, 1<<20))}
	t.Done()
	return r
}
