package controlplane

import (
	"fmt"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/scheduler"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// Server is a control-plane server as a deterministic state machine: consensus, the
// replicated state, and the work of the leader. It does no I/O and reads no clock. It is
// not safe for concurrent use.
type Server struct {
	// LogPercentUsed returns the used part of the write-ahead log in percent, so that a
	// snapshot is taken before the log is full. The owner of the disk sets it.
	LogPercentUsed func() int
	// UnauthenticatedRequests counts the requests that this server refused because their
	// API key belongs to no tenant. Callers may only read it.
	UnauthenticatedRequests uint64

	config Config
	now    clock.Monotonic
	wall   clock.WallTime
	output Output
	// halted means that this server accepts no further input.
	halted bool
	// hold is a delayed stop, stopping the graceful stop in progress; both are nil until
	// one begins.
	hold     *stopHold
	stopping *gracefulStop

	// raft is this server's member of the consensus group, nil until it belongs to one.
	raft     *raft.Raft
	founders []raft.Member
	// discovery is the search for a group, nil once this server belongs to one.
	discovery *discovery
	// forwarder is set on a server without a disk, which never belongs to a group.
	forwarder *forwarderNode
	gateways  gatewayTable
	// leaderlessSince is when this server last knew a leader.
	leaderlessSince clock.Monotonic

	state              *state.Store
	appliedIndex       identifier.Index
	bytesSinceSnapshot int64
	// incomingIndex is the index of the last incoming snapshot that was logged.
	incomingIndex identifier.Index
	clusterTime   carriedTime
	checksums     recentChecksums
	routing       routingState

	// proposals are requests that wait for their entry to be applied, forwarded those
	// that wait for the leader's response.
	proposals     proposalTable
	forwarded     map[uint64]forwardedRequest
	lastRequestID uint64
	// delayedOrders are orders that this leader has accepted but not proposed yet.
	delayedOrders []delayedOrder
	leaderLink    leaderLink

	// leader is the state kept while this server leads, nil otherwise; term is the last
	// term in which it led.
	leader *leaderState
	term   identifier.Term
	// waitReasons holds, by job and step, what the waiting tasks wait for according to
	// the last scheduling cycle.
	waitReasons   map[identifier.JobKey]map[int]string
	policyCache   *policy.Cache
	policyResults scheduler.PolicyResults
}

// New returns a server without any state. One with a disk looks for a group to join or,
// if the configuration allows it, founds one; one without a disk only forwards requests
// to the leader. Call Resume next if the disk holds state.
func New(config Config, now clock.Monotonic) *Server {
	s := &Server{
		LogPercentUsed:  func() int { return 0 },
		config:          config,
		now:             now,
		gateways:        newGatewayTable(),
		leaderlessSince: now,
		state:           state.New(),
		proposals:       proposalTable{byIndex: map[identifier.Index]proposal{}},
		forwarded:       map[uint64]forwardedRequest{},
		lastRequestID:   uint64(config.Seed),
		leaderLink:      leaderLink{reachedAt: now},
		waitReasons:     map[identifier.JobKey]map[int]string{},
		policyCache:     policy.NewCache(),
		policyResults:   scheduler.PolicyResults{},
	}
	if config.Diskless {
		s.forwarder = &forwarderNode{}
	} else {
		s.discovery = newDiscovery(now)
	}
	return s
}

// LevelError reports that the state on disk was written by a later version of this
// program.
type LevelError struct {
	// Folder is the level of the state on disk, Program the highest level that this
	// program supports.
	Folder  uint16
	Program uint16
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("the folder is of level %d, and this program knows %d: start one at least as new as before", e.Folder, e.Program)
}

// Resume restores the server from its disk. It returns an error if the snapshot does not
// decode, which means that the disk is damaged, and a *LevelError if it was written by a
// later version.
func (s *Server) Resume(hard raft.HardState, snapshot *raft.Snapshot, entries []raft.Entry) error {
	resumed, err := state.Decode(snapshot.Data)
	if err != nil {
		return err
	}
	if resumed.Level > s.config.Level {
		return &LevelError{Folder: resumed.Level, Program: s.config.Level}
	}
	s.state = resumed
	s.appliedIndex = snapshot.Index
	s.forgetRouting()
	s.founders = snapshot.Members
	s.raft = raft.New(s.config.ID, s.config.Timing, s.config.Seed, s.now, hard, snapshot, entries)
	s.raft.SetLevel(s.config.Level)
	s.discovery = nil
	return nil
}

// Config returns the configuration that the server was created with.
func (s *Server) Config() Config { return s.config }

// State returns the replicated state as applied so far. Callers must not change it.
func (s *Server) State() *state.Store { return s.state }

// Raft returns the member of the consensus group, nil until this server belongs to one.
func (s *Server) Raft() *raft.Raft { return s.raft }

// TakeOutput returns the output accumulated since the last call and clears it.
func (s *Server) TakeOutput() Output {
	out := s.output
	s.output = Output{}
	return out
}

// Tick advances the time and starts whatever is due: heartbeats, elections, discovery,
// and the leader's periodic work. It should be called every TickInterval.
func (s *Server) Tick(now clock.Monotonic, wall clock.WallTime) {
	if s.halted {
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
	s.continueHold()
	s.transferLeadership()
	s.updateLeadership()
	s.forgetExpired()
	s.searchForGroup()
	s.logIncomingSnapshot()
	if s.leader != nil {
		s.runPeriodicTasks()
	}
	s.process()
}

// HandleMessage handles one message from another process. from is where responses are
// sent; it need not be the sender's listening address.
func (s *Server) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic, wall clock.WallTime) {
	if s.halted {
		return
	}
	s.advanceClocks(now, wall)
	if from == s.leaderLink.leader && (msg.Announcement != nil || msg.Response != nil) {
		s.leaderAnswered()
	}
	switch {
	case msg.Announcement != nil:
		s.handleAnnouncement(from, msg.Announcement)
	case msg.Raft != nil:
		s.handleRaft(from, msg.Raft)
	case msg.Request != nil:
		s.updateLeadership()
		s.handleRequest(from, msg.Request)
	case msg.Response != nil:
		if !s.handleVotersResponse(from, msg.Response) {
			s.forwardResponse(from, msg.Response)
		}
	}
	s.updateLeadership()
	s.process()
	s.transferLeadershipNow()
}

// handleRaft passes a message to the consensus. While this server is looking for its
// group, the message only proves that a group exists.
func (s *Server) handleRaft(from wire.Peer, msg *raft.Message) {
	if s.discovery != nil {
		s.discovery.groupHeardAt = s.now
		return
	}
	if s.raft == nil {
		return
	}
	if msg.Kind == raft.AppendEntries || msg.Kind == raft.InstallSnapshot {
		s.leaderLink.hint = leaderHint{msg.From, from}
		s.observeAppend(msg)
	}
	s.raft.Step(*msg, s.now, s.wall)
}

// Synced reports that all writes up to and including seq are on disk, which releases the
// acknowledgements that waited for them.
func (s *Server) Synced(seq uint64, now clock.Monotonic, wall clock.WallTime) {
	if s.halted {
		return
	}
	s.advanceClocks(now, wall)
	if s.raft != nil {
		s.raft.Synced(seq)
	}
	s.process()
	s.transferLeadershipNow()
}

// updateLeadership detects that this server has gained or lost leadership. It acts as the
// leader only once the first entry of its term is applied and it holds its lease.
func (s *Server) updateLeadership() {
	if s.raft == nil {
		return
	}
	if s.raft.Leader() != 0 {
		s.leaderlessSince = s.now
	}
	leads := s.raft.Role() == raft.Leader
	if s.leader != nil && (!leads || s.term != s.raft.Term()) {
		s.loseLeadership()
	}
	if leads && s.leader == nil && s.appliedIndex >= s.raft.TermStart() && s.raft.HasLease(s.now) {
		s.term = s.raft.Term()
		s.becomeLeader()
		s.announceLeadership()
		s.logEvent("leader", "term", s.term, "index", s.appliedIndex)
	}
}

// loseLeadership clears the leader state. Pending proposals may still be committed by
// another leader, so their outcome is unknown.
func (s *Server) loseLeadership() {
	s.leader = nil
	s.logEvent("leader-lost", "term", s.term)
	s.rejectDelayedOrders()
	for _, index := range s.proposals.indexes() {
		if p, ok := s.proposals.take(index); ok {
			s.replyOutcomeUnknown(p)
		}
	}
}

func (s *Server) logEvent(name string, fields ...any) {
	s.output.Events = append(s.output.Events, Event{name, fields})
}

// send queues a message. A leader's responses carry a reading of its clock.
func (s *Server) send(to wire.Peer, msg wire.Message) {
	if msg.Response != nil && s.isActiveLeader() {
		msg.Response.LeaderTime = s.leaderTime()
	}
	s.output.Messages = append(s.output.Messages, wire.Envelope{To: to, Message: msg})
}

// advanceClocks updates the clocks with the time of an input.
func (s *Server) advanceClocks(now clock.Monotonic, wall clock.WallTime) {
	s.postponeDelayedOrders(now)
	s.now = max(s.now, now)
	s.wall = wall
	if s.raft != nil && s.clusterTime.clock.base > 0 {
		s.raft.SetClusterTime(s.clusterTime.clock.timeAt(s.now), s.clusterTime.term)
	}
}
