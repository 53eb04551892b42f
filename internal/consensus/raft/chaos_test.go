package raft

import (
	"fmt"
	"sync"
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// chaosMs is how long faults are injected into a group, recoveryMs how long it then has
	// to recover.
	chaosMs    = 20000
	recoveryMs = 12000
	// maxLagMs is how far a member may lag after that, in ms of proposals.
	maxLagMs = 8000
)

// runTotals sums the counters of all runs of a test.
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

// runSeeds runs a simulation for each seed from 1 to seeds in parallel, reports failures
// and returns the totals of all runs.
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

// TestChaos exposes groups to crashes that lose unsynced writes, links blocked in one or both
// directions, lost, duplicated and delayed messages, snapshots, leadership transfers and
// membership changes. After every step, each term has at most one leader, at most one lease
// is valid, no committed entry is lost or differs between members, and committed entries are
// returned without gaps. After the faults end, the group commits and its members catch up.
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

// TestChaosFiveVoters is TestChaos with five voters among six or eight members. Two voters
// fail at the same time, also during membership changes, and some of them permanently, so
// that an empty host replaces them.
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
			t.Errorf("%d members: too little evidence: %d terms, %d membership changes, %d pairs failed, %d hosts lost permanently",
				maxMembers, sum.terms, seen.membershipChanges, seen.pairsLost, seen.hostsLost)
		}
		t.Logf("%d members: %d terms had a leader, %d membership changes, %d pairs failed at once, %d hosts lost permanently",
			maxMembers, sum.terms, seen.membershipChanges, seen.pairsLost, seen.hostsLost)
	}
}

// run injects faults into a group with the given number of voters, removes all faults, and
// checks that the group commits again and its members catch up.
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
		g.failf("after the faults ended, the group makes no progress: committed up to %d, then up to %d", before, g.lastCommitted)
		return
	}
	maxLag := identifier.Index(maxLagMs / g.meanProposalMs)
	for _, m := range leader.raft.Members() {
		if h := g.host(m.ID); !h.lost && h.applied+maxLag < g.lastCommitted {
			g.failf("member %d has applied up to %d, the group has committed up to %d", m.ID, h.applied, g.lastCommitted)
		}
	}
}
