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

// agentRunner is what the leader keeps about a runner that an agent reports for. Agents
// translate between the leader and runners that speak another protocol. They identify an
// attempt by its task and attempt number; this file maps these names to leases and back,
// and the rest of the package treats an agent's runner like any other.
type agentRunner struct {
	// runs holds the attempts from the last poll that the state knows, orderedRuns the
	// same attempts in the poll's order.
	runs        map[identifier.LeaseID]*agentRun
	orderedRuns []*agentRun
	// ends are the ends from the last poll, by sequence number.
	ends []reportedEnd
	// unknownRuns are the attempts from the last poll that the state does not know and
	// that must stop.
	unknownRuns []runnerapi.RunStop
	// sentStops and sentObservedThrough are what the last response contained.
	sentStops           map[runnerapi.RunStop]bool
	sentObservedThrough uint64
	// workRate is how fast work progresses on this runner, in thousandths of the nominal
	// rate, and workRateAt when it was last measured. rateEvidence is the evidence from
	// the runs of the last poll. Nothing is placed on this runner before
	// quarantinedUntil.
	workRate         int64
	workRateAt       clock.Monotonic
	rateEvidence     prediction.Evidence
	quarantinedUntil clock.Monotonic
	// noStallBefore is the time before which no attempt from the last poll can exceed its
	// stall limit.
	noStallBefore clock.Monotonic
	// previousCheckpoints are the last checkpoints of attempts on the runner's previous
	// incarnation.
	previousCheckpoints []state.Checkpoint
}

// agentRun is an attempt as agents identify it, with its last reported progress.
type agentRun struct {
	lease      identifier.LeaseID
	name       runnerapi.RunStop
	checkpoint string
	progress   *runProgress
	// seq is the sequence number of the last poll that reported the attempt.
	seq uint64
}

// reportedEnd is an end that a runner reports. lease is 0 if no lease waits for it.
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

// carryOverAgent returns what is kept of an agent's runner when a new incarnation of it
// reports.
func (s *Server) carryOverAgent(contact *runnerContact) *agentRunner {
	if contact.agent == nil {
		return nil
	}
	return newAgentRunner(s.checkpoints(contact))
}

// checkpoints lists the last reported checkpoints of the attempts with an open lease.
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

// recordAgentPoll translates an agent's poll: it adds running and ended attempts to the
// poll under their leases.
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
	previous := agent.orderedRuns
	next := 0
	agent.orderedRuns = make([]*agentRun, 0, len(poll.Active))
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
		agent.orderedRuns = append(agent.orderedRuns, run)
		poll.Running = append(poll.Running, run.lease)
		s.recordProgress(agent, run, reported)
	}
	for _, run := range previous {
		if run.seq != poll.Seq {
			delete(agent.runs, run.lease)
		}
	}
}

// resolveAgentRun returns the attempt with the given name, or nil if the state does not
// know it.
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
	slices.SortStableFunc(poll.Finished, func(x, y runnerapi.RunEnd) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, finished := range poll.Finished {
		id, task, ok := s.state.ResolveRun(name, poll.Incarnation, finished.Task, finished.Attempt)
		if !ok {
			id = 0
		} else {
			poll.Ended = append(poll.Ended, runnerapi.End{Lease: id, Task: task, Outcome: finished.Outcome, Checkpoint: finished.Checkpoint})
		}
		agent.ends = append(agent.ends, reportedEnd{finished.Seq, id, task})
	}
}

// lookahead is how many attempts of the previous poll to search for a match.
const lookahead = 8

// matchPreviousRun looks for an attempt in the previous poll, at or after next; attempts
// are mostly reported in the same order. following is where to look for the next attempt.
// A match is valid while its lease is open, because a task has at most one open lease.
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

// runnerPresent reports whether the runner itself is in contact with its agent. A runner
// that has shut down in order, or that its agent presumes dead, is declared lost at once.
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
