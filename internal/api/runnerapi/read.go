package runnerapi

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
)

// Limits on the fields of a poll.
const (
	// MaxItems bounds each list of attempts in a poll.
	MaxItems  = 4096
	maxLabels = 64
	// maxAmount bounds each amount of resources.
	maxAmount = 1 << 30
	// maxMillis bounds durations, in milliseconds.
	maxMillis = 1 << 40
	// maxID bounds lease ids and counters: JSON numbers are exact up to this value.
	maxID = 1 << 53
	// maxTaskNumber bounds the indices of steps and tasks.
	maxTaskNumber = 1 << 20
	maxPercent    = 1 << 20
	maxRate       = 1 << 30
)

// Read parses and validates a poll. It adds errors to faults. The result must not be used if
// there are any. Every runner polls once or twice a second, and nearly all polls are valid, so
// Read tries the scanner first.
func Read(text []byte, faults *jsondoc.FieldErrors) *PollRequest {
	if poll := scanPoll(text); poll != nil {
		return poll
	}
	return readChecked(text, faults)
}

// readChecked reads any poll and reports all of its errors.
func readChecked(text []byte, faults *jsondoc.FieldErrors) *PollRequest {
	o := jsondoc.Parse(text, faults)
	if o == nil {
		return nil
	}
	p := &PollRequest{}
	p.Incarnation = identifier.Incarnation(o.Name("incarnation", true))
	p.Seq = uint64(o.Int("seq", 0, 1, maxID))
	minAmount := minimumAmount(o.Has("agent"))
	p.Cores = o.Int("cores", 0, minAmount, maxAmount)
	p.Mem = o.Int("memMb", 0, minAmount, maxAmount)
	for _, key := range []string{"seq", "cores", "memMb"} {
		if !o.Has(key) {
			faults.Invalid(key, "must be given")
		}
	}
	for _, label := range o.Names("labels", maxLabels) {
		p.Labels = append(p.Labels, identifier.Label(label))
	}
	p.Domain = identifier.Domain(o.Name("domain", true))
	p.Rack = identifier.Rack(o.Name("rack", minAmount > 0))
	p.Mode = o.OneOf("mode", ModeActive, ModeActive, ModeDraining)
	p.DepartsIn = clock.Millis(o.Int("departsMs", 0, 0, maxMillis))
	p.Agent = o.Bool("agent", false)
	if p.Agent {
		readAgentFields(o, p)
	}
	for _, id := range o.Ints("running", MaxItems) {
		p.Running = append(p.Running, identifier.LeaseID(id))
	}
	for _, object := range o.List("ended", MaxItems) {
		p.Ended = append(p.Ended, readEnd(object))
	}
	o.Done()
	return p
}

// minimumAmount returns the minimum number of cores and amount of memory of a runner. A runner
// behind an agent may have only milli cores, or no resources that the cluster manages.
func minimumAmount(agent bool) int64 {
	if agent {
		return 0
	}
	return 1
}

// readAgentFields reads the fields that only agents send.
func readAgentFields(o *jsondoc.Object, p *PollRequest) {
	p.MilliCores = o.Int("milliCores", 0, 0, maxAmount)
	p.GPUs = o.Int("gpus", 0, 0, maxAmount)
	p.Pool = o.Text("pool", "")
	p.AgentAddr = o.Text("addr", "")
	p.SilentFor = clock.Millis(o.Int("silentMs", 0, 0, maxMillis))
	p.LeftInOrder = o.Bool("left", false)
	p.PresumedDead = o.Bool("dead", false)
	for _, object := range o.List("active", MaxItems) {
		p.Active = append(p.Active, readRunState(object))
	}
	for _, object := range o.List("finished", MaxItems) {
		p.Finished = append(p.Finished, readRunEnd(object))
	}
	for _, object := range o.List("gone", MaxItems) {
		p.Cleared = append(p.Cleared, readRunStop(object))
	}
}

func readEnd(o *jsondoc.Object) End {
	var e End
	e.Lease = identifier.LeaseID(o.Int("grant", 0, 1, maxID))
	e.Outcome = o.OneOf("how", "", runnerOutcomes...)
	e.Task = readTask(o)
	o.Done()
	return e
}

func readRunState(o *jsondoc.Object) RunState {
	var r RunState
	r.Task = readTask(o)
	r.Attempt = readAttempt(o)
	r.Checkpoint = readCheckpoint(o)
	r.ProgressPercent = o.Int("percent", 0, 0, maxPercent)
	r.StalledFor = clock.Millis(o.Int("stillMs", 0, 0, maxMillis))
	r.ProgressRate = o.Int("speed", 0, 0, maxRate)
	o.Done()
	return r
}

func readRunEnd(o *jsondoc.Object) RunEnd {
	var e RunEnd
	e.Seq = uint64(o.Int("n", 0, 1, maxID))
	e.Task = readTask(o)
	e.Attempt = readAttempt(o)
	e.Checkpoint = readCheckpoint(o)
	e.Outcome = o.OneOf("how", "", agentOutcomes...)
	o.Done()
	return e
}

func readRunStop(o *jsondoc.Object) RunStop {
	var r RunStop
	r.Task = readTask(o)
	r.Attempt = readAttempt(o)
	o.Done()
	return r
}

func readAttempt(o *jsondoc.Object) uint64 { return uint64(o.Int("run", 0, 0, maxID)) }

func readCheckpoint(o *jsondoc.Object) string {
	text := o.Text("saved", "")
	if len(text) > MaxCheckpointBytes {
		o.Errors().Invalid(o.Path("saved"), "at most %d bytes", MaxCheckpointBytes)
		return ""
	}
	return text
}

func readTask(o *jsondoc.Object) identifier.TaskRef {
	task := o.Object("task")
	if task == nil {
		return identifier.TaskRef{}
	}
	var ref identifier.TaskRef
	ref.Job = identifier.JobKey(task.Text("job", ""))
	ref.Step = int(task.Int("step", 0, 0, maxTaskNumber))
	ref.Num = int(task.Int("num", 0, 0, maxTaskNumber))
	task.Done()
	return ref
}
