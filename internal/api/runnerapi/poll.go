package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// The modes of a runner.
const (
	// ModeActive is the mode of a runner that takes tasks.
	ModeActive = "active"
	// ModeDraining is the mode of a runner that is about to leave.
	ModeDraining = "draining"
)

// PollRequest is one poll.
type PollRequest struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Seq rises with every poll of an incarnation.
	Seq   uint64 `json:"seq"`
	Cores int64  `json:"cores"`
	// Mem is in mebibytes.
	Mem    int64              `json:"memMb"`
	Labels []identifier.Label `json:"labels,omitempty"`
	Domain identifier.Domain  `json:"domain"`
	Rack   identifier.Rack    `json:"rack"`
	// Mode is ModeActive or ModeDraining; DepartsIn is when a draining runner leaves.
	Mode      string               `json:"mode"`
	DepartsIn clock.Millis         `json:"departsMs,omitempty"`
	Running   []identifier.LeaseID `json:"running,omitempty"`
	Ended     []End                `json:"ended,omitempty"`

	// The rest is sent by agents, of the runner that they speak for.

	Agent bool `json:"agent,omitempty"`
	// MilliCores are thousandths of a core beyond Cores.
	MilliCores int64  `json:"milliCores,omitempty"`
	GPUs       int64  `json:"gpus,omitempty"`
	Pool       string `json:"pool,omitempty"`
	// AgentAddr is the address that the agent listens on.
	AgentAddr string `json:"addr,omitempty"`
	// SilentFor is how long the agent has not heard from its runner.
	SilentFor clock.Millis `json:"silentMs,omitempty"`
	Active    []RunState   `json:"active,omitempty"`
	Finished  []RunEnd     `json:"finished,omitempty"`
	// Cleared are attempts that were to stop and are certain never to run here again.
	Cleared []RunStop `json:"gone,omitempty"`
	// LeftInOrder says that the runner has ended its work and left.
	LeftInOrder bool `json:"left,omitempty"`
	// PresumedDead says that the runner is silent and that every lease it had has run
	// out.
	PresumedDead bool `json:"dead,omitempty"`
}

// End is one attempt that ended. It is sent again until it is acknowledged.
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
	// GangLease is how long the attempt may go on after the sending of the last poll
	// whose response had it among CompleteGangs; 0 for an attempt of no gang.
	GangLease clock.Millis `json:"gangMs,omitempty"`

	// The rest is for agents.

	Attempt uint64 `json:"run,omitempty"`
	// Payload is the job's own text, Checkpoint what the attempt goes on from.
	Payload    string `json:"text,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
}

// PollTimeout is how long the control plane keeps a poll open that it has nothing to
// answer with, by the start time-out in force: a start must reach the runner well within
// that.
func PollTimeout(startTimeout clock.Millis) clock.Millis { return startTimeout * 6 / 10 }

// PollResponse is the response to a poll.
type PollResponse struct {
	// Starts and Stops are attempts to start and to stop.
	Starts []Start              `json:"starts,omitempty"`
	Stops  []identifier.LeaseID `json:"stops,omitempty"`
	// AckedEnds are ends that are committed.
	AckedEnds []identifier.LeaseID `json:"acked,omitempty"`
	// CompleteGangs are attempts of gangs whose members all run.
	CompleteGangs []identifier.LeaseID `json:"whole,omitempty"`
	// Lease is how long the runner's leases last after the sending of the poll.
	Lease clock.Millis `json:"grantMs"`
	// StartTimeout is how long a start is valid after the sending of the poll.
	StartTimeout clock.Millis `json:"startMs"`
	Gateways     []string     `json:"gates,omitempty"`
	// Retired says that a newer incarnation of the runner has reported, so that this one
	// must stop.
	Retired bool `json:"retired,omitempty"`

	// The rest is for agents.

	// FencingToken is that of the leader that responds; it rises with each leader.
	FencingToken uint64 `json:"fence,omitempty"`
	// ObservedThrough is the number up to which ends are committed.
	ObservedThrough uint64    `json:"observed,omitempty"`
	StopRuns        []RunStop `json:"halts,omitempty"`
	Servers         []string  `json:"keepers,omitempty"`
	// Seq is that of the last poll that the leader has of this runner.
	Seq uint64 `json:"seq,omitempty"`
}
