package controlplane

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// Agents stand between the leader and runners that speak another protocol. They name an
// attempt by its task and its number; here these names are turned into leases and back,
// and from then on an agent's runner is like any other.

// usualWorkRate is the rate of a runner on which work goes as fast as estimated.
const usualWorkRate = 1000

// agentRunner is what the leader keeps of a runner that an agent speaks for.
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
	// toldToStop and toldObserved are what the last answer said.
	toldToStop   map[runnerapi.RunStop]bool
	toldObserved uint64
	// workRate is how fast work goes here, in thousandths of what its estimates say, and
	// workRateAt when it was last known. quarantinedUntil is until when nothing is
	// placed here.
	workRate         int64
	workRateAt       clock.Monotonic
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
		toldToStop:          map[runnerapi.RunStop]bool{},
		workRate:            usualWorkRate,
	}
}

// carryOverAgent is what is kept when a new incarnation of a runner reports.
func (s *Server) carryOverAgent(c *runnerContact) *agentRunner {
	if c.agent == nil {
		return nil
	}
	return newAgentRunner(s.checkpoints(c))
}

// checkpoints lists the progress last reported of what still counts as running.
func (s *Server) checkpoints(c *runnerContact) []state.Checkpoint {
	if c.agent == nil {
		return nil
	}
	list := c.agent.previousCheckpoints
	for _, id := range slices.Sorted(maps.Keys(c.agent.runs)) {
		data := c.agent.runs[id].checkpoint
		if data != "" && s.state.Leases[id] != nil {
			list = append(list[:len(list):len(list)], state.Checkpoint{Lease: id, Data: data})
		}
	}
	return list
}

// recordAgentPoll translates an agent's poll: attempts that run and that ended are added
// to p under their leases.
func (s *Server) recordAgentPoll(name identifier.Runner, c *runnerContact, p *runnerapi.PollRequest) {
	if c.agent == nil {
		c.agent = newAgentRunner(nil)
	}
	a := c.agent
	if r := s.state.Runners[name]; r != nil && r.Incarnation == c.incarnation {
		a.previousCheckpoints = nil
	}
	s.recordActiveRuns(name, a, p)
	s.updateWorkRate(a)
	s.recordFinishedRuns(name, a, p)
	for _, run := range p.Cleared {
		if id, task, ok := s.state.ResolveRun(name, p.Incarnation, run.Task, run.Attempt); ok {
			p.Ended = append(p.Ended, runnerapi.End{Lease: id, Task: task, Outcome: runnerapi.OutcomeStopped})
		}
	}
}

func (s *Server) recordActiveRuns(name identifier.Runner, a *agentRunner, p *runnerapi.PollRequest) {
	a.noStallBefore = math.MaxInt64
	a.unknownRuns = a.unknownRuns[:0]
	previous := a.inOrder
	next := 0
	a.inOrder = make([]*agentRun, 0, len(p.Active))
	for _, reported := range p.Active {
		runName := runnerapi.RunStop{Task: reported.Task, Attempt: reported.Attempt}
		var run *agentRun
		run, next = s.matchPreviousRun(name, p.Incarnation, previous, next, runName)
		if run == nil {
			run = s.resolveAgentRun(name, p.Incarnation, a, runName)
		}
		if run == nil {
			a.unknownRuns = append(a.unknownRuns, runName)
			continue
		}
		run.name = runName
		run.checkpoint = reported.Checkpoint
		run.seq = p.Seq
		a.inOrder = append(a.inOrder, run)
		p.Running = append(p.Running, run.lease)
		s.recordProgress(a, run, reported)
	}
	for _, run := range previous {
		if run.seq != p.Seq {
			delete(a.runs, run.lease)
		}
	}
}

// resolveAgentRun finds an attempt by its name, or nil where the state knows of none.
func (s *Server) resolveAgentRun(name identifier.Runner, incarnation identifier.Incarnation, a *agentRunner, runName runnerapi.RunStop) *agentRun {
	id, _, ok := s.state.ResolveRun(name, incarnation, runName.Task, runName.Attempt)
	if !ok {
		return nil
	}
	run := a.runs[id]
	if run == nil {
		run = &agentRun{lease: id}
		a.runs[id] = run
	}
	return run
}

func (s *Server) recordFinishedRuns(name identifier.Runner, a *agentRunner, p *runnerapi.PollRequest) {
	a.ends = a.ends[:0]
	for _, finished := range p.Finished {
		id, task, ok := s.state.ResolveRun(name, p.Incarnation, finished.Task, finished.Attempt)
		if !ok {
			id = 0
		} else {
			p.Ended = append(p.Ended, runnerapi.End{Lease: id, Task: task, Outcome: finished.Outcome, Checkpoint: finished.Checkpoint})
		}
		a.ends = append(a.ends, reportedEnd{finished.Seq, id, task})
	}
	slices.SortStableFunc(a.ends, func(x, y reportedEnd) int { return cmp.Compare(x.seq, y.seq) })
}

// lookahead is how far to look for an attempt among those of the poll before.
const lookahead = 8

// matchPreviousRun finds an attempt among those of the poll before, which mostly come in
// the same order, at or after next. It holds as long as its lease is open: a task's lease
// is the open one.
func (s *Server) matchPreviousRun(name identifier.Runner, incarnation identifier.Incarnation, previous []*agentRun, next int, runName runnerapi.RunStop) (run *agentRun, at int) {
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

// runnerPresent tells whether the runner itself is there to be reported on. One that has
// left in order, or is presumed dead by its agent, is counted lost at once.
func (s *Server) runnerPresent(name identifier.Runner, c *runnerContact, p *runnerapi.PollRequest) bool {
	if c.agent == nil {
		return true
	}
	if !p.LeftInOrder && !p.PresumedDead {
		return p.SilentFor < 2*s.state.Limits.SiteMillis("startMs")
	}
	r := s.state.Runners[name]
	if r != nil && r.Incarnation == p.Incarnation && !r.Gone && s.leader.lossProposal[name] <= s.appliedIndex {
		s.proposeLoss(name, p.Incarnation, c)
	}
	return false
}

// observedThrough is the number up to which every end is committed, or is one that
// nobody waits for.
func (s *Server) observedThrough(name identifier.Runner, c *runnerContact) uint64 {
	n := c.agent.toldObserved
	for _, end := range c.agent.ends {
		if end.lease != 0 && s.state.AcceptsEnd(name, c.incarnation, end.lease, end.task) {
			return n
		}
		n = max(n, end.seq)
	}
	return n
}

// answerAgentPoll answers an agent's open poll if there is something to tell that it was
// not told, or the poll has been open for long enough.
func (s *Server) answerAgentPoll(name identifier.Runner, c *runnerContact, response *runnerapi.PollResponse, hold clock.Millis) {
	a := c.agent
	response.StopRuns = s.runsToStop(a, response.Stops)
	response.Stops = nil
	response.ObservedThrough = s.observedThrough(name, c)
	fresh := len(response.Starts) > 0 || response.ObservedThrough > a.toldObserved
	for _, run := range response.StopRuns {
		fresh = fresh || !a.toldToStop[run]
	}
	if !fresh && s.now.Since(c.poll.since) < hold {
		return
	}
	c.poll.open = false
	a.toldObserved = response.ObservedThrough
	clear(a.toldToStop)
	for _, run := range response.StopRuns {
		a.toldToStop[run] = true
	}
	for i := range response.Starts {
		s.fillAgentStart(&response.Starts[i])
	}
	empty := s.emptyPollResponse(c)
	response.Lease = empty.Lease
	response.StartTimeout = empty.StartTimeout
	response.FencingToken = empty.FencingToken
	response.Servers = empty.Servers
	s.replyJSON(c.poll.peer, c.poll.id, http.StatusOK, response)
}

// runsToStop names the attempts of the given leases, and those that the state does not
// know.
func (s *Server) runsToStop(a *agentRunner, leases []identifier.LeaseID) []runnerapi.RunStop {
	var list []runnerapi.RunStop
	for _, id := range leases {
		var name runnerapi.RunStop
		if run := a.runs[id]; run != nil {
			name = run.name
		} else if lease := s.state.Leases[id]; lease != nil {
			name = runnerapi.RunStop{Task: s.state.AgentTaskRef(lease.Task), Attempt: lease.Attempt}
		}
		list = append(list, name)
	}
	return append(list, a.unknownRuns...)
}

// fillAgentStart adds what an agent's start order bears from its job.
func (s *Server) fillAgentStart(start *runnerapi.Start) {
	if j := s.state.Jobs[start.Task.Job]; j != nil {
		start.Payload = j.Spec.Payload
		start.Checkpoint = j.Task(start.Task).Checkpoint
		start.Task = s.state.AgentTaskRef(start.Task)
	}
}

// serverAddrs lists the addresses of the group's members, this leader first.
func (s *Server) serverAddrs() []string {
	list := []string{s.config.Addr}
	for _, member := range s.raft.Members() {
		if member.ID != s.config.ID {
			list = append(list, member.Addr)
		}
	}
	return list
}
