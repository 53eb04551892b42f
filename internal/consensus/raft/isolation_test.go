package raft

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// isolation is a way to isolate a leader from its group.
type isolation int

const (
	isolatedBothWays isolation = iota
	isolatedInbound
	isolatedOutbound
	isolatedByPause
	isolationKinds
)

// membershipChange is the change that is pending when the leader is isolated.
type membershipChange int

const (
	noChange membershipChange = iota
	addsVoter
	removesVoter
	changeKinds
)

// neverMs is a timeout that never expires in a test.
const neverMs = 1 << 30

// isolationCase describes a leader that is isolated offsetMs after a heartbeat, while a
// membership change has reached only some of the other members. The leader's clock runs 2%
// slow or fast, and the other members' clocks run 2% off in the opposite direction.
type isolationCase struct {
	electionTimeout clock.Millis
	voters          int
	leaderSlow      bool
	isolation       isolation
	change          membershipChange
	// reachedMembers is the number of other members that the change has reached.
	reachedMembers int
	offsetMs       int64
	// loseOneEarly blocks the leader's messages to one voter well before the isolation.
	loseOneEarly bool
}

// eagerGroup is a group whose members request votes as early as allowed, and repeatedly.
// Its first member is the first leader.
type eagerGroup struct {
	*group
}

func newEagerGroup(c isolationCase) *eagerGroup {
	g := newGroup(1)
	g.meanWriteMs = 1
	g.entryBytes = 4
	g.reliableNetwork = true
	g.timing = NewTiming(c.electionTimeout)
	g.meanProposalMs = neverMs
	var members []Member
	for i := 1; i <= c.voters; i++ {
		members = append(members, Member{ID: identifier.Node(i), Voter: true})
	}
	members = append(members, Member{ID: identifier.Node(c.voters + 1)})
	for _, m := range members {
		h := g.addHost(members, 1)
		h.drift = 0.02
		if (m.ID == 1) == c.leaderSlow {
			h.drift = -0.02
		}
		g.start(h)
	}
	return &eagerGroup{group: g}
}

// advance advances the time. Only the first member campaigns until it is the leader;
// afterwards the others campaign as soon as they may.
func (g *eagerGroup) advance(ms int64) {
	for end := g.now + ms; g.now < end && g.failure == ""; {
		for _, h := range g.hosts {
			g.shortenTimeout(h)
		}
		g.step(false)
	}
}

func (g *eagerGroup) shortenTimeout(h *host) {
	timer := &h.raft.timer
	switch h.raft.role {
	case PreCandidate:
		timer.timeout = 10
	case Follower:
		timer.timeout = g.timing.ElectionTimeout
	}
	if h.id > 1 && g.leaders[1] == 0 {
		timer.timeout = neverMs
	}
}

// run returns the time from the end of the first leader's lease until another leader
// committed, or a failure if none did.
func (c isolationCase) run() (marginMs int64, failure string) {
	g := newEagerGroup(c)
	for g.leaders[1] != 1 && g.now < 10*int64(c.electionTimeout) {
		g.advance(1)
	}
	g.advance(2 * int64(c.electionTimeout))
	leader := g.hosts[0]
	if c.loseOneEarly {
		g.blockedLinks[link{1, identifier.Node(c.voters)}] = true
		g.advance(int64(c.electionTimeout) * 3 / 2)
	}
	for leader.raft.now != leader.raft.leadership.heartbeatSentAt {
		g.advance(1)
	}
	g.advance(c.offsetMs)
	g.startMembershipChange(c, leader)
	g.isolateLeader(c, leader)
	leaseEnd := g.now
	for deadline := g.now + 6*int64(c.electionTimeout); g.now < deadline && g.failure == ""; {
		if leader.raft.HasLease(g.monotonic(leader)) && leader.raft.Term() == 1 {
			leaseEnd = g.now
		}
		if g.newestCommittedTerm > 1 {
			return g.now - leaseEnd, ""
		}
		g.advance(1)
	}
	return 0, g.failure + " no other leader committed"
}

// startMembershipChange proposes a change that reaches only some members.
func (g *eagerGroup) startMembershipChange(c isolationCase, leader *host) {
	members := append([]Member(nil), leader.raft.Members()...)
	switch c.change {
	case noChange:
		return
	case addsVoter:
		members[c.voters].Voter = true
	case removesVoter:
		members = withoutMember(members, identifier.Node(c.voters))
	}
	for i, h := range g.hosts {
		if i > c.reachedMembers {
			g.blockedLinks[link{1, h.id}] = true
		}
	}
	if !g.proposeMembers(leader, members) {
		g.failf("the membership change was rejected")
	}
	g.advance(3)
}

func (g *eagerGroup) isolateLeader(c isolationCase, leader *host) {
	for _, h := range g.hosts[1:] {
		if c.isolation == isolatedBothWays || c.isolation == isolatedOutbound {
			g.blockedLinks[link{1, h.id}] = true
		}
		if c.isolation == isolatedBothWays || c.isolation == isolatedInbound {
			g.blockedLinks[link{h.id, 1}] = true
		}
	}
	if c.isolation == isolatedByPause {
		leader.pausedUntil = g.now + 2*int64(c.electionTimeout)
	}
}

// TestLeaseEndsBeforeNextCommit checks that after a leader is isolated, another leader commits
// only after the first leader's lease has expired. It enumerates kinds of isolation, clocks
// that are 2% off in either direction, and pending membership changes, with members that
// request votes as early as allowed. It logs the smallest margin between the two events.
func TestLeaseEndsBeforeNextCommit(t *testing.T) {
	for _, electionTimeout := range []clock.Millis{250, 1000} {
		for _, voters := range []int{3, 5} {
			t.Run(fmt.Sprintf("%d voters at %d ms", voters, electionTimeout), func(t *testing.T) {
				t.Parallel()
				checkLeaseEndsFirst(t, isolationCases(electionTimeout, voters))
			})
		}
	}
}

func checkLeaseEndsFirst(t *testing.T, cases []isolationCase) {
	t.Helper()
	least := int64(1 << 40)
	for _, c := range cases {
		marginMs, failure := c.run()
		if failure != "" {
			t.Fatalf("%+v: %s", c, failure)
		}
		if marginMs <= 0 {
			t.Fatalf("%+v: a later leader committed before the lease ended", c)
		}
		least = min(least, marginMs*1000/int64(c.electionTimeout))
	}
	t.Logf("%d cases: the lease ended at least %d thousandths of an election timeout before another leader committed", len(cases), least)
}

// isolationCases returns the cases for one election timeout and number of voters. Removing
// one of three voters is left out, since the control plane never does that.
func isolationCases(electionTimeout clock.Millis, voters int) []isolationCase {
	var cases []isolationCase
	offsetsMs := []int64{0, 10, 20, 30, 40, 50}
	if electionTimeout == 1000 {
		offsetsMs = []int64{120}
	}
	for isolation := isolatedBothWays; isolation < isolationKinds; isolation++ {
		for change := noChange; change < changeKinds; change++ {
			if voters == 3 && change == removesVoter {
				continue
			}
			for _, offsetMs := range offsetsMs {
				for _, leaderSlow := range []bool{true, false} {
					for _, loseOneEarly := range []bool{true, false} {
						cases = append(cases, isolationCase{
							electionTimeout: electionTimeout,
							voters:          voters,
							leaderSlow:      leaderSlow,
							isolation:       isolation,
							change:          change,
							reachedMembers:  int(offsetMs) % voters,
							offsetMs:        offsetMs,
							loseOneEarly:    loseOneEarly,
						})
					}
				}
			}
		}
	}
	return cases
}
