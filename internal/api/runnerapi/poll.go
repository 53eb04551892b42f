package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
)

// The modes of a runner.
const (
	// ModeActive is the mode of a runner that accepts tasks.
	ModeActive = "active"
	// ModeDraining is the mode of a runner that is about to leave.
	ModeDraining = "draining"
)

// PollRequest is one poll.
type PollRequest struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Seq increases with every poll of an incarnation.
	Seq   uint64 `json:"seq"`
	Cores int64  `json:"cores"`
	// Mem is in mebibytes.
	Mem    int64              `json:"memMb"`
	Labels []identifier.Label `json:"labels,omitempty"`
	Domain identifier.Domain  `json:"domain"`
	Rack   identifier.Rack    `json:"rack"`
	// Mode is ModeActive or ModeDraining; DepartsIn is the time until a draining runner
	// leaves.
	Mode      string               `json:"mode"`
	DepartsIn clock.Millis         `json:"departsMs,omitempty"`
	Running   []identifier.LeaseID `json:"running,omitempty"`
	Ended     []End                `json:"ended,omitempty"`

	// Agents send the fields below, about the runner that they represent.

	Agent bool `json:"agent,omitempty"`
	// MilliCores are thousandths of a core beyond Cores.
	MilliCores int64  `json:"milliCores,omitempty"`
	GPUs       int64  `json:"gpus,omitempty"`
	Pool       string `json:"pool,omitempty"`
	// AgentAddr is the address that the agent listens on.
	AgentAddr string `json:"addr,omitempty"`
	// SilentFor is the time since the agent last received a heartbeat from its runner.
	SilentFor clock.Millis `json:"silentMs,omitempty"`
	Active    []RunState   `json:"active,omitempty"`
	Finished  []RunEnd     `json:"finished,omitempty"`
	// Cleared lists attempts that were ordered to stop and are certain never to run on
	// this runner again.
	Cleared []RunStop `json:"gone,omitempty"`
	// LeftInOrder means that the runner has ended its work and left.
	LeftInOrder bool `json:"left,omitempty"`
	// PresumedDead means that the runner is silent and all of its leases have expired.
	PresumedDead bool `json:"dead,omitempty"`
}

// End is an attempt that has ended. The runner reports it until it is acknowledged.
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
	// GangLease is how long the attempt may continue, counted from when the runner sent
	// the last poll whose response lists it in CompleteGangs; 0 if the attempt is not part
	// of a gang.
	GangLease clock.Millis `json:"gangMs,omitempty"`

	// The fields below are for agents.

	Attempt uint64 `json:"run,omitempty"`
	// Payload is the job's payload, Checkpoint the checkpoint to resume from.
	Payload    string `json:"text,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
}

// startOverhead is the approximate size of a start's fixed fields, in bytes.
const startOverhead = 128

// bytes returns the approximate size of the start, before it is encoded.
func (s *Start) bytes() int {
	return startOverhead + len(s.Task.Job) + len(s.Payload) + len(s.Checkpoint)
}

// LimitStarts returns the first of the starts whose total size is at most maxBytes, but at
// least one if there are any.
func LimitStarts(starts []Start, maxBytes int) []Start {
	size := 0
	for i := range starts {
		size += starts[i].bytes()
		if i > 0 && size > maxBytes {
			return starts[:i]
		}
	}
	return starts
}

// PollTimeout returns how long the control plane holds a poll open while it has nothing to
// report, given the current start timeout: a start must reach the runner well within the start
// timeout.
func PollTimeout(startTimeout clock.Millis) clock.Millis { return startTimeout * 6 / 10 }

// PollResponse is the response to a poll.
type PollResponse struct {
	// Starts and Stops list the attempts to start and to stop.
	Starts []Start              `json:"starts,omitempty"`
	Stops  []identifier.LeaseID `json:"stops,omitempty"`
	// AckedEnds lists the reported ends that are committed.
	AckedEnds []identifier.LeaseID `json:"acked,omitempty"`
	// CompleteGangs lists the attempts of gangs whose members are all running.
	CompleteGangs []identifier.LeaseID `json:"whole,omitempty"`
	// Lease is the duration of the runner's leases, counted from when it sent the poll.
	Lease clock.Millis `json:"grantMs"`
	// StartTimeout is how long a start is valid, counted from when the poll was sent.
	StartTimeout clock.Millis `json:"startMs"`
	Gateways     []string     `json:"gates,omitempty"`
	// Retired means that a newer incarnation of the runner has reported, so that this one
	// must stop.
	Retired bool `json:"retired,omitempty"`

	// The fields below are for agents.

	// FencingToken is the fencing token of the responding leader; it increases with each
	// leader.
	FencingToken uint64 `json:"fence,omitempty"`
	// ObservedThrough is the sequence number up to which reported ends are committed.
	ObservedThrough uint64    `json:"observed,omitempty"`
	StopRuns        []RunStop `json:"halts,omitempty"`
	Servers         []string  `json:"keepers,omitempty"`
	// Seq is the sequence number of the last poll that the leader has received from this
	// runner.
	Seq uint64 `json:"seq,omitempty"`
}
