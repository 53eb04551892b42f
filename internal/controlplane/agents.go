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

// agentSide is what the leader keeps of a runner that an agent speaks for.
type agentSide struct {
	// runs is what the last poll said of runs that the book knows, list the same
	// in the poll's order.
	runs   map[identifier.LeaseID]*held
	list   []*held
	ends   []seenEnd
	stray  []runnerapi.RunStop
	halted map[runnerapi.RunStop]bool
	told   uint64
	// rate is how fast work goes here, in thousandths of what its estimates
	// say; ill is until when nothing is placed here.
	rate  int64
	rated clock.Monotonic
	ill   clock.Monotonic
	// doubt is until when no run of the last poll can have stood still for
	// too long.
	doubt clock.Monotonic
	// old is the last progress of what ran on the former life of the runner.
	old []state.Checkpoint
}

// held is a run as agents name it, with the last progress told. seq is the
// last poll that told of it.
type held struct {
	id    identifier.LeaseID
	stop  runnerapi.RunStop
	saved string
	pace  *pace
	seq   uint64
}

// seenEnd is an end the runner tells of; Grant is 0 for one nobody waits for.
type seenEnd struct {
	n     uint64
	grant identifier.LeaseID
	ref   identifier.TaskRef
}

// turned is what is carried over to the contact with a new life of a runner.
func (m *Server) turned(c *contact) *agentSide {
	if c.agent == nil {
		return nil
	}
	return newAgentSide(m.saves(c))
}

func newAgentSide(old []state.Checkpoint) *agentSide {
	return &agentSide{old: old, runs: map[identifier.LeaseID]*held{}, halted: map[runnerapi.RunStop]bool{}, rate: 1000}
}

// saves lists the progress last told of what still counts as running.
func (m *Server) saves(c *contact) []state.Checkpoint {
	if c.agent == nil {
		return nil
	}
	list := c.agent.old
	ordered := []identifier.LeaseID{}
	for id := range c.agent.runs {
		ordered = append(ordered, id)
	}
	sortGrants(ordered)
	for _, id := range ordered {
		if text := c.agent.runs[id].saved; text != "" && m.state.Leases[id] != nil {
			list = append(list[:len(list):len(list)], state.Checkpoint{Lease: id, Data: text})
		}
	}
	return list
}

// agentSays takes an agent's poll into the terms of the book.
func (m *Server) agentSays(name identifier.Runner, c *contact, p *runnerapi.PollRequest) {
	a := c.agent
	if a == nil {
		a = newAgentSide(nil)
		c.agent = a
	}
	if r := m.state.Runners[name]; r != nil && r.Incarnation == c.inc {
		a.old = nil
	}
	a.doubt = math.MaxInt64
	a.ends, a.stray = a.ends[:0], a.stray[:0]
	was, next := a.list, 0
	a.list = make([]*held, 0, len(p.Active))
	for _, one := range p.Active {
		stop := runnerapi.RunStop{Task: one.Task, Attempt: one.Attempt}
		var h *held
		if h, next = m.again(name, p.Incarnation, was, next, stop); h == nil {
			id, _, ok := m.state.ResolveRun(name, p.Incarnation, one.Task, one.Attempt)
			if !ok {
				a.stray = append(a.stray, stop)
				continue
			}
			if h = a.runs[id]; h == nil {
				h = &held{id: id}
				a.runs[id] = h
			}
		}
		h.stop, h.saved, h.seq = stop, one.Checkpoint, p.Seq
		a.list = append(a.list, h)
		p.Running = append(p.Running, h.id)
		m.progress(a, h, one)
	}
	for _, h := range was {
		if h.seq != p.Seq {
			delete(a.runs, h.id)
		}
	}
	m.rated(a)
	for _, one := range p.Finished {
		id, ref, ok := m.state.ResolveRun(name, p.Incarnation, one.Task, one.Attempt)
		if !ok {
			id = 0
		} else {
			p.Ended = append(p.Ended, runnerapi.End{Lease: id, Task: ref, Outcome: one.Outcome, Checkpoint: one.Checkpoint})
		}
		a.ends = append(a.ends, seenEnd{one.Seq, id, ref})
	}
	sort.Slice(a.ends, func(i, j int) bool { return a.ends[i].n < a.ends[j].n })
	for _, one := range p.Cleared {
		if id, ref, ok := m.state.ResolveRun(name, p.Incarnation, one.Task, one.Attempt); ok {
			p.Ended = append(p.Ended, runnerapi.End{Lease: id, Task: ref, Outcome: runnerapi.OutcomeStopped})
		}
	}
}

// ahead is how far to look for a run among those of the poll before.
const ahead = 8

// again finds a run among those of the poll before, which mostly come in the
// same order, at or after next. It holds as long as its grant is open: a
// task's grant is the open one.
func (m *Server) again(name identifier.Runner, inc identifier.Incarnation, was []*held, next int, stop runnerapi.RunStop) (h *held, at int) {
	for i := next; i < len(was) && i < next+ahead; i++ {
		if was[i].stop != stop {
			continue
		}
		if g := m.state.Leases[was[i].id]; g == nil || g.Attempt != stop.Attempt || g.Runner != name || g.Incarnation != inc {
			return nil, i + 1
		}
		return was[i], i + 1
	}
	return nil, next
}

// present tells whether the runner itself is there to be reported on. One that
// has said farewell is counted lost at once.
func (m *Server) present(name identifier.Runner, c *contact, p *runnerapi.PollRequest) bool {
	if c.agent == nil {
		return true
	}
	r := m.state.Runners[name]
	if !p.LeftInOrder && !p.PresumedDead {
		return p.SilentFor < 2*m.state.Limits.SiteMillis("startMs")
	}
	if r != nil && r.Incarnation == p.Incarnation && !r.Gone && m.lead.losing[name] <= m.at {
		m.lead.losing[name] = m.propose(&state.Command{LoseRunner: &state.LoseRunner{Runner: name, Incarnation: p.Incarnation, Checkpoints: m.saves(c)}})
	}
	return false
}

// observed is the number up to which every end is on record.
func (m *Server) observed(name identifier.Runner, c *contact) uint64 {
	n := c.agent.told
	for _, e := range c.agent.ends {
		if e.grant != 0 && m.state.AcceptsEnd(name, c.inc, e.grant, e.ref) {
			return n
		}
		n = max(n, e.n)
	}
	return n
}

// answerAgent answers an agent's open poll if there is something to tell that
// it was not told, or the poll has been open for long enough.
func (m *Server) answerAgent(name identifier.Runner, c *contact, a *runnerapi.PollResponse, hold clock.Millis) {
	s := c.agent
	fresh := len(a.Starts) > 0
	for _, id := range a.Stops {
		stop := runnerapi.RunStop{}
		if h := s.runs[id]; h != nil {
			stop = h.stop
		} else if g := m.state.Leases[id]; g != nil {
			stop = runnerapi.RunStop{Task: m.state.AgentTaskRef(g.Task), Attempt: g.Attempt}
		}
		a.StopRuns = append(a.StopRuns, stop)
	}
	a.StopRuns = append(a.StopRuns, s.stray...)
	a.Stops = nil
	for _, stop := range a.StopRuns {
		fresh = fresh || !s.halted[stop]
	}
	a.ObservedThrough = m.observed(name, c)
	if !fresh && a.ObservedThrough <= s.told && m.now.Since(c.since) < hold {
		return
	}
	c.open = false
	s.told = a.ObservedThrough
	clear(s.halted)
	for _, stop := range a.StopRuns {
		s.halted[stop] = true
	}
	for i := range a.Starts {
		m.fill(&a.Starts[i])
	}
	bare := m.bare(c)
	a.Lease, a.StartTimeout, a.FencingToken, a.Servers = bare.Lease, bare.StartTimeout, bare.FencingToken, bare.Servers
	m.replyDoc(c.peer, c.id, 200, a)
}

// fill adds what a start bears from its job.
func (m *Server) fill(s *runnerapi.Start) {
	if j := m.state.Jobs[s.Task.Job]; j != nil {
		s.Payload, s.Checkpoint = j.Spec.Payload, j.Task(s.Task).Checkpoint
		s.Task = m.state.AgentTaskRef(s.Task)
	}
}

// keepers lists the addresses of the keepers, this leader first.
func (m *Server) keepers() []string {
	list := []string{m.config.Addr}
	for _, mem := range m.raft.Members() {
		if mem.ID != m.config.ID {
			list = append(list, mem.Addr)
		}
	}
	return list
}
