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

// A runner is declared lost once its leases must have expired: after the lease duration,
// plus an allowance for clock drift (the lease duration divided by the drift fraction),
// plus a margin.
const (
	runnerDriftFraction              = 10
	agentDriftFraction               = 20
	runnerLapseMargin   clock.Millis = 1000
	agentLapseMargin    clock.Millis = 300
)

// runnerContact is what the leader knows about one incarnation of a runner: when it was
// last heard, what its last poll reported, and its open poll.
type runnerContact struct {
	incarnation identifier.Incarnation
	// seq is the sequence number of the last poll.
	seq       uint64
	hasPolled bool
	draining  bool
	// lastHeard is when the last poll arrived; agentReportedSilence is how long the
	// runner itself had been silent at that time, as reported by its agent.
	lastHeard            clock.Monotonic
	agentReportedSilence clock.Millis
	// agent is set if an agent reports for this runner.
	agent *agentRunner

	// running and ended are the attempts that the last poll reported.
	running map[identifier.LeaseID]bool
	ended   map[identifier.LeaseID]runnerapi.End
	gangs   gangNotices
	poll    pollState

	// reportProposal and endsProposal are the indexes of the last entries proposed with
	// what the runner reported about itself and about ended attempts.
	reportProposal identifier.Index
	endsProposal   identifier.Index
}

// pollState is a runner's open poll or, if none is open, its last one.
type pollState struct {
	open bool
	peer wire.Peer
	id   uint64
	// since is when the poll arrived. It is backdated for a runner that was out of
	// contact, so that its poll is answered at once.
	since clock.Monotonic
}

// gangNotices are the gangs that responses to a runner's polls reported as complete.
type gangNotices struct {
	// current are the gangs from the responses to the last poll, previous those from the
	// responses to the poll before it.
	current  map[identifier.LeaseID]bool
	previous map[identifier.LeaseID]bool
}

// beginPoll clears what the last poll reported. The gangs that were reported complete in
// response to it become the previous ones.
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

// silentFor returns how long the runner itself has been silent.
func (c *runnerContact) silentFor(now clock.Monotonic) clock.Millis {
	return now.Since(c.lastHeard) + c.agentReportedSilence
}

// leaseLapsed reports whether a lease of the given duration must have expired on the
// runner. The margin covers clock drift. A runner behind an agent dates its leases from
// its own last heartbeat, which the agent reports while it polls. If the agent is silent
// too, it may have answered later heartbeats, up to the end of its own lease.
func (c *runnerContact) leaseLapsed(now clock.Monotonic, lease clock.Millis) bool {
	if c.agent == nil {
		return now.Since(c.lastHeard) > lease+lease/runnerDriftFraction+runnerLapseMargin
	}
	span := lease + lease/agentDriftFraction + agentLapseMargin
	return now.Since(c.lastHeard) > span || c.agentReportedSilence > span
}

// endedIDs lists the leases that the last poll reported as ended, in ascending order.
func (c *runnerContact) endedIDs() []identifier.LeaseID {
	return slices.Sorted(maps.Keys(c.ended))
}

// declareSilentRunnersLost declares runners lost that have been silent for longer than
// their leases can have lasted by their own clocks.
func (s *Server) declareSilentRunnersLost() {
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

// proposeLoss declares an incarnation of a runner lost, and records the checkpoints that
// it last reported.
func (s *Server) proposeLoss(name identifier.Runner, incarnation identifier.Incarnation, contact *runnerContact) {
	s.leader.lossProposal[name] = s.propose(&state.Command{LoseRunner: &state.LoseRunner{
		Runner:      name,
		Incarnation: incarnation,
		Checkpoints: s.checkpoints(contact),
	}})
}
