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
	Task    identifier.TaskRef `json:"task"`
	Run     uint64             `json:"run"`
	Saved   string             `json:"saved,omitempty"`
	Percent int64              `json:"percent,omitempty"`
	// Still is how long, in milliseconds, the percentage has not moved.
	Still clock.Millis `json:"stillMs,omitempty"`
	// Speed is how far it came lately, in thousandths of the whole a second; 0
	// where that is not known.
	Speed int64 `json:"speed,omitempty"`
}

// RunEnd is a run that ended; N rises from 1 within each life of a runner.
// How is one of the words below.
type RunEnd struct {
	N     uint64             `json:"n"`
	Task  identifier.TaskRef `json:"task"`
	Run   uint64             `json:"run"`
	How   string             `json:"how"`
	Saved string             `json:"saved,omitempty"`
}

// RunStop orders a run to end.
type RunStop struct {
	Task identifier.TaskRef `json:"task"`
	Run  uint64             `json:"run"`
}

// How a run ended: well; by a defect, its own or its runner's; on order; past
// its hold; because another member of its gang ended; because its gang did not
// gather; or it was turned away and never began.
const (
	Well    = "well"
	Defect  = "defect"
	Stopped = "stopped"
	Lapsed  = "lapsed"
	Broken  = "broken"
	Alone   = "alone"
	Refused = "refused"
)

// MaxSaved bounds the text of saved progress, in bytes.
const MaxSaved = 16 << 10

// readAgent reads what only an agent says.
func (a *Ask) readAgent(o *jsondoc.Obj) {
	a.Milli, a.GPUs = o.Int("milliCores", 0, 0, maxRoom), o.Int("gpus", 0, 0, maxRoom)
	a.Pool, a.Addr = o.Text("pool", ""), o.Text("addr", "")
	a.Silent = clock.Millis(o.Int("silentMs", 0, 0, 1<<40))
	a.Left, a.Dead = o.Bool("left", false), o.Bool("dead", false)
	for _, one := range o.List("active", most) {
		s := RunState{Task: readTask(one), Run: readRun(one), Saved: readSaved(one), Percent: one.Int("percent", 0, 0, 1<<20), Still: clock.Millis(one.Int("stillMs", 0, 0, 1<<40)), Speed: one.Int("speed", 0, 0, 1<<30)}
		one.Done()
		a.Active = append(a.Active, s)
	}
	for _, one := range o.List("finished", most) {
		e := RunEnd{N: uint64(one.Int("n", 0, 1, 1<<53)), Task: readTask(one), Run: readRun(one), Saved: readSaved(one)}
		e.How = one.OneOf("how", "", Well, Defect, Stopped, Lapsed, Broken, Alone, Refused)
		one.Done()
		a.Finished = append(a.Finished, e)
	}
	for _, one := range o.List("gone", most) {
		a.Gone = append(a.Gone, RunStop{Task: readTask(one), Run: readRun(one)})
		one.Done()
	}
}

func readRun(o *jsondoc.Obj) uint64 { return uint64(o.Int("run", 0, 0, 1<<53)) }

func readSaved(o *jsondoc.Obj) string {
	var text string
	if text = o.Text("saved", ""); len(text) > MaxSaved {
		o.Faults().Sense(o.Path("saved"), "at most %d bytes", MaxSaved)
		return ""
	}
	return text
}

func readTask(o *jsondoc.Obj) identifier.TaskRef {
	var r identifier.TaskRef
	t := o.Sub("task")
	if t == nil {
		return r
	}
	r = identifier.TaskRef{Job: identifier.JobKey(t.Text("job", "")), Step: int(t.Int("step", 0, 0, 1<<20)), Num: int(t.Int("num", 0, 0, 1<<20))}
	t.Done()
	return r
}
