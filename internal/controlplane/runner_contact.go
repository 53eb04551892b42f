package controlplane

import (
	"maps"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// A runner counts as lost once its leases can have lasted no longer: after their length,
// the part of it by which clocks are allowed to drift (one in so many), and a margin.
const (
	runnerDriftFraction              = 10
	agentDriftFraction               = 20
	runnerLapseMargin   clock.Millis = 1000
	agentLapseMargin    clock.Millis = 300
)

// runnerContact is what a leader knows of one incarnation of a runner: when it was last
// heard, what its last poll said, and the poll that is open.
type runnerContact struct {
	incarnation identifier.Incarnation
	// seq is the number of the last poll.
	seq       uint64
	hasPolled bool
	draining  bool
	// lastHeard is when the last poll came; silentBefore is for how long, by its agent,
	// the runner itself had been silent then.
	lastHeard    clock.Monotonic
	silentBefore clock.Millis
	// agent is set for a runner that an agent speaks for.
	agent *agentRunner

	// running and ended are what the last poll said.
	running map[identifier.LeaseID]bool
	ended   map[identifier.LeaseID]runnerapi.End
	gangs   gangNotices
	poll    pollState

	// reportProposal and endsProposal are the last entries proposed with what the
	// runner reported of itself and of ended attempts.
	reportProposal identifier.Index
	endsProposal   identifier.Index
}

// pollState is a runner's open poll, or its last one.
type pollState struct {
	open bool
	peer wire.Peer
	id   uint64
	// since is when it came. It lies further back for a runner that was away, so that
	// its poll is answered at once.
	since clock.Monotonic
}

// gangNotices are the gangs that answers to a runner's polls called complete.
type gangNotices struct {
	// current are those of the answers to the last poll, previous those of the answers to
	// the poll before it.
	current  map[identifier.LeaseID]bool
	previous map[identifier.LeaseID]bool
}

// beginPoll clears what the last poll said. The gangs that the answers to it called
// complete become the previous ones.
func (c *runnerContact) beginPoll() {
	if c.running == nil {
		c.running = map[identifier.LeaseID]bool{}
		c.ended = map[identifier.LeaseID]runnerapi.End{}
		c.gangs.current = map[identifier.LeaseID]bool{}
		c.gangs.previous = map[identifier.LeaseID]bool{}
		return
	}
	c.gangs.current, c.gangs.previous = c.gangs.previous, c.gangs.current
	clear(c.running)
	clear(c.ended)
	clear(c.gangs.current)
}

// silentFor is how long nothing was heard of the runner itself.
func (c *runnerContact) silentFor(now clock.Monotonic) clock.Millis {
	return now.Since(c.lastHeard) + c.silentBefore
}

// leaseLapsed reports whether whatever ran there must have outlived a lease of the given
// length. The margin covers clocks that drift. An agent's runner keeps its leases by its
// own last heartbeat, which the agent reports while it polls; when the agent is silent
// too, later heartbeats may have been answered, up to the end of the agent's lease.
func (c *runnerContact) leaseLapsed(now clock.Monotonic, lease clock.Millis) bool {
	if c.agent == nil {
		return now.Since(c.lastHeard) > lease+lease/runnerDriftFraction+runnerLapseMargin
	}
	span := lease + lease/agentDriftFraction + agentLapseMargin
	return now.Since(c.lastHeard) > span || c.silentBefore > span
}

// endedIDs lists the leases whose end the last poll reported, in ascending order.
func (c *runnerContact) endedIDs() []identifier.LeaseID {
	return slices.Sorted(maps.Keys(c.ended))
}

// loseSilentRunners counts a runner lost when it has been silent for longer than its
// leases can have lasted on its own clock.
func (s *Server) loseSilentRunners() {
	l := s.leader
	lease := s.state.LeaseSpan()
	for _, name := range s.state.RunnerNames() {
		runner := s.state.Runners[name]
		contact := l.runners[name]
		if contact == nil || runner.Gone || !contact.leaseLapsed(s.now, lease) || l.lossProposal[name] > s.appliedIndex {
			continue
		}
		s.logEvent("runner-lost", "runner", name, "silentMs", contact.silentFor(s.now))
		s.proposeLoss(name, runner.Incarnation, contact)
	}
}

// proposeLoss counts an incarnation of a runner as lost, with the progress that was
// last reported.
func (s *Server) proposeLoss(name identifier.Runner, incarnation identifier.Incarnation, contact *runnerContact) {
	s.leader.lossProposal[name] = s.propose(&state.Command{LoseRunner: &state.LoseRunner{
		Runner:      name,
		Incarnation: incarnation,
		Checkpoints: s.checkpoints(contact),
	}})
}
