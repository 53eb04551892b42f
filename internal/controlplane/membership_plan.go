// Reseat chooses the next change of the group, and nothing else: it knows
// neither time nor log, only what the leader has found out of each member.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// memberState is a member as the leader sees it. Dead is a voter whose seat is free to
// take, idle a learner long silent, ready a learner that has caught up.
type memberState struct {
	raft.Member
	self, live, replaceable, caughtUp, abandoned bool
	silentFor                                    clock.Millis
}

// membershipPlan is the group being weighed. Held counts a zone's voters but for the
// dead; spare is how many learners are ready.
type membershipPlan struct {
	members                               []memberState
	voters, readyLearners                 int
	votersByDomain                        map[identifier.Domain]int
	deadVoter, readyLearner, surplusVoter *memberState
	idleLearner                           *memberState
	allVotersLive                         bool
}

// nextMembers is the member list that should be next, one member different from
// this one; none when all is as it should be, or when after the change the live
// voters would be no majority. Calm says that the leader has had the time to
// hear whoever lives: only then is a live voter's seat given away.
func nextMembers(list []memberState, want int, calm bool) []raft.Member {
	var next []raft.Member
	t := newMembershipPlan(list)
	switch {
	case t.deadVoter != nil && (t.voters > want || t.voters > minVoters && t.voters%2 == 0):
		next = t.without(t.deadVoter)
	case t.voters > want && t.surplusVoter != nil && calm:
		next = t.withVote(t.surplusVoter, false)
	case t.readyLearner != nil && (t.needsVoter(want) || calm && t.unbalanced(want)):
		next = t.withVote(t.readyLearner, true)
	case t.idleLearner != nil:
		next = t.without(t.idleLearner)
	}
	if next != nil && !t.keepsQuorum(next) {
		return nil
	}
	return next
}

func newMembershipPlan(list []memberState) *membershipPlan {
	t := &membershipPlan{members: list, votersByDomain: map[identifier.Domain]int{}, allVotersLive: true}
	for i := range list {
		s := &list[i]
		if s.Voter {
			t.voters++
			t.allVotersLive = t.allVotersLive && s.live
		}
		if s.Voter && !s.replaceable {
			t.votersByDomain[s.Domain]++
		}
	}
	for i := range list {
		t.rank(&list[i])
	}
	return t
}

// rank keeps the first choice of each kind: the voter silent for longest, the
// ready learner whose zone has the fewest voters, and the voter, not the leader
// itself, whose zone has the most.
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

// needsVoter tells whether a learner is wanted as a voter: to take a dead one's
// seat, or to grow. Four voters bear no more losses than three and lose more
// with a zone, so growth waits until two can follow one another at once.
func (t *membershipPlan) needsVoter(want int) bool {
	switch {
	case t.voters < minVoters, t.deadVoter != nil && t.voters <= want:
		return true
	case t.voters < want:
		return t.voters%2 == 0 || t.readyLearners > 1
	}
	return false
}

// unbalanced tells whether a zone has two voters more than that of a learner that
// is ready: it becomes a voter, and then one of that zone a learner.
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
	voters, up := 0, 0
	for _, mem := range next {
		if !mem.Voter {
			continue
		}
		voters++
		if live[mem.ID] {
			up++
		}
	}
	return up > voters/2
}

func (t *membershipPlan) without(one *memberState) []raft.Member {
	var next []raft.Member
	for _, s := range t.members {
		if s.ID != one.ID {
			next = append(next, s.Member)
		}
	}
	return next
}

func (t *membershipPlan) withVote(one *memberState, voter bool) []raft.Member {
	var next []raft.Member
	for _, s := range t.members {
		if s.ID == one.ID {
			s.Voter = voter
		}
		next = append(next, s.Member)
	}
	return next
}
