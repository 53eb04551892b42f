package raft

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// The ways in which a leader is parted from its group.
const (
	isolateBoth = iota
	isolateInbound
	isolateOutbound
	isolatePaused
	isolationKinds
)

// The changes of the members that may be under way when it is.
const (
	changeNone = iota
	changeAddsVoter
	changeRemovesVoter
	changeKinds
)

// isolationCase is one case: a leader whose clock runs 2% slow or fast, against
// members whose clocks run the other way, parted at some moment after a beat,
// while a change of the members is logged by as many as spread members.
type isolationCase struct {
	electionTimeout                   clock.Millis
	voters                            int
	leaderSlow                        bool
	isolation, change, reachedMembers int
	offset                            int64
	// loseOneEarly has one voter lose the leader's messages well before the others.
	loseOneEarly bool
}

// eagerGroup is a group whose members ask for votes as early as they may, and again
// and again.
type eagerGroup struct {
	*group
}

func newEagerGroup(p isolationCase) *eagerGroup {
	g := newGroup(1)
	g.meanWriteMs, g.entryBytes, g.reliableNetwork, g.timing, g.meanProposalMs = 1, 4, true, NewTiming(p.electionTimeout), 1<<30
	e := &eagerGroup{group: g}
	list := []Member{}
	for i := 1; i <= p.voters; i++ {
		list = append(list, Member{ID: identifier.Node(i), Voter: true})
	}
	learner := Member{ID: identifier.Node(p.voters + 1)}
	for _, m := range append(list, learner) {
		h := g.addHost(append(list, learner), identifier.Index(1))
		h.drift = 0.02
		if (m.ID == 1) == p.leaderSlow {
			h.drift = -0.02
		}
		g.start(h)
	}
	return e
}

// advance lets time pass; the first member alone stands for election until it
// leads, the others as soon as they may after that.
func (e *eagerGroup) advance(ms int64) {
	for end := e.now + ms; e.now < end && e.failure == ""; {
		for _, h := range e.hosts {
			switch {
			case !h.up:
			case h.raft.role == PreCandidate:
				h.raft.timer.timeout = 10
			case h.raft.role == Follower:
				h.raft.timer.timeout = h.raft.timing.ElectionTimeout
			}
			if h.id > 1 && e.leaders[1] == 0 {
				h.raft.timer.timeout = 1 << 30
			}
		}
		e.step(false)
	}
}

// run runs a case and returns how long after the end of the old lease a new
// leader committed; ok when one did.
func (p isolationCase) run() (margin int64, failed string) {
	e := newEagerGroup(p)
	for e.leaders[1] != 1 && e.now < 10*int64(p.electionTimeout) {
		e.advance(1)
	}
	e.advance(2 * int64(p.electionTimeout))
	leader := e.hosts[0]
	if p.loseOneEarly {
		e.blockedLinks[[2]identifier.Node{1, identifier.Node(p.voters)}] = true
		e.advance(int64(p.electionTimeout) * 3 / 2)
	}
	for leader.raft.now != leader.raft.leadership.heartbeatSentAt {
		e.advance(1)
	}
	e.advance(p.offset)
	e.startMembershipChange(p, leader)
	e.isolateLeader(p, leader)
	ended := e.now
	for from := e.now; e.now < from+6*int64(p.electionTimeout) && e.failure == ""; {
		if leader.raft.HasLease(e.monotonic(leader)) && leader.raft.Term() == 1 {
			ended = e.now
		}
		if e.newestCommittedTerm > 1 {
			return e.now - ended, ""
		}
		e.advance(1)
	}
	return 0, e.failure + " no other leader"
}

// startMembershipChange logs a change of the members, told to some of them only.
func (e *eagerGroup) startMembershipChange(p isolationCase, leader *host) {
	list := append([]Member(nil), leader.raft.Members()...)
	switch p.change {
	case changeNone:
		return
	case changeAddsVoter:
		list[p.voters].Voter = true
	case changeRemovesVoter:
		list = append(list[:p.voters-1], list[p.voters:]...)
	}
	for i := range e.hosts {
		if to := identifier.Node(i + 1); i > p.reachedMembers {
			e.blockedLinks[[2]identifier.Node{1, to}] = true
		}
	}
	if !leader.raft.ProposeMembers(list) {
		e.failf("the change was not taken")
	}
	leader.raft.Flush()
	e.processOutput(leader)
	e.advance(3)
}

func (e *eagerGroup) isolateLeader(p isolationCase, leader *host) {
	for _, h := range e.hosts[1:] {
		if p.isolation == isolateBoth || p.isolation == isolateOutbound {
			e.blockedLinks[[2]identifier.Node{1, h.id}] = true
		}
		if p.isolation == isolateBoth || p.isolation == isolateInbound {
			e.blockedLinks[[2]identifier.Node{h.id, 1}] = true
		}
	}
	if p.isolation == isolatePaused {
		leader.pausedUntil = e.now + 2*int64(p.electionTimeout)
	}
}

// TestLeaseEndsBeforeNextCommit enumerates partings, with clocks 2% off against one another
// in either direction, members that ask for votes at the first moment they may,
// and changes of the members under way: whoever follows commits only after the
// lease has ended. The least time between the two is the margin.
func TestLeaseEndsBeforeNextCommit(t *testing.T) {
	for _, elect := range []clock.Millis{250, 1000} {
		for _, voters := range []int{3, 5} {
			t.Run(fmt.Sprintf("%d voters at %d ms", voters, elect), func(t *testing.T) {
				t.Parallel()
				checkLeaseEndsFirst(t, isolationCases(elect, voters))
			})
		}
	}
}

func checkLeaseEndsFirst(t *testing.T, list []isolationCase) {
	least := int64(1 << 40)
	for _, p := range list {
		margin, failed := p.run()
		if failed != "" {
			t.Fatalf("%+v: %s", p, failed)
		}
		if margin <= 0 {
			t.Fatalf("%+v: a later leader committed while the lease stood", p)
		}
		least = min(least, margin*1000/int64(p.electionTimeout))
	}
	t.Logf("%d partings, the lease ended %d thousandths of an election wait before another committed, at least", len(list), least)
}

// isolationCases lists the cases of one pace and size; two voters that bear no loss
// are left out, since keepers never go there.
func isolationCases(elect clock.Millis, voters int) []isolationCase {
	var list []isolationCase
	offsets := []int64{0, 10, 20, 30, 40, 50}
	if elect == 1000 {
		offsets = []int64{120}
	}
	for part := isolateBoth; part < isolationKinds; part++ {
		for change := changeNone; change < changeKinds; change++ {
			if voters == 3 && change == changeRemovesVoter {
				continue
			}
			for _, offset := range offsets {
				for _, slow := range []bool{true, false} {
					for _, early := range []bool{true, false} {
						list = append(list, isolationCase{elect, voters, slow, part, change, int(offset) % voters, offset, early})
					}
				}
			}
		}
	}
	return list
}
