package controlplane

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/state"
)

// agentRunner is what the leader keeps of a runner that an agent speaks for. Agents stand
// between the leader and runners that speak another protocol. They name an attempt by its
// task and its number; these names are turned into leases and back in this file, and from
// then on an agent's runner is like any other.
type agentRunner struct {
	// runs is what the last poll said of attempts that the state knows, inOrder the
	// same in the poll's order.
	runs    map[identifier.LeaseID]*agentRun
	inOrder []*agentRun
	// ends are the ends of the last poll, by their numbers.
	ends []reportedEnd
	// unknownRuns are attempts of the last poll that the state does not know; they are
	// to stop.
	unknownRuns []runnerapi.RunStop
	// sentStops and sentObservedThrough are what the last answer said.
	sentStops           map[runnerapi.RunStop]bool
	sentObservedThrough uint64
	// workRate is how fast work goes here, in thousandths of the nominal rate, and
	// workRateAt when it was last known. rateEvidence is what the runs of the last poll
	// say of it. quarantinedUntil is until when nothing is
	// placed here.
	workRate         int64
	workRateAt       clock.Monotonic
	rateEvidence     prediction.Evidence
	quarantinedUntil clock.Monotonic
	// noStallBefore is until when no attempt of the last poll can have stalled for too
	// long.
	noStallBefore clock.Monotonic
	// previousCheckpoints is the last progress of what ran on the earlier incarnation
	// of the runner.
	previousCheckpoints []state.Checkpoint
}

// agentRun is an attempt as agents name it, with the last progress reported.
type agentRun struct {
	lease      identifier.LeaseID
	name       runnerapi.RunStop
	checkpoint string
	progress   *runProgress
	// seq is the number of the last poll that reported the attempt.
	seq uint64
}

// reportedEnd is an end that a runner reports. lease is 0 for one that nobody waits for.
type reportedEnd struct {
	seq   uint64
	lease identifier.LeaseID
	task  identifier.TaskRef
}

func newAgentRunner(previous []state.Checkpoint) *agentRunner {
	return &agentRunner{
		previousCheckpoints: previous,
		runs:                map[identifier.LeaseID]*agentRun{},
		sentStops:           map[runnerapi.RunStop]bool{},
		workRate:            prediction.NominalRate,
	}
}

// carryOverAgent is what is kept when a new incarnation of a runner reports.
func (s *Server) carryOverAgent(contact *runnerContact) *agentRunner {
	if contact.agent == nil {
		return nil
	}
	return newAgentRunner(s.checkpoints(contact))
}

// checkpoints lists the progress last reported of what still counts as running.
func (s *Server) checkpoints(contact *runnerContact) []state.Checkpoint {
	if contact.agent == nil {
		return nil
	}
	list := contact.agent.previousCheckpoints
	for _, id := range slices.Sorted(maps.Keys(contact.agent.runs)) {
		data := contact.agent.runs[id].checkpoint
		if data != "" && s.state.Leases[id] != nil {
			// The full slice expression keeps previousCheckpoints from being overwritten.
			list = append(list[:len(list):len(list)], state.Checkpoint{Lease: id, Data: data})
		}
	}
	return list
}

// recordAgentPoll translates an agent's poll: attempts that run and that ended are added
// to p under their leases.
func (s *Server) recordAgentPoll(name identifier.Runner, contact *runnerContact, poll *runnerapi.PollRequest) {
	if contact.agent == nil {
		contact.agent = newAgentRunner(nil)
	}
	agent := contact.agent
	if runner := s.state.Runners[name]; runner != nil && runner.Incarnation == contact.incarnation {
		agent.previousCheckpoints = nil
	}
	s.recordActiveRuns(name, agent, poll)
	s.updateWorkRate(agent)
	s.recordFinishedRuns(name, agent, poll)
	for _, run := range poll.Cleared {
		if id, task, ok := s.state.ResolveRun(name, poll.Incarnation, run.Task, run.Attempt); ok {
			poll.Ended = append(poll.Ended, runnerapi.End{Lease: id, Task: task, Outcome: runnerapi.OutcomeStopped})
		}
	}
}

func (s *Server) recordActiveRuns(name identifier.Runner, agent *agentRunner, poll *runnerapi.PollRequest) {
	agent.noStallBefore = math.MaxInt64
	agent.unknownRuns = agent.unknownRuns[:0]
	previous := agent.inOrder
	next := 0
	agent.inOrder = make([]*agentRun, 0, len(poll.Active))
	for _, reported := range poll.Active {
		runName := runnerapi.RunStop{Task: reported.Task, Attempt: reported.Attempt}
		var run *agentRun
		run, next = s.matchPreviousRun(name, poll.Incarnation, previous, next, runName)
		if run == nil {
			run = s.resolveAgentRun(name, poll.Incarnation, agent, runName)
		}
		if run == nil {
			agent.unknownRuns = append(agent.unknownRuns, runName)
			continue
		}
		run.name = runName
		run.checkpoint = reported.Checkpoint
		run.seq = poll.Seq
		agent.inOrder = append(agent.inOrder, run)
		poll.Running = append(poll.Running, run.lease)
		s.recordProgress(agent, run, reported)
	}
	for _, run := range previous {
		if run.seq != poll.Seq {
			delete(agent.runs, run.lease)
		}
	}
}

// resolveAgentRun finds an attempt by its name, or nil where the state knows of none.
func (s *Server) resolveAgentRun(
	name identifier.Runner, incarnation identifier.Incarnation, agent *agentRunner, runName runnerapi.RunStop,
) *agentRun {
	id, _, ok := s.state.ResolveRun(name, incarnation, runName.Task, runName.Attempt)
	if !ok {
		return nil
	}
	run := agent.runs[id]
	if run == nil {
		run = &agentRun{lease: id}
		agent.runs[id] = run
	}
	return run
}

func (s *Server) recordFinishedRuns(name identifier.Runner, agent *agentRunner, poll *runnerapi.PollRequest) {
	agent.ends = agent.ends[:0]
	for _, finished := range poll.Finished {
		id, task, ok := s.state.ResolveRun(name, poll.Incarnation, finished.Task, finished.Attempt)
		if !ok {
			id = 0
		} else {
			poll.Ended = append(poll.Ended, runnerapi.End{Lease: id, Task: task, Outcome: finished.Outcome, Checkpoint: finished.Checkpoint})
		}
		agent.ends = append(agent.ends, reportedEnd{finished.Seq, id, task})
	}
	slices.SortStableFunc(agent.ends, func(x, y reportedEnd) int { return cmp.Compare(x.seq, y.seq) })
}

// lookahead is how far to look for an attempt among those of the poll before.
const lookahead = 8

// matchPreviousRun finds an attempt among those of the poll before, which mostly come in
// the same order, at or after next; following is where to look for the one after it. The
// match is valid while its lease is open: a task has one open lease at most.
func (s *Server) matchPreviousRun(
	name identifier.Runner, incarnation identifier.Incarnation,
	previous []*agentRun, next int, runName runnerapi.RunStop,
) (run *agentRun, following int) {
	for i := next; i < len(previous) && i < next+lookahead; i++ {
		if previous[i].name != runName {
			continue
		}
		lease := s.state.Leases[previous[i].lease]
		if lease == nil || lease.Attempt != runName.Attempt || lease.Runner != name || lease.Incarnation != incarnation {
			return nil, i + 1
		}
		return previous[i], i + 1
	}
	return nil, next
}

// runnerPresent reports whether the runner itself is there to be reported on. One that has
// left in order, or is presumed dead by its agent, is counted lost at once.
func (s *Server) runnerPresent(name identifier.Runner, contact *runnerContact, poll *runnerapi.PollRequest) bool {
	if contact.agent == nil {
		return true
	}
	if !poll.LeftInOrder && !poll.PresumedDead {
		return poll.SilentFor < s.schedulableSilence()
	}
	runner := s.state.Runners[name]
	if runner != nil && runner.Incarnation == poll.Incarnation && !runner.Gone && s.leader.lossProposal[name] <= s.appliedIndex {
		s.proposeLoss(name, poll.Incarnation, contact)
	}
	return false
}
