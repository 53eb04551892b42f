package runnerapi

import (
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// The fields of each object. The fields of a poll after "agent" are for agents only.
var (
	pollFields = []string{
		"incarnation", "seq", "cores", "memMb", "labels", "domain", "rack", "mode", "departsMs", "running", "ended",
		"agent", "milliCores", "gpus", "pool", "addr", "silentMs", "active", "finished", "gone", "left", "dead",
	}
	endFields      = []string{"grant", "task", "how"}
	runStateFields = []string{"task", "run", "saved", "percent", "stillMs", "speed"}
	runEndFields   = []string{"n", "task", "run", "how", "saved"}
	runStopFields  = []string{"task", "run"}
	taskFields     = []string{"job", "step", "num"}
)

// Positions in the field lists.
const (
	pollRackField      = 6
	pollAgentField     = 11
	endOutcomeField    = 2
	runEndOutcomeField = 3

	// requiredPollFields is the set of fields that every poll must have.
	requiredPollFields fieldSet = 1<<0 | 1<<1 | 1<<2 | 1<<3 | 1<<5
)

// scanPoll reads a poll in one pass over the text. It returns nil if the poll is not plainly
// valid.
func scanPoll(text []byte) *PollRequest {
	s := &scanner{text: string(text)}
	p := &PollRequest{Mode: ModeActive}
	given := s.object(pollFields, func(i int) { s.pollField(p, pollFields[i]) })
	s.expectEnd()
	if s.failed || !validPoll(p, given) {
		return nil
	}
	slices.Sort(p.Labels)
	return p
}

// validPoll makes the checks that involve more than one field.
func validPoll(p *PollRequest, given fieldSet) bool {
	agentGiven := given.has(pollAgentField)
	if given&requiredPollFields != requiredPollFields || !agentGiven && !given.has(pollRackField) {
		return false
	}
	minAmount := minimumAmount(agentGiven)
	if p.Cores < minAmount || p.Mem < minAmount {
		return false
	}
	agentFields := given >> (pollAgentField + 1)
	return p.Agent || agentFields == 0
}

func (s *scanner) pollField(p *PollRequest, name string) {
	switch name {
	case "incarnation":
		p.Incarnation = identifier.Incarnation(strings.Clone(s.name()))
	case "seq":
		p.Seq = uint64(s.int(1, maxID))
	case "cores":
		p.Cores = s.int(0, maxAmount)
	case "memMb":
		p.Mem = s.int(0, maxAmount)
	case "labels":
		s.list(maxLabels, func() { p.Labels = append(p.Labels, identifier.Label(s.name())) })
	case "domain":
		p.Domain = identifier.Domain(s.name())
	case "rack":
		p.Rack = identifier.Rack(s.name())
	case "mode":
		p.Mode = s.oneOf(ModeActive, ModeDraining)
	case "departsMs":
		p.DepartsIn = clock.Millis(s.int(0, maxMillis))
	case "running":
		s.list(MaxItems, func() { p.Running = append(p.Running, identifier.LeaseID(s.int(0, maxID))) })
	case "ended":
		s.list(MaxItems, func() { p.Ended = append(p.Ended, s.attemptEnd()) })
	case "agent":
		p.Agent = s.bool()
	default:
		s.agentField(p, name)
	}
}

func (s *scanner) agentField(p *PollRequest, name string) {
	switch name {
	case "milliCores":
		p.MilliCores = s.int(0, maxAmount)
	case "gpus":
		p.GPUs = s.int(0, maxAmount)
	case "pool":
		p.Pool = s.string()
	case "addr":
		p.AgentAddr = s.string()
	case "silentMs":
		p.SilentFor = clock.Millis(s.int(0, maxMillis))
	case "active":
		s.list(MaxItems, func() { p.Active = append(p.Active, s.runState()) })
	case "finished":
		s.list(MaxItems, func() { p.Finished = append(p.Finished, s.runEnd()) })
	case "gone":
		s.list(MaxItems, func() { p.Cleared = append(p.Cleared, s.runStop()) })
	case "left":
		p.LeftInOrder = s.bool()
	case "dead":
		p.PresumedDead = s.bool()
	}
}

func (s *scanner) attemptEnd() End {
	var e End
	given := s.object(endFields, func(i int) {
		switch endFields[i] {
		case "grant":
			e.Lease = identifier.LeaseID(s.int(1, maxID))
		case "task":
			e.Task = s.task()
		case "how":
			e.Outcome = s.oneOf(runnerOutcomes...)
		}
	})
	s.require(given.has(endOutcomeField))
	return e
}

func (s *scanner) runState() RunState {
	var r RunState
	s.object(runStateFields, func(i int) {
		switch runStateFields[i] {
		case "task":
			r.Task = s.task()
		case "run":
			r.Attempt = uint64(s.int(0, maxID))
		case "saved":
			r.Checkpoint = s.checkpoint()
		case "percent":
			r.ProgressPercent = s.int(0, maxPercent)
		case "stillMs":
			r.StalledFor = clock.Millis(s.int(0, maxMillis))
		case "speed":
			r.ProgressRate = s.int(0, maxRate)
		}
	})
	return r
}

func (s *scanner) runEnd() RunEnd {
	var e RunEnd
	given := s.object(runEndFields, func(i int) {
		switch runEndFields[i] {
		case "n":
			e.Seq = uint64(s.int(1, maxID))
		case "task":
			e.Task = s.task()
		case "run":
			e.Attempt = uint64(s.int(0, maxID))
		case "how":
			e.Outcome = s.oneOf(agentOutcomes...)
		case "saved":
			e.Checkpoint = s.checkpoint()
		}
	})
	s.require(given.has(runEndOutcomeField))
	return e
}

func (s *scanner) runStop() RunStop {
	var r RunStop
	s.object(runStopFields, func(i int) {
		switch runStopFields[i] {
		case "task":
			r.Task = s.task()
		case "run":
			r.Attempt = uint64(s.int(0, maxID))
		}
	})
	return r
}

func (s *scanner) task() identifier.TaskRef {
	var ref identifier.TaskRef
	s.object(taskFields, func(i int) {
		switch taskFields[i] {
		case "job":
			ref.Job = identifier.JobKey(s.string())
		case "step":
			ref.Step = int(s.int(0, maxTaskNumber))
		case "num":
			ref.Num = int(s.int(0, maxTaskNumber))
		}
	})
	return ref
}
