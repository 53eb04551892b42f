// Package runnerapi is the runners' published protocol: what a poll says and what
// its answer says. docs/runners.md is its description for others.
package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

// PollRequest is one poll. Seq grows with every poll of an incarnation.
type PollRequest struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Seq         uint64                 `json:"seq"`
	Cores       int64                  `json:"cores"`
	Mem         int64                  `json:"memMb"`
	Labels      []identifier.Label     `json:"labels,omitempty"`
	Domain      identifier.Domain      `json:"domain"`
	Rack        identifier.Rack        `json:"rack"`
	Mode        string                 `json:"mode"`
	DepartsIn   clock.Millis           `json:"departsMs,omitempty"`
	Running     []identifier.LeaseID   `json:"running,omitempty"`
	Ended       []End                  `json:"ended,omitempty"`
	// What follows is said by agents, of the runner they stand beside. Milli are
	// thousandths of a core beyond Cores.
	Agent      bool         `json:"agent,omitempty"`
	MilliCores int64        `json:"milliCores,omitempty"`
	GPUs       int64        `json:"gpus,omitempty"`
	Pool       string       `json:"pool,omitempty"`
	AgentAddr  string       `json:"addr,omitempty"`
	SilentFor  clock.Millis `json:"silentMs,omitempty"`
	Active     []RunState   `json:"active,omitempty"`
	Finished   []RunEnd     `json:"finished,omitempty"`
	// Cleared are runs that were to stop and are certain never to run here again;
	// Left says that the runner has ended in good order, Dead that it is silent
	// and that every hold it was given has run out.
	Cleared      []RunStop `json:"gone,omitempty"`
	LeftInOrder  bool      `json:"left,omitempty"`
	PresumedDead bool      `json:"dead,omitempty"`
}

// End is one attempt that ended, repeated until acknowledged.
type End struct {
	Lease      identifier.LeaseID `json:"grant"`
	Task       identifier.TaskRef `json:"task"`
	Outcome    string             `json:"how"`
	Checkpoint string             `json:"-"`
}

// Start orders one attempt. It expires StartTimeout after the poll was sent.
type Start struct {
	Lease       identifier.LeaseID `json:"grant"`
	Task        identifier.TaskRef `json:"task"`
	Demand      job.Demand         `json:"demand"`
	ExpectedRun clock.Millis       `json:"spanMs"`
	// Gang, when it is given, is how long the attempt may go on since the
	// sending of the last poll whose answer called it whole.
	GangLease clock.Millis `json:"gangMs,omitempty"`
	// No, Text and Saved are for agents: the number of the run, the job's own
	// text, and the progress to go on from.
	Attempt    uint64 `json:"run,omitempty"`
	Payload    string `json:"text,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
}

// PollResponse is the reply to a poll: attempts to start and stop, ends that are
// recorded (Acked), and gangs whose members all run (Whole). Lease is how long
// the runner's leases last from the sending of the poll, StartTimeout how long a
// start may wait. Retired says that a newer incarnation of the runner has
// reported, so that this one must stop.
type PollResponse struct {
	Starts        []Start              `json:"starts,omitempty"`
	Stops         []identifier.LeaseID `json:"stops,omitempty"`
	AckedEnds     []identifier.LeaseID `json:"acked,omitempty"`
	CompleteGangs []identifier.LeaseID `json:"whole,omitempty"`
	Lease         clock.Millis         `json:"grantMs"`
	StartTimeout  clock.Millis         `json:"startMs"`
	Gateways      []string             `json:"gates,omitempty"`
	Retired       bool                 `json:"retired,omitempty"`
	// For agents: the fence of the leader that speaks, the number up to which
	// ends are on record, runs to stop, the keepers, and the last number of a
	// poll the leader has of this runner.
	FencingToken    uint64    `json:"fence,omitempty"`
	ObservedThrough uint64    `json:"observed,omitempty"`
	StopRuns        []RunStop `json:"halts,omitempty"`
	Servers         []string  `json:"keepers,omitempty"`
	Seq             uint64    `json:"seq,omitempty"`
}

const (
	// ModeActive is the mode of a runner that takes work.
	ModeActive = "active"
	// ModeDraining is the mode of a runner that is about to leave.
	ModeDraining = "draining"
	most         = 4096
	maxRoom      = 1 << 30
)

// readSlowly reads any poll, and names each of its faults.
func readSlowly(text []byte, f *jsondoc.FieldErrors) *PollRequest {
	o := jsondoc.Parse(text, f)
	if o == nil {
		return nil
	}
	a := &PollRequest{Incarnation: identifier.Incarnation(o.Name("incarnation", true)), Seq: uint64(o.Int("seq", 0, 1, 1<<53))}
	low := int64(1)
	if o.Has("agent") {
		low = 0
	}
	a.Cores, a.Mem = o.Int("cores", 0, low, maxRoom), o.Int("memMb", 0, low, maxRoom)
	for _, key := range []string{"seq", "cores", "memMb"} {
		if !o.Has(key) {
			f.Invalid(key, "must be given")
		}
	}
	for _, l := range o.Names("labels", 64) {
		a.Labels = append(a.Labels, identifier.Label(l))
	}
	a.Domain, a.Rack = identifier.Domain(o.Name("domain", true)), identifier.Rack(o.Name("rack", low > 0))
	a.Mode = o.OneOf("mode", ModeActive, ModeActive, ModeDraining)
	a.DepartsIn = clock.Millis(o.Int("departsMs", 0, 0, 1<<40))
	if a.Agent = o.Bool("agent", false); a.Agent {
		a.readAgent(o)
	}
	for _, n := range o.Ints("running", most) {
		a.Running = append(a.Running, identifier.LeaseID(n))
	}
	for _, one := range o.List("ended", most) {
		e := End{Lease: identifier.LeaseID(one.Int("grant", 0, 1, 1<<53)), Outcome: one.OneOf("how", "", "well", "defect", "stopped", "lapsed")}
		e.Task = readTask(one)
		one.Done()
		a.Ended = append(a.Ended, e)
	}
	o.Done()
	return a
}
