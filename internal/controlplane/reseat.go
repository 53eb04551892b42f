// Reseat chooses the next change of the group, and nothing else: it knows
// neither time nor log, only what the leader has found out of each member.

package controlplane

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
)

// seat is a member as the leader sees it. Dead is a voter whose seat is free to
// take, idle a learner long silent, ready a learner that has caught up.
type seat struct {
	raft.Member
	self, live, dead, ready, idle bool
	quiet                         clock.Millis
}

// seatTable is the group being weighed. Held counts a zone's voters but for the
// dead; spare is how many learners are ready.
type seatTable struct {
	list               []seat
	voters, spare      int
	held               map[identifier.Domain]int
	dead, ready, other *seat
	idle               *seat
	whole              bool
}

// reseat is the member list that should be next, one member different from
// this one; none when all is as it should be, or when after the change the live
// voters would be no majority. Calm says that the leader has had the time to
// hear whoever lives: only then is a live voter's seat given away.
func reseat(list []seat, want int, calm bool) []raft.Member {
	var next []raft.Member
	t := weigh(list)
	switch {
	case t.dead != nil && (t.voters > want || t.voters > fewSeats && t.voters%2 == 0):
		next = t.without(t.dead)
	case t.voters > want && t.other != nil && calm:
		next = t.voting(t.other, false)
	case t.ready != nil && (t.needs(want) || calm && t.uneven(want)):
		next = t.voting(t.ready, true)
	case t.idle != nil:
		next = t.without(t.idle)
	}
	if next != nil && !t.holds(next) {
		return nil
	}
	return next
}

func weigh(list []seat) *seatTable {
	t := &seatTable{list: list, held: map[identifier.Domain]int{}, whole: true}
	for i := range list {
		s := &list[i]
		if s.Voter {
			t.voters++
			t.whole = t.whole && s.live
		}
		if s.Voter && !s.dead {
			t.held[s.Domain]++
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
func (t *seatTable) rank(s *seat) {
	switch {
	case s.dead:
		if t.dead == nil || s.quiet > t.dead.quiet {
			t.dead = s
		}
	case s.ready:
		t.spare++
		if t.ready == nil || t.held[s.Domain] < t.held[t.ready.Domain] {
			t.ready = s
		}
	case s.idle:
		t.idle = s
	case s.Voter && !s.self:
		if t.other == nil || t.held[s.Domain] > t.held[t.other.Domain] {
			t.other = s
		}
	}
}

// needs tells whether a learner is wanted as a voter: to take a dead one's
// seat, or to grow. Four voters bear no more losses than three and lose more
// with a zone, so growth waits until two can follow one another at once.
func (t *seatTable) needs(want int) bool {
	switch {
	case t.voters < fewSeats, t.dead != nil && t.voters <= want:
		return true
	case t.voters < want:
		return t.voters%2 == 0 || t.spare > 1
	}
	return false
}

// uneven tells whether a zone has two voters more than that of a learner that
// is ready: it becomes a voter, and then one of that zone a learner.
func (t *seatTable) uneven(want int) bool {
	if t.voters != want || !t.whole || t.other == nil {
		return false
	}
	return t.held[t.other.Domain] > t.held[t.ready.Domain]+1
}

// holds tells whether the live are a majority of the voters of a list.
func (t *seatTable) holds(next []raft.Member) bool {
	live := map[identifier.Node]bool{}
	for _, s := range t.list {
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

func (t *seatTable) without(one *seat) []raft.Member {
	var next []raft.Member
	for _, s := range t.list {
		if s.ID != one.ID {
			next = append(next, s.Member)
		}
	}
	return next
}

func (t *seatTable) voting(one *seat, voter bool) []raft.Member {
	var next []raft.Member
	for _, s := range t.list {
		if s.ID == one.ID {
			s.Voter = voter
		}
		next = append(next, s.Member)
	}
	return next
}
