package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/state"
)

// timeEntryInterval is how often a leader commits the cluster time although there is
// nothing else to commit.
const timeEntryInterval clock.Millis = 10000

// leaderState is what only a leader has: when each runner was last heard, its open
// poll, and what is under way. None of it is replicated; a new leader starts all timers
// anew, which can only make it wait longer than it must.
//
// A field that ends in Proposal is the index of the last entry proposed for a purpose:
// while it is above the applied index, no further one is proposed.
type leaderState struct {
	clock clusterClock
	// since is when this leadership began.
	since clock.Monotonic

	runners map[identifier.Runner]*runnerContact
	// changedRunners are those whose open polls are to be looked at.
	changedRunners map[identifier.Runner]bool
	// openPolls are the open polls in the order in which they came.
	openPolls []openPoll
	// lossProposal is kept for each runner that is being counted lost.
	lossProposal map[identifier.Runner]identifier.Index

	leases leaseConfirmations
	drains drainProgress
	cycle  schedulingCycle
	// durations predicts how long tasks run; commonRate is what the rates of the runners
	// have in common, as a logarithm.
	durations *prediction.Durations
	// successStreaks counts the successes of each runner since its last defect.
	successStreaks map[identifier.Runner]int
	commonRate     float64
	// jobTimes is where the time of jobs went.
	jobTimes jobTimes

	gangProposal    identifier.Index
	revokeProposal  identifier.Index
	levelProposal   identifier.Index
	lastHealthCheck clock.Monotonic
	lastChecksum    clock.Monotonic
	lastTimeEntry   clock.Monotonic
	// maxVotersLiveAt is when maxVoters members were last alive.
	maxVotersLiveAt clock.Monotonic
	// transfers are the transfers of snapshots under way, as the log reported them.
	transfers map[identifier.Node]observedTransfer
	// requests counts what this leader was asked since the log last said so.
	requests requestCounts
	// quotas are the tenants at their quota, as the log reported them.
	quotas quotaLog
	// seedsAnnouncedAt is when the seeds that are no members were last told of the group.
	seedsAnnouncedAt clock.Monotonic
}

// becomeLeader begins a leadership. Every open lease and every runner counts as heard
// at this moment.
func (s *Server) becomeLeader() {
	s.leader = &leaderState{
		clock:           newClusterClock(s.carriedClusterTime(), s.now),
		since:           s.now,
		runners:         map[identifier.Runner]*runnerContact{},
		changedRunners:  map[identifier.Runner]bool{},
		lossProposal:    map[identifier.Runner]identifier.Index{},
		leases:          newLeaseConfirmations(),
		drains:          newDrainProgress(),
		cycle:           newSchedulingCycle(),
		durations:       prediction.NewDurations(),
		successStreaks:  map[identifier.Runner]int{},
		jobTimes:        newJobTimes(s.now),
		maxVotersLiveAt: s.now,
		transfers:       map[identifier.Node]observedTransfer{},
		requests:        requestCounts{since: s.now},
		quotas:          newQuotaLog(),
	}
	for _, name := range s.state.RunnerNames() {
		s.leader.runners[name] = &runnerContact{incarnation: s.state.Runners[name].Incarnation, lastHeard: s.now}
	}
	for id := range s.state.Leases {
		s.leader.leases.opened(id, s.now)
	}
	s.waitReasons = map[identifier.JobKey]map[int]string{}
}

// isActiveLeader reports whether this server may act as the leader at this moment.
func (s *Server) isActiveLeader() bool {
	return s.stopping == nil && s.leader != nil && s.raft.HasLease(s.now)
}

// actAsLeader is what the leader does after each input.
func (s *Server) actAsLeader() {
	if !s.isActiveLeader() {
		return
	}
	s.serveDelayedOrders()
	s.advanceDrains()
	s.schedule()
	s.answerPolls()
}

// runPeriodicTasks is what the leader does with the clock alone.
func (s *Server) runPeriodicTasks() {
	if !s.isActiveLeader() {
		return
	}
	s.advanceClusterClock()
	s.loseSilentRunners()
	s.revokeUnconfirmedStarts()
	s.revokeSilentGangs()
	s.revokeUnhealthyRuns()
	statuses := s.raft.MemberStatuses()
	s.changeMembership(statuses)
	s.announceToSeeds()
	s.logTransfers(statuses)
	s.logRequestCounts()
	s.logQuotas()
	s.logJobTimes()
	s.raiseLevel()
	s.proposeChecksum()
	s.commitClusterTime()
}

func (s *Server) advanceClusterClock() {
	leaderClock := &s.leader.clock
	agreed := leaderClock.clocksAgree
	leaderClock.advance(s.now, s.gatherWallClocks())
	if leaderClock.clocksAgree != agreed {
		s.logEvent("wall-clocks", "agree", leaderClock.clocksAgree, "clusterTime", leaderClock.timeAt(s.now))
	}
}

// commitClusterTime commits the time by an empty command when an appointed start has
// come, and now and then anyway.
func (s *Server) commitClusterTime() {
	l := s.leader
	at, scheduled := s.state.NextScheduledStart()
	due := scheduled && l.clock.timeAt(s.now) >= at
	if due || s.now.Since(l.lastTimeEntry) > timeEntryInterval {
		l.lastTimeEntry = s.now
		s.propose(&state.Command{})
	}
}
