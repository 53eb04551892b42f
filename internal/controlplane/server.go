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

// Server is a control-plane server as a pure state machine: consensus, the replicated
// state, and the work of the leader. It does no input or output and reads no clock. It is
// not safe for concurrent use.
type Server struct {
	// LogPercentUsed tells how much of the write-ahead log is in use, so that a snapshot
	// is taken before it is full. The owner of the disk replaces it.
	LogPercentUsed func() int
	// UnauthenticatedRequests counts the requests that were refused here because their API
	// key is nobody's. Callers may only read it.
	UnauthenticatedRequests uint64

	config Config
	now    clock.Monotonic
	wall   clock.WallTime
	output Output
	// halted says that this server takes no further input.
	halted bool
	// hold is a stop that is held back, stopping the graceful stop under way; both are nil
	// until one begins.
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
	// leaderlessSince is when a leader was last known.
	leaderlessSince clock.Monotonic

	state              *state.Store
	appliedIndex       identifier.Index
	bytesSinceSnapshot int64
	// incomingIndex is the last snapshot whose arrival was logged.
	incomingIndex identifier.Index
	clusterTime   carriedTime
	checksums     recentChecksums
	routing       routingState

	// proposals are requests that wait for their entry, forwarded those that wait for
	// the leader's response.
	proposals     proposalTable
	forwarded     map[uint64]forwardedRequest
	lastRequestID uint64
	// delayedOrders are orders that this leader has taken in and not proposed yet.
	delayedOrders []delayedOrder
	leaderLink    leaderLink

	// leader is what this server keeps while it leads, nil otherwise, and term the last
	// term in which it led.
	leader *leaderState
	term   identifier.Term
	// waitReasons says of each job's steps what the last scheduling cycle found them to
	// wait for.
	waitReasons   map[identifier.JobKey]map[int]string
	policyCache   *policy.Cache
	policyResults scheduler.PolicyResults
}

// New makes a server without any state: one with a disk looks for a group to join or, if
// the configuration says so, founds one; one without a disk only forwards requests to the
// leader. Resume follows where the disk held state.
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

// LevelError says that the state on disk is of a later version than this program.
type LevelError struct {
	// Folder is the level of the state, Program the highest that this program knows.
	Folder  uint16
	Program uint16
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("the folder is of level %d, and this program knows %d: start one at least as new as before", e.Folder, e.Program)
}

// Resume starts from what the disk held. A snapshot that does not decode is damage that
// no server should run over; one of a later version is a *LevelError.
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

// Config is the configuration that the server was started with.
func (s *Server) Config() Config { return s.config }

// State is the replicated state as applied so far. Callers must not change it.
func (s *Server) State() *state.Store { return s.state }

// Raft is the member of the consensus group, nil until this server belongs to one.
func (s *Server) Raft() *raft.Raft { return s.raft }

// TakeOutput hands over the output so far.
func (s *Server) TakeOutput() Output {
	out := s.output
	s.output = Output{}
	return out
}

// Tick passes in the time and starts whatever is due: heartbeats, elections, discovery,
// and the periodic work of a leader. It should come every TickInterval.
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

// HandleMessage passes in one message from another process. from is where a response
// goes; it need not be the sender's listening address.
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
		if !s.handleSeats(from, msg.Response) {
			s.forwardResponse(from, msg.Response)
		}
	}
	s.updateLeadership()
	s.process()
	s.transferLeadershipNow()
}

// handleRaft passes a message on to the consensus. While this server looks for its group,
// it only shows that there is one.
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

// Synced reports that all writes up to and including seq are on disk, which lets
// acknowledgements that waited for them go out.
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

// updateLeadership notices that leadership has come or gone. A leader acts only once the
// entry that opens its term is applied and its lease holds.
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

// loseLeadership ends a leadership. What was proposed may be committed by another leader.
func (s *Server) loseLeadership() {
	s.leader = nil
	s.logEvent("leader-lost", "term", s.term)
	s.returnDelayedOrders()
	for _, index := range s.proposals.indexes() {
		if p, ok := s.proposals.take(index); ok {
			s.replyOutcomeUnknown(p)
		}
	}
}

func (s *Server) logEvent(name string, fields ...any) {
	s.output.Events = append(s.output.Events, Event{name, fields})
}

// send sends a message. A leader's responses carry a reading of its clock.
func (s *Server) send(to wire.Peer, msg wire.Message) {
	if msg.Response != nil && s.isActiveLeader() {
		msg.Response.LeaderTime = s.leaderTime()
	}
	s.output.Messages = append(s.output.Messages, wire.Envelope{To: to, Message: msg})
}

// advanceClocks takes the time of an input.
func (s *Server) advanceClocks(now clock.Monotonic, wall clock.WallTime) {
	s.postponeDelayedOrders(now)
	s.now = max(s.now, now)
	s.wall = wall
	if s.raft != nil && s.clusterTime.clock.base > 0 {
		s.raft.SetClusterTime(s.clusterTime.clock.timeAt(s.now), s.clusterTime.term)
	}
}
