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
	// replaceable marks a voter that may be replaced.
	replaceable bool
	// caughtUp marks a live learner that has nearly all of the log.
	caughtUp bool
	// abandoned marks a learner that has been silent for longer than memberDeadAfter.
	abandoned bool
	silentFor clock.Millis
}

// membershipPlan collects what is needed to choose the next membership change. The choice
// depends on neither the time nor the log, only on the state of each member.
type membershipPlan struct {
	members       []memberState
	voters        int
	readyLearners int
	allVotersLive bool
	// votersByDomain counts each zone's voters, excluding replaceable ones.
	votersByDomain map[identifier.Domain]int
	// The best candidate of each kind, nil if there is none.
	deadVoter        *memberState
	readyLearner     *memberState
	surplusVoter     *memberState
	abandonedLearner *memberState
}

// nextMembers returns the next member list, which differs from the current one in one
// member. It returns nil if no change is needed, or if the live voters would not be a
// majority after the change. established means that the leader has led for long enough to
// have heard from every live member; a live voter is demoted only then.
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
	case plan.abandonedLearner != nil:
		next = plan.without(plan.abandonedLearner)
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

// rank keeps the best candidate of each kind: the voter that has been silent for longest,
// the caught-up learner whose zone has the fewest voters, and the voter other than the
// leader whose zone has the most.
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
		p.abandonedLearner = member
	case member.Voter && !member.self:
		if p.surplusVoter == nil || p.votersByDomain[member.Domain] > p.votersByDomain[p.surplusVoter.Domain] {
			p.surplusVoter = member
		}
	}
}

// needsVoter reports whether a learner should become a voter, to replace a dead voter or
// to grow the group. Four voters tolerate no more losses than three and lose more when a
// zone fails, so the group grows only when two learners can be promoted in succession.
func (p *membershipPlan) needsVoter(want int) bool {
	switch {
	case p.voters < minVoters, p.deadVoter != nil && p.voters <= want:
		return true
	case p.voters < want:
		return p.voters%2 == 0 || p.readyLearners > 1
	}
	return false
}

// unbalanced reports whether some zone has at least two voters more than the zone of a
// caught-up learner. The learner is then promoted, and afterwards a voter of that zone is
// demoted.
func (p *membershipPlan) unbalanced(want int) bool {
	if p.voters != want || !p.allVotersLive || p.surplusVoter == nil {
		return false
	}
	return p.votersByDomain[p.surplusVoter.Domain] > p.votersByDomain[p.readyLearner.Domain]+1
}

// keepsQuorum reports whether the live members are a majority of the voters in a list.
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
