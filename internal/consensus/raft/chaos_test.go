package raft

import (
	"fmt"
	"sync"
	"testing"

	"orchidward/internal/api/identifier"
)

// maxLagMs is how far behind a member of a mended group may be, in ms of proposals.
const maxLagMs = 8000

// TestChaos runs members through crashes that lose what was not synced, cuts
// in one direction and both, lost, doubled and late messages, views, handed-on
// leadership and changing seats. After every step: one leader a term, one
// lease at a time, nothing committed is lost or differs, and what is handed
// out has no gap. When all is mended, all agree and go on.
func TestChaos(t *testing.T) {
	terms, seats := 0, 0
	var lock sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for seed := int64(1); seed <= 150; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				g := runChaos(seed)
				if g.failure != "" {
					t.Errorf("seed %d: %s", seed, g.failure)
				}
				lock.Lock()
				defer lock.Unlock()
				terms, seats = terms+len(g.leaders), seats+g.membershipChanges
			})
		}
	})
	if terms < 400 || seats < 150 {
		t.Errorf("too little evidence: %d terms, %d seats changed", terms, seats)
	}
	t.Logf("%d terms had a leader, %d changes of seats", terms, seats)
}

// TestChaosFiveVoters is the same with five voters of six members and of eight: two
// are lost at the same moment, also while a seat changes, and some of them for
// good, so that an empty one takes the seat.
func TestChaosFiveVoters(t *testing.T) {
	for _, most := range []int{6, 8} {
		terms, seats, both, wiped := 0, 0, 0, 0
		var lock sync.Mutex
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			for seed := int64(1); seed <= 80; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					g := newGroup(seed)
					g.wantVoters, g.maxMembers, g.maxHosts, g.losePairs = 5, most, 24, true
					g.run(5)
					if g.failure != "" {
						t.Errorf("seed %d: %s", seed, g.failure)
					}
					lock.Lock()
					defer lock.Unlock()
					terms, seats, both, wiped = terms+len(g.leaders), seats+g.membershipChanges, both+g.pairsLost, wiped+g.hostsLost
				})
			}
		})
		if terms < 200 || seats < 200 || both < 150 || wiped < 30 {
			t.Errorf("of %d: too little evidence: %d terms, %d seats, %d pairs lost, %d hosts for good", most, terms, seats, both, wiped)
		}
		t.Logf("of %d: %d terms had a leader, %d changes of seats, %d pairs lost at once, %d hosts for good", most, terms, seats, both, wiped)
	}
}

func runChaos(seed int64) *group {
	g := newGroup(seed)
	g.wantVoters, g.maxMembers, g.maxHosts = 3, 6, 6
	g.run(3 + 2*int(seed%2))
	return g
}

// run lets a group of so many voters loose, mends all, and wants it to go on.
func (g *group) run(voters int) {
	g.bootstrap(voters)
	for g.now < 20000 && g.failure == "" {
		g.step(true)
	}
	g.blockedLinks = map[[2]identifier.Node]bool{}
	for _, h := range g.hosts {
		if !h.up && !h.lost {
			g.start(h)
		}
	}
	before := g.lastCommitted
	for end := g.now + 12000; g.now < end && g.failure == ""; {
		g.step(false)
	}
	k := g.leader()
	if k == nil || g.lastCommitted < before+20 {
		g.failf("mended, the group does not go on: %d committed, then %d", before, g.lastCommitted)
		return
	}
	for _, m := range k.raft.Members() {
		if h := g.hosts[m.ID-1]; !h.lost && h.applied+identifier.Index(maxLagMs/g.meanProposalMs) < g.lastCommitted {
			g.failf("member %d is at %d, the group at %d", m.ID, h.applied, g.lastCommitted)
		}
	}
}
