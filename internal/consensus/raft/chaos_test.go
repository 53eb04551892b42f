package raft

import (
	"fmt"
	"sync"
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// chaosMs is how long a group is exposed to faults, recoveryMs how long it then has
	// to recover.
	chaosMs    = 20000
	recoveryMs = 12000
	// maxLagMs is how far behind a member may be after that, in ms of proposals.
	maxLagMs = 8000
)

// evidence sums up what the runs of a test went through.
type runTotals struct {
	lock     sync.Mutex
	terms    int
	counters counters
}

func (e *runTotals) add(g *group) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.terms += len(g.leaders)
	e.counters.losses += g.losses
	e.counters.membershipChanges += g.membershipChanges
	e.counters.pairsLost += g.pairsLost
	e.counters.hostsLost += g.hostsLost
	e.counters.pauses += g.pauses
	e.counters.snapshotsInstalled += g.snapshotsInstalled
}

// runSeeds runs a simulation for each seed from 1 on, at the same time, reports
// their failures and sums up what they went through.
func runSeeds(t *testing.T, name string, seeds int, simulate func(seed int64) *group) *runTotals {
	t.Helper()
	sum := &runTotals{}
	t.Run(name, func(t *testing.T) {
		for seed := int64(1); seed <= int64(seeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				g := simulate(seed)
				if g.failure != "" {
					t.Errorf("seed %d: %s", seed, g.failure)
				}
				sum.add(g)
			})
		}
	})
	return sum
}

// TestChaos runs members through crashes that lose what was not synced, links
// blocked in one direction and both, lost, duplicated and late messages,
// snapshots, leadership transfers and membership changes. After every step: one
// leader a term, one lease at a time, nothing committed is lost or differs, and
// what is handed out has no gap. Once the faults end, all agree and go on.
func TestChaos(t *testing.T) {
	sum := runSeeds(t, "seeds", 150, func(seed int64) *group {
		g := newGroup(seed)
		g.wantVoters = 3
		g.maxMembers = 6
		g.maxHosts = 6
		g.run(3 + 2*int(seed%2))
		return g
	})
	changes := sum.counters.membershipChanges
	if sum.terms < 400 || changes < 150 {
		t.Errorf("too little evidence: %d terms, %d membership changes", sum.terms, changes)
	}
	t.Logf("%d terms had a leader, %d membership changes", sum.terms, changes)
}

// TestChaosFiveVoters is the same with five voters of six members and of eight: two
// are lost at the same moment, also during a membership change, and some of them
// for good, so that an empty host replaces them.
func TestChaosFiveVoters(t *testing.T) {
	for _, maxMembers := range []int{6, 8} {
		sum := runSeeds(t, fmt.Sprint(maxMembers), 80, func(seed int64) *group {
			g := newGroup(seed)
			g.wantVoters = 5
			g.maxMembers = maxMembers
			g.maxHosts = 24
			g.losePairs = true
			g.run(5)
			return g
		})
		seen := sum.counters
		if sum.terms < 200 || seen.membershipChanges < 200 || seen.pairsLost < 150 || seen.hostsLost < 30 {
			t.Errorf("of %d: too little evidence: %d terms, %d membership changes, %d pairs lost, %d hosts for good",
				maxMembers, sum.terms, seen.membershipChanges, seen.pairsLost, seen.hostsLost)
		}
		t.Logf("of %d: %d terms had a leader, %d membership changes, %d pairs lost at once, %d hosts for good",
			maxMembers, sum.terms, seen.membershipChanges, seen.pairsLost, seen.hostsLost)
	}
}

// run exposes a group of so many voters to faults, ends them all, and checks that
// the group goes on and its members catch up.
func (g *group) run(voters int) {
	g.bootstrap(voters)
	for g.now < chaosMs && g.failure == "" {
		g.step(true)
	}
	g.blockedLinks = map[link]bool{}
	for _, h := range g.hosts {
		g.startIfDown(h)
	}
	before := g.lastCommitted
	g.advance(recoveryMs)
	leader := g.leader()
	if leader == nil || g.lastCommitted < before+20 {
		g.failf("without faults, the group does not go on: %d committed, then %d", before, g.lastCommitted)
		return
	}
	maxLag := identifier.Index(maxLagMs / g.meanProposalMs)
	for _, m := range leader.raft.Members() {
		if h := g.host(m.ID); !h.lost && h.applied+maxLag < g.lastCommitted {
			g.failf("member %d is at %d, the group at %d", m.ID, h.applied, g.lastCommitted)
		}
	}
}
