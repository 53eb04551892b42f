package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// memberState is a member as the leader sees it.
type memberState struct {
	raft.Member
	// self marks the leader itself.
	self bool
	live bool
	// replaceable is a voter whose place may be taken.
	replaceable bool
	// caughtUp is a live learner that has nearly all of the log.
	caughtUp bool
	// abandoned is a learner that has been silent for long.
	abandoned bool
	silentFor clock.Millis
}

// membershipPlan is the group while its next change is chosen. The choice depends on
// neither time nor log, only on what the leader has found out of each member.
type membershipPlan struct {
	members       []memberState
	voters        int
	readyLearners int
	allVotersLive bool
	// votersByDomain counts a zone's voters, those that may be replaced left out.
	votersByDomain map[identifier.Domain]int
	// The first choice of each kind, nil where there is none.
	deadVoter    *memberState
	readyLearner *memberState
	surplusVoter *memberState
	idleLearner  *memberState
}

// nextMembers is the member list that should be next, one member different from this
// one. It is nil when all is as it should be, or when after the change the live voters
// would be no majority. settled says that the leader has had the time to hear whoever
// lives: only then is a live voter demoted.
func nextMembers(members []memberState, want int, settled bool) []raft.Member {
	var next []raft.Member
	t := newMembershipPlan(members)
	switch {
	case t.deadVoter != nil && (t.voters > want || t.voters > minVoters && t.voters%2 == 0):
		next = t.without(t.deadVoter)
	case t.voters > want && t.surplusVoter != nil && settled:
		next = t.withVote(t.surplusVoter, false)
	case t.readyLearner != nil && (t.needsVoter(want) || settled && t.unbalanced(want)):
		next = t.withVote(t.readyLearner, true)
	case t.idleLearner != nil:
		next = t.without(t.idleLearner)
	}
	if next != nil && !t.keepsQuorum(next) {
		return nil
	}
	return next
}

func newMembershipPlan(members []memberState) *membershipPlan {
	t := &membershipPlan{members: members, votersByDomain: map[identifier.Domain]int{}, allVotersLive: true}
	for i := range members {
		s := &members[i]
		if s.Voter {
			t.voters++
			t.allVotersLive = t.allVotersLive && s.live
		}
		if s.Voter && !s.replaceable {
			t.votersByDomain[s.Domain]++
		}
	}
	for i := range members {
		t.rank(&members[i])
	}
	return t
}

// rank keeps the first choice of each kind: the voter silent for longest, the caught-up
// learner whose zone has the fewest voters, and the voter, not the leader itself, whose
// zone has the most.
func (t *membershipPlan) rank(s *memberState) {
	switch {
	case s.replaceable:
		if t.deadVoter == nil || s.silentFor > t.deadVoter.silentFor {
			t.deadVoter = s
		}
	case s.caughtUp:
		t.readyLearners++
		if t.readyLearner == nil || t.votersByDomain[s.Domain] < t.votersByDomain[t.readyLearner.Domain] {
			t.readyLearner = s
		}
	case s.abandoned:
		t.idleLearner = s
	case s.Voter && !s.self:
		if t.surplusVoter == nil || t.votersByDomain[s.Domain] > t.votersByDomain[t.surplusVoter.Domain] {
			t.surplusVoter = s
		}
	}
}

// needsVoter tells whether a learner is wanted as a voter: to take a dead one's place,
// or to grow. Four voters bear no more losses than three and lose more with a zone, so
// growth waits until two can follow one another at once.
func (t *membershipPlan) needsVoter(want int) bool {
	switch {
	case t.voters < minVoters, t.deadVoter != nil && t.voters <= want:
		return true
	case t.voters < want:
		return t.voters%2 == 0 || t.readyLearners > 1
	}
	return false
}

// unbalanced tells whether a zone has two voters more than that of a learner that has
// caught up: the learner becomes a voter, and then one of that zone a learner.
func (t *membershipPlan) unbalanced(want int) bool {
	if t.voters != want || !t.allVotersLive || t.surplusVoter == nil {
		return false
	}
	return t.votersByDomain[t.surplusVoter.Domain] > t.votersByDomain[t.readyLearner.Domain]+1
}

// keepsQuorum tells whether the live are a majority of the voters of a list.
func (t *membershipPlan) keepsQuorum(next []raft.Member) bool {
	live := map[identifier.Node]bool{}
	for _, s := range t.members {
		live[s.ID] = s.live
	}
	voters := 0
	up := 0
	for _, member := range next {
		if !member.Voter {
			continue
		}
		voters++
		if live[member.ID] {
			up++
		}
	}
	return up > voters/2
}

func (t *membershipPlan) without(removed *memberState) []raft.Member {
	var next []raft.Member
	for _, s := range t.members {
		if s.ID != removed.ID {
			next = append(next, s.Member)
		}
	}
	return next
}

func (t *membershipPlan) withVote(changed *memberState, voter bool) []raft.Member {
	var next []raft.Member
	for _, s := range t.members {
		if s.ID == changed.ID {
			s.Voter = voter
		}
		next = append(next, s.Member)
	}
	return next
}
