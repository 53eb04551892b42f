package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/prediction"
	"orchidward/internal/state"
)

// timeEntryInterval is how often a leader commits the cluster time when there is nothing
// else to commit.
const timeEntryInterval clock.Millis = 10000

// leaderState is the state that a server keeps only while it leads: when it last heard
// from each runner, the runner's open poll, and the operations in progress. None of it is
// replicated; a new leader restarts all timers, which can only make it wait longer than
// needed.
//
// A field whose name ends in Proposal is the index of the last entry proposed for a
// purpose: while it is above the applied index, no further entry is proposed for that
// purpose.
type leaderState struct {
	clock clusterClock
	// since is when this server began to lead.
	since clock.Monotonic

	runners map[identifier.Runner]*runnerContact
	// changedRunners are the runners whose open polls may need an answer.
	changedRunners map[identifier.Runner]bool
	// openPolls lists the open polls in order of arrival.
	openPolls []openPoll
	// lossProposal holds, for each runner that is being declared lost, the index of the
	// entry.
	lossProposal map[identifier.Runner]identifier.Index

	leases leaseConfirmations
	drains drainProgress
	cycle  schedulingCycle
	// durations predicts how long tasks run; commonRate is the factor that the rates of
	// all runners have in common, as a logarithm.
	durations *prediction.Durations
	// successStreaks counts each runner's successes since its last defect.
	successStreaks map[identifier.Runner]int
	commonRate     float64
	// jobTimes records how the time of ended jobs was spent.
	jobTimes jobTimes

	gangProposal    identifier.Index
	revokeProposal  identifier.Index
	levelProposal   identifier.Index
	lastHealthCheck clock.Monotonic
	lastChecksum    clock.Monotonic
	lastTimeEntry   clock.Monotonic
	// maxVotersLiveAt is when at least maxVoters members were last live.
	maxVotersLiveAt clock.Monotonic
	// transfers are the snapshot transfers in progress, as last logged.
	transfers map[identifier.Node]observedTransfer
	// requests counts the requests that this leader received since it last logged the
	// counts.
	requests requestCounts
	// quotas are the tenants at their quota, as last logged.
	quotas quotaLog
	// seedsAnnouncedAt is when the group was last announced to the seeds that are not
	// members.
	seedsAnnouncedAt clock.Monotonic
}

// becomeLeader initializes the leader state. Every open lease starts its confirmation
// timeout now, and every runner counts as heard now.
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

// isActiveLeader reports whether this server may act as the leader now.
func (s *Server) isActiveLeader() bool {
	return s.stopping == nil && s.leader != nil && s.raft.HasLease(s.now)
}

// actAsLeader performs the leader's work that follows each input.
func (s *Server) actAsLeader() {
	if !s.isActiveLeader() {
		return
	}
	s.serveDelayedOrders()
	s.advanceDrains()
	s.schedule()
	s.answerPolls()
}

// runPeriodicTasks performs the leader's work that depends on time alone.
func (s *Server) runPeriodicTasks() {
	if !s.isActiveLeader() {
		return
	}
	s.advanceClusterClock()
	s.declareSilentRunnersLost()
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

// commitClusterTime commits the cluster time with an empty command when a scheduled start
// is due, and every timeEntryInterval.
func (s *Server) commitClusterTime() {
	l := s.leader
	at, scheduled := s.state.NextScheduledStart()
	due := scheduled && l.clock.timeAt(s.now) >= at
	if due || s.now.Since(l.lastTimeEntry) > timeEntryInterval {
		l.lastTimeEntry = s.now
		s.propose(&state.Command{})
	}
}
