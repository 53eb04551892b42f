// Agents stand between the leader and runners of another make. They name runs
// by task and number; here these are turned into grants and back, and from then
// on an agent's runner is like any other.

package controlplane

import (
	"math"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// agentRunner is what the leader keeps of a runner that an agent speaks for.
type agentRunner struct {
	// memberRunning is what the last poll said of runs that the book knows, list the same
	// in the poll's order.
	runs         map[identifier.LeaseID]*agentRun
	inOrder      []*agentRun
	ends         []reportedEnd
	unknownRuns  []runnerapi.RunStop
	toldToStop   map[runnerapi.RunStop]bool
	toldObserved uint64
	// workRate is how fast work goes here, in thousandths of what its estimates
	// say; ill is until when nothing is placed here.
	workRate         int64
	workRateAt       clock.Monotonic
	quarantinedUntil clock.Monotonic
	// doubt is until when no run of the last poll can have stood still for
	// too long.
	noStallBefore clock.Monotonic
	// previousCheckpoints is the last progress of what ran on the former life of the runner.
	previousCheckpoints []state.Checkpoint
}

// held is a run as agents name it, with the last progress told. seq is the
// last poll that told of it.
type agentRun struct {
	lease      identifier.LeaseID
	name       runnerapi.RunStop
	checkpoint string
	progress   *runProgress
	seq        uint64
}

// reportedEnd is an end the runner tells of; Grant is 0 for one nobody waits for.
type reportedEnd struct {
	seq   uint64
	lease identifier.LeaseID
	task  identifier.TaskRef
}

// carryOverAgent is what is carried over to the contact with a new life of a runner.
func (s *Server) carryOverAgent(c *runnerContact) *agentRunner {
	if c.agent == nil {
		return nil
	}
	return newAgentRunner(s.checkpoints(c))
}

func newAgentRunner(old []state.Checkpoint) *agentRunner {
	return &agentRunner{previousCheckpoints: old, runs: map[identifier.LeaseID]*agentRun{}, toldToStop: map[runnerapi.RunStop]bool{}, workRate: 1000}
}

// checkpoints lists the progress last told of what still counts as running.
func (s *Server) checkpoints(c *runnerContact) []state.Checkpoint {
	if c.agent == nil {
		return nil
	}
	list := c.agent.previousCheckpoints
	ordered := []identifier.LeaseID{}
	for id := range c.agent.runs {
		ordered = append(ordered, id)
	}
	sortLeases(ordered)
	for _, id := range ordered {
		if text := c.agent.runs[id].checkpoint; text != "" && s.state.Leases[id] != nil {
			list = append(list[:len(list):len(list)], state.Checkpoint{Lease: id, Data: text})
		}
	}
	return list
}

// recordAgentPoll takes an agent's poll into the terms of the book.
func (s *Server) recordAgentPoll(name identifier.Runner, c *runnerContact, p *runnerapi.PollRequest) {
	a := c.agent
	if a == nil {
		a = newAgentRunner(nil)
		c.agent = a
	}
	if r := s.state.Runners[name]; r != nil && r.Incarnation == c.incarnation {
		a.previousCheckpoints = nil
	}
	a.noStallBefore = math.MaxInt64
	a.ends, a.unknownRuns = a.ends[:0], a.unknownRuns[:0]
	was, next := a.inOrder, 0
	a.inOrder = make([]*agentRun, 0, len(p.Active))
	for _, one := range p.Active {
		stop := runnerapi.RunStop{Task: one.Task, Attempt: one.Attempt}
		var h *agentRun
		if h, next = s.matchPreviousRun(name, p.Incarnation, was, next, stop); h == nil {
			id, _, ok := s.state.ResolveRun(name, p.Incarnation, one.Task, one.Attempt)
			if !ok {
				a.unknownRuns = append(a.unknownRuns, stop)
				continue
			}
			if h = a.runs[id]; h == nil {
				h = &agentRun{lease: id}
				a.runs[id] = h
			}
		}
		h.name, h.checkpoint, h.seq = stop, one.Checkpoint, p.Seq
		a.inOrder = append(a.inOrder, h)
		p.Running = append(p.Running, h.lease)
		s.recordProgress(a, h, one)
	}
	for _, h := range was {
		if h.seq != p.Seq {
			delete(a.runs, h.lease)
		}
	}
	s.updateWorkRate(a)
	for _, one := range p.Finished {
		id, ref, ok := s.state.ResolveRun(name, p.Incarnation, one.Task, one.Attempt)
		if !ok {
			id = 0
		} else {
			p.Ended = append(p.Ended, runnerapi.End{Lease: id, Task: ref, Outcome: one.Outcome, Checkpoint: one.Checkpoint})
		}
		a.ends = append(a.ends, reportedEnd{one.Seq, id, ref})
	}
	sort.Slice(a.ends, func(i, j int) bool { return a.ends[i].seq < a.ends[j].seq })
	for _, one := range p.Cleared {
		if id, ref, ok := s.state.ResolveRun(name, p.Incarnation, one.Task, one.Attempt); ok {
			p.Ended = append(p.Ended, runnerapi.End{Lease: id, Task: ref, Outcome: runnerapi.OutcomeStopped})
		}
	}
}

// lookahead is how far to look for a run among those of the poll before.
const lookahead = 8

// matchPreviousRun finds a run among those of the poll before, which mostly come in the
// same order, at or after next. It holds as long as its grant is open: a
// task's grant is the open one.
func (s *Server) matchPreviousRun(name identifier.Runner, inc identifier.Incarnation, was []*agentRun, next int, stop runnerapi.RunStop) (h *agentRun, at int) {
	for i := next; i < len(was) && i < next+lookahead; i++ {
		if was[i].name != stop {
			continue
		}
		if g := s.state.Leases[was[i].lease]; g == nil || g.Attempt != stop.Attempt || g.Runner != name || g.Incarnation != inc {
			return nil, i + 1
		}
		return was[i], i + 1
	}
	return nil, next
}

// runnerPresent tells whether the runner itself is there to be reported on. One that
// has said farewell is counted lost at once.
func (s *Server) runnerPresent(name identifier.Runner, c *runnerContact, p *runnerapi.PollRequest) bool {
	if c.agent == nil {
		return true
	}
	r := s.state.Runners[name]
	if !p.LeftInOrder && !p.PresumedDead {
		return p.SilentFor < 2*s.state.Limits.SiteMillis("startMs")
	}
	if r != nil && r.Incarnation == p.Incarnation && !r.Gone && s.leader.lossProposal[name] <= s.appliedIndex {
		s.leader.lossProposal[name] = s.propose(&state.Command{LoseRunner: &state.LoseRunner{Runner: name, Incarnation: p.Incarnation, Checkpoints: s.checkpoints(c)}})
	}
	return false
}

// observedThrough is the number up to which every end is on record.
func (s *Server) observedThrough(name identifier.Runner, c *runnerContact) uint64 {
	n := c.agent.toldObserved
	for _, e := range c.agent.ends {
		if e.lease != 0 && s.state.AcceptsEnd(name, c.incarnation, e.lease, e.task) {
			return n
		}
		n = max(n, e.seq)
	}
	return n
}

// answerAgentPoll answers an agent's open poll if there is something to tell that
// it was not told, or the poll has been open for long enough.
func (s *Server) answerAgentPoll(name identifier.Runner, c *runnerContact, a *runnerapi.PollResponse, hold clock.Millis) {
	agent := c.agent
	fresh := len(a.Starts) > 0
	for _, id := range a.Stops {
		stop := runnerapi.RunStop{}
		if h := agent.runs[id]; h != nil {
			stop = h.name
		} else if g := s.state.Leases[id]; g != nil {
			stop = runnerapi.RunStop{Task: s.state.AgentTaskRef(g.Task), Attempt: g.Attempt}
		}
		a.StopRuns = append(a.StopRuns, stop)
	}
	a.StopRuns = append(a.StopRuns, agent.unknownRuns...)
	a.Stops = nil
	for _, stop := range a.StopRuns {
		fresh = fresh || !agent.toldToStop[stop]
	}
	a.ObservedThrough = s.observedThrough(name, c)
	if !fresh && a.ObservedThrough <= agent.toldObserved && s.now.Since(c.pollSince) < hold {
		return
	}
	c.pollOpen = false
	agent.toldObserved = a.ObservedThrough
	clear(agent.toldToStop)
	for _, stop := range a.StopRuns {
		agent.toldToStop[stop] = true
	}
	for i := range a.Starts {
		s.fillAgentStart(&a.Starts[i])
	}
	bare := s.emptyPollResponse(c)
	a.Lease, a.StartTimeout, a.FencingToken, a.Servers = bare.Lease, bare.StartTimeout, bare.FencingToken, bare.Servers
	s.replyJSON(c.pollPeer, c.pollID, 200, a)
}

// fillAgentStart adds what a start bears from its job.
func (s *Server) fillAgentStart(start *runnerapi.Start) {
	if j := s.state.Jobs[start.Task.Job]; j != nil {
		start.Payload, start.Checkpoint = j.Spec.Payload, j.Task(start.Task).Checkpoint
		start.Task = s.state.AgentTaskRef(start.Task)
	}
}

// serverAddrs lists the addresses of the keepers, this leader first.
func (s *Server) serverAddrs() []string {
	list := []string{s.config.Addr}
	for _, mem := range s.raft.Members() {
		if mem.ID != s.config.ID {
			list = append(list, mem.Addr)
		}
	}
	return list
}
