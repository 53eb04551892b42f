// Machine ties the parts together. Its inputs are Tick, Frame, Synced and
// Started; Take hands over the output.

package controlplane

import (
	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/scheduler"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// Server is a control-plane server as a pure state machine: consensus, the
// replicated state, and the work of the leader. It does no input or output and
// reads no clock. It is not safe for concurrent use.
type Server struct {
	config             Config
	now                clock.Monotonic
	wall               clock.WallTime
	raft               *raft.Raft
	state              *state.Store
	appliedIndex       identifier.Index
	bytesSinceSnapshot int64
	clusterTime        clusterClock
	// clusterTimeTerm is the term of the entry that seen goes on from.
	clusterTimeTerm identifier.Term
	// arrivals notes when entries came, for those not yet applied: an entry's time
	// runs on from then, however late it is decided.
	arrivals  []arrival
	checksums recentChecksums
	// leaderHint is who leads, by its own word: the members this keeper knows of may
	// be of a time before that one was among them.
	leaderHint leaderHint
	// latestLeaderTime is the latest reading of the leader's clock that came here.
	latestLeaderTime wire.LeaderTime
	stopped          bool
	// routingState is what gateways are told from.
	routingState routingState
	// gracefulStop is the orderly stop under way, nil until it begins.
	gracefulStop *gracefulStop
	// followedLeader is where the leader listens that this keeper last knew.
	followedLeader wire.Peer
	leaderContact  leaderContact
	// leaderReachedAt is when this keeper last had a leader to go to.
	leaderReachedAt clock.Monotonic
	out             Output

	founders       []raft.Member
	discovery      *discovery
	forwarder      *forwarderNode
	gatewayClients map[string]clock.Monotonic
	// gatewayPeers is where gates listen, and when each was last heard.
	gatewayPeers    map[string]clock.Monotonic
	leaderlessSince clock.Monotonic

	proposals     map[identifier.Index]proposal
	configChanges int
	proposalBytes int
	forwarded     map[uint64]forwardedRequest
	nextID        uint64

	term          identifier.Term
	leader        *leaderState
	waitReasons   map[identifier.JobKey]map[int]string
	policyCache   *policy.Cache
	policyResults scheduler.PolicyResults
	// LogPercentUsed tells how much of the write-ahead log is in use, in percent, so that
	// a snapshot is taken before it is full. The owner of the disk replaces it.
	LogPercentUsed func() int
}

// proposal is a request whose proposal is under way.
type proposal struct {
	peer         wire.Peer
	id           uint64
	term         identifier.Term
	configChange bool
	size         int
}

// leaderHint is a keeper and the line it was heard on.
type leaderHint struct {
	id   identifier.Node
	peer wire.Peer
}

// forwardedRequest is a request passed on to the leader for another: to is whom it was
// passed to, and the only one whose reply counts.
type forwardedRequest struct {
	peer    wire.Peer
	id      uint64
	to      wire.Peer
	expires clock.Monotonic
}

// New makes a server without any state: one with a disk looks for a group to
// join or, if told so, founds one; one without a disk only forwards requests to
// the leader. Resume follows where the disk held state.
func New(boot Config, now clock.Monotonic) *Server {
	s := &Server{config: boot, now: now, nextID: uint64(boot.Seed), gatewayClients: map[string]clock.Monotonic{}, gatewayPeers: map[string]clock.Monotonic{}, proposals: map[identifier.Index]proposal{}, forwarded: map[uint64]forwardedRequest{},
		discovery: newDiscovery(now), leaderlessSince: now, leaderReachedAt: now, waitReasons: map[identifier.JobKey]map[int]string{}, state: state.New(), policyCache: policy.NewCache(), policyResults: scheduler.PolicyResults{}, LogPercentUsed: func() int { return 0 }}
	if boot.Diskless {
		s.discovery, s.forwarder = nil, &forwarderNode{}
	}
	return s
}

// Resume starts from what the disk held. A view that doesn't decode is damage
// that no keeper should run over.
func (s *Server) Resume(hard raft.HardState, view *raft.Snapshot, list []raft.Entry) error {
	b, err := state.Decode(view.Data)
	if err != nil {
		return err
	}
	if b.Level > s.config.Level {
		return errors.Errorf("the folder is of level %d, and this program knows %d: start one at least as new as before", b.Level, s.config.Level)
	}
	s.state, s.appliedIndex = b, view.Index
	s.forgetRouting()
	s.founders = view.Members
	s.raft = raft.New(s.config.ID, s.config.Timing, s.config.Seed, s.now, hard, view, list)
	s.raft.SetLevel(s.config.Level)
	s.discovery = nil
	return nil
}

// Config is the configuration that the server was started with.
func (s *Server) Config() Config { return s.config }

// State is the replicated state as applied so far. Callers must not change it.
func (s *Server) State() *state.Store { return s.state }

// Raft is the member of the consensus group, nil until this server belongs to
// one.
func (s *Server) Raft() *raft.Raft { return s.raft }

func (s *Server) logEvent(name string, vals ...any) {
	s.out.Events = append(s.out.Events, Event{name, vals})
}

func (s *Server) send(to wire.Peer, msg wire.Message) {
	if msg.Response != nil && s.isActiveLeader() {
		msg.Response.LeaderTime = s.leaderTime()
	}
	s.out.Messages = append(s.out.Messages, wire.Envelope{To: to, Message: msg})
}

// Tick passes in the time and starts whatever is due: heartbeats, elections,
// discovery, and the periodic work of a leader. It should come every Tick
// milliseconds.
func (s *Server) Tick(now clock.Monotonic, wall clock.WallTime) {
	if s.stopped {
		return
	}
	s.advanceClocks(now, wall)
	s.trackLeader()
	s.probeLeader()
	if s.discovery != nil {
		s.discover()
		return
	}
	if s.forwarder != nil {
		s.pollForLeader()
		s.forgetExpired()
	}
	if s.raft == nil {
		return
	}
	s.raft.Tick(now, wall)
	s.transferLeadership()
	s.updateLeadership()
	s.forgetExpired()
	s.searchForGroup()
	if s.leader != nil {
		s.runPeriodicTasks()
	}
	s.process()
}

func (s *Server) advanceClocks(now clock.Monotonic, wall clock.WallTime) {
	s.now, s.wall = max(s.now, now), wall
	if s.raft != nil && s.clusterTime.base > 0 {
		s.raft.CarryClusterTime(s.clusterTime.timeAt(s.now), s.clusterTimeTerm)
	}
}

// HandleMessage passes in one message from another process. from is where a reply goes;
// it need not be the sender's listening address.
func (s *Server) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic, wall clock.WallTime) {
	if s.stopped {
		return
	}
	s.advanceClocks(now, wall)
	if from == s.followedLeader && (msg.Announcement != nil || msg.Response != nil) {
		s.leaderContact.answered(s.now)
	}
	switch {
	case msg.Announcement != nil:
		s.handleAnnouncement(from, msg.Announcement)
	case msg.Raft != nil && s.discovery != nil:
		s.discovery.groupHeardAt = s.now
	case msg.Raft != nil && s.raft != nil:
		if msg.Raft.Kind == raft.AppendEntries || msg.Raft.Kind == raft.InstallSnapshot {
			s.leaderHint = leaderHint{msg.Raft.From, from}
			s.observeAppend(msg.Raft)
		}
		s.raft.Step(*msg.Raft, s.now, wall)
	case msg.Request != nil:
		s.updateLeadership()
		s.handleRequest(from, msg.Request)
	case msg.Response != nil:
		s.forwardResponse(from, msg.Response)
	}
	s.updateLeadership()
	s.process()
	s.transferLeadershipNow()
}

// Synced reports that all writes up to and including seq are on disk, which lets
// acknowledgements that waited for them go out.
func (s *Server) Synced(seq uint64, now clock.Monotonic, wall clock.WallTime) {
	if s.stopped {
		return
	}
	s.advanceClocks(now, wall)
	if s.raft != nil {
		s.raft.Synced(seq)
	}
	s.process()
	s.transferLeadershipNow()
}

// TakeOutput hands over the output so far.
func (s *Server) TakeOutput() Output {
	out := s.out
	s.out = Output{}
	return out
}

// process carries out what agreement decided until nothing more comes of it.
func (s *Server) process() {
	if s.raft == nil {
		return
	}
	for more := true; more && !s.stopped; {
		if s.leader != nil {
			s.actAsLeader()
		}
		s.raft.Flush()
		s.recordArrival()
		more = s.processRaftOutput(s.raft.TakeOutput())
	}
}

// turn notices that leadership has come or gone.
func (s *Server) updateLeadership() {
	if s.raft == nil {
		return
	}
	if s.raft.Leader() != 0 {
		s.leaderlessSince = s.now
	}
	leads := s.raft.Role() == raft.Leader
	if s.leader != nil && (!leads || s.term != s.raft.Term()) {
		s.leader = nil
		s.logEvent("leader-lost", "term", s.term)
		for _, i := range s.proposalIndexes() {
			s.replyOutcomeUnknown(s.proposals[i])
			s.dropProposal(i)
		}
	}
	if leads && s.leader == nil && s.appliedIndex >= s.raft.TermStart() && s.raft.HasLease(s.now) {
		s.term = s.raft.Term()
		s.becomeLeader()
		s.announceLeadership()
		s.logEvent("leader", "term", s.term, "index", s.appliedIndex)
	}
}

// isActiveLeader tells whether this keeper may act as the leader at this moment.
func (s *Server) isActiveLeader() bool {
	return s.gracefulStop == nil && s.leader != nil && s.raft.HasLease(s.now)
}

func (s *Server) replyOutcomeUnknown(w proposal) {
	s.replyError(w.peer, w.id, 504, "leader-changed", "the outcome is not known here; ask again", leaderChangedRetryAfter)
}
