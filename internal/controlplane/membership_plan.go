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
// would be no majority. established says that the leader has had the time to hear whoever
// lives: only then is a live voter demoted.
func nextMembers(members []memberState, want int, established bool) []raft.Member {
	var next []raft.Member
	plan := newMembershipPlan(members)
	switch {
	case plan.deadVoter != nil && (plan.voters > want || plan.voters > minVoters && plan.voters%2 == 0):
		next = plan.without(plan.deadVoter)
	case plan.voters > want && plan.surplusVoter != nil && established:
		next = plan.withVote(plan.surplusVoter, false)
	case plan.readyLearner != nil && (plan.needsVoter(want) || established && plan.unbalanced(want)):
		next = plan.withVote(plan.readyLearner, true)
	case plan.idleLearner != nil:
		next = plan.without(plan.idleLearner)
	}
	if next != nil && !plan.keepsQuorum(next) {
		return nil
	}
	return next
}

func newMembershipPlan(members []memberState) *membershipPlan {
	plan := &membershipPlan{members: members, votersByDomain: map[identifier.Domain]int{}, allVotersLive: true}
	for i := range members {
		member := &members[i]
		if member.Voter {
			plan.voters++
			plan.allVotersLive = plan.allVotersLive && member.live
		}
		if member.Voter && !member.replaceable {
			plan.votersByDomain[member.Domain]++
		}
	}
	for i := range members {
		plan.rank(&members[i])
	}
	return plan
}

// rank keeps the first choice of each kind: the voter silent for longest, the caught-up
// learner whose zone has the fewest voters, and the voter, not the leader itself, whose
// zone has the most.
func (p *membershipPlan) rank(member *memberState) {
	switch {
	case member.replaceable:
		if p.deadVoter == nil || member.silentFor > p.deadVoter.silentFor {
			p.deadVoter = member
		}
	case member.caughtUp:
		p.readyLearners++
		if p.readyLearner == nil || p.votersByDomain[member.Domain] < p.votersByDomain[p.readyLearner.Domain] {
			p.readyLearner = member
		}
	case member.abandoned:
		p.idleLearner = member
	case member.Voter && !member.self:
		if p.surplusVoter == nil || p.votersByDomain[member.Domain] > p.votersByDomain[p.surplusVoter.Domain] {
			p.surplusVoter = member
		}
	}
}

// needsVoter reports whether a learner is wanted as a voter: to take a dead one's place,
// or to grow. Four voters bear no more losses than three and lose more with a zone, so
// growth waits until two can follow one another at once.
func (p *membershipPlan) needsVoter(want int) bool {
	switch {
	case p.voters < minVoters, p.deadVoter != nil && p.voters <= want:
		return true
	case p.voters < want:
		return p.voters%2 == 0 || p.readyLearners > 1
	}
	return false
}

// unbalanced reports whether a zone has two voters more than that of a learner that has
// caught up: the learner becomes a voter, and then one of that zone a learner.
func (p *membershipPlan) unbalanced(want int) bool {
	if p.voters != want || !p.allVotersLive || p.surplusVoter == nil {
		return false
	}
	return p.votersByDomain[p.surplusVoter.Domain] > p.votersByDomain[p.readyLearner.Domain]+1
}

// keepsQuorum reports whether the live are a majority of the voters of a list.
func (p *membershipPlan) keepsQuorum(next []raft.Member) bool {
	live := map[identifier.Node]bool{}
	for _, current := range p.members {
		live[current.ID] = current.live
	}
	voters := 0
	liveVoters := 0
	for _, member := range next {
		if !member.Voter {
			continue
		}
		voters++
		if live[member.ID] {
			liveVoters++
		}
	}
	return liveVoters > voters/2
}

func (p *membershipPlan) without(removed *memberState) []raft.Member {
	var next []raft.Member
	for _, member := range p.members {
		if member.ID != removed.ID {
			next = append(next, member.Member)
		}
	}
	return next
}

func (p *membershipPlan) withVote(changed *memberState, voter bool) []raft.Member {
	var next []raft.Member
	for _, member := range p.members {
		if member.ID == changed.ID {
			member.Voter = voter
		}
		next = append(next, member.Member)
	}
	return next
}
