package raft

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// maxRecoveryMs is how soon a group must commit again after a loss that it is
	// to bear; repairMs is what it is given to be whole again.
	maxRecoveryMs = 8000
	repairMs      = 6000
)

// The losses of a round.
const (
	leaderTransfersAndStops = iota
	twoVotersLost
	voterLostDuringChange
	staleMembersReturn
	lossKindCount
)

// injectLoss has the group bear one loss, of two of five at most, and wants it to
// commit again in time.
func (g *group) injectLoss(kind int) {
	before := g.lastCommitted
	switch kind {
	case leaderTransfersAndStops:
		g.transferAndStop()
	case twoVotersLost:
		for _, h := range g.randomVoters(2) {
			g.crash(h)
			h.lost = true
			g.hostsLost++
		}
	case voterLostDuringChange:
		g.addLearner()
		for _, h := range g.randomVoters(1) {
			g.crash(h)
			h.lost = true
			g.hostsLost++
		}
	case staleMembersReturn:
		before = g.returnStaleMembers()
	}
	for end := g.now + maxRecoveryMs; g.now < end && g.lastCommitted < before+5 && g.failure == ""; {
		g.step(false)
	}
	if g.lastCommitted < before+5 {
		g.failf("loss %d: %d ms later %d entries are committed, %d before", kind, maxRecoveryMs, g.lastCommitted, before)
	}
	g.runRepairs()
}

// transferAndStop stops a leader in order: it hands leadership on and exits, and
// comes back later.
func (g *group) transferAndStop() {
	k := g.leader()
	k.raft.TransferLeadership()
	g.processOutput(k)
	g.after(1+g.random.Int63n(60), func() { g.crash(k) })
	g.after(1500, func() { g.start(k) })
}

// returnStaleMembers has two members be away for long; in the moment they are back,
// two of those that know more are lost. It tells what was committed then.
func (g *group) returnStaleMembers() identifier.Index {
	stale := g.randomVoters(2)
	for _, h := range stale {
		g.crash(h)
	}
	for end := g.now + 4000; g.now < end; {
		g.step(false)
	}
	lost := g.randomVoters(2)
	for _, h := range lost {
		g.crash(h)
	}
	for _, h := range stale {
		g.start(h)
	}
	g.after(maxRecoveryMs+100, func() {
		for _, h := range lost {
			if !h.up {
				g.start(h)
			}
		}
	})
	return g.lastCommitted
}

// randomVoters picks live voters of the leader's list, the leader among them or not.
func (g *group) randomVoters(n int) []*host {
	var out []*host
	k := g.leader()
	if k == nil {
		return nil
	}
	for _, i := range g.random.Perm(len(k.raft.Members())) {
		m := k.raft.Members()[i]
		if h := g.hosts[m.ID-1]; m.Voter && h.up && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

// runRepairs gives the group time, with empty hosts that take the lost ones' seats.
func (g *group) runRepairs() {
	for end := g.now + maxRecoveryMs + repairMs; g.now < end && g.failure == ""; {
		g.step(false)
		if g.now%150 == 0 {
			g.repair()
		}
	}
}

// seats is the leader's list with what this model knows of those on it.
type membership struct {
	members                              []Member
	voters, learners                     int
	lostVoter, readyLearner, lostLearner int
}

func (g *group) membershipOf(k *host) membership {
	s := membership{members: append([]Member(nil), k.raft.Members()...), lostVoter: -1, readyLearner: -1, lostLearner: -1}
	for i, m := range s.members {
		gone, p := g.hosts[m.ID-1].lost, k.raft.peers[m.ID]
		switch {
		case m.Voter && gone:
			s.lostVoter = i
		case gone:
			s.lostLearner = i
		case !m.Voter && p != nil && p.match >= k.raft.TermStart() && p.match+64 >= k.raft.CommitIndex():
			s.readyLearner = i
		}
		if m.Voter {
			s.voters++
		} else if !gone {
			s.learners++
		}
	}
	return s
}

// repair makes one change as keepers do: a learner that has caught up takes the
// seat of a voter that is lost for good, which then leaves.
func (g *group) repair() {
	k := g.leader()
	if k == nil {
		return
	}
	s := g.membershipOf(k)
	switch {
	case s.lostVoter >= 0 && s.voters > 5:
		g.proposeMembers(k, append(s.members[:s.lostVoter], s.members[s.lostVoter+1:]...))
	case s.readyLearner >= 0 && (s.lostVoter >= 0 || s.voters < 5):
		s.members[s.readyLearner].Voter = true
		g.proposeMembers(k, s.members)
	case s.lostLearner >= 0:
		g.proposeMembers(k, append(s.members[:s.lostLearner], s.members[s.lostLearner+1:]...))
	case s.learners == 0:
		g.addLearner()
	}
}

// addLearner takes an empty host in as a learner.
func (g *group) addLearner() {
	k := g.leader()
	if k == nil || len(g.hosts) >= g.maxHosts {
		return
	}
	list := append([]Member(nil), k.raft.Members()...)
	fresh := g.addHost(list, 0)
	g.start(fresh)
	g.proposeMembers(k, append(list, Member{ID: fresh.id, Addr: fmt.Sprint(fresh.id)}))
}

func (g *group) proposeMembers(k *host, list []Member) {
	if k.raft.ProposeMembers(list) {
		k.raft.Flush()
		g.processOutput(k)
	}
}

// fullyRecovered tells whether five vote, all of them live and close behind.
func (g *group) fullyRecovered() bool {
	k := g.leader()
	if k == nil {
		return false
	}
	voters := 0
	for _, m := range k.raft.Members() {
		h := g.hosts[m.ID-1]
		if m.Voter && (!h.up || h.applied+50 < g.lastCommitted) {
			return false
		}
		if m.Voter {
			voters++
		}
	}
	return voters == 5
}

// TestFiveVotersProgress: losses one after another, each of two of five at most, by
// an orderly stop of the leader, wiped disks, a replacement in the midst of a
// change, and members long away that return in the moment others are lost. The
// group commits again in time after each, its members have the same state at the
// same index, and none that lacks a committed entry ever leads.
func TestFiveVotersProgress(t *testing.T) {
	const seeds = 10
	rounds, wiped := make([]int, seeds), make([]int, seeds)
	t.Run("seeds", func(t *testing.T) {
		for i := range rounds {
			t.Run(fmt.Sprint(i+1), func(t *testing.T) {
				t.Parallel()
				g := newGroup(int64(i + 1))
				g.meanWriteMs, g.entryBytes, g.wantVoters, g.maxMembers, g.maxHosts, g.losePairs, g.compactOften = 2, 4, 5, 7, 60, true, true
				g.tailLimit = &tailLimit{entries: 20, bytes: 1 << 20, transferBytes: 1 << 20}
				g.bootstrap(5)
				g.runRepairs()
				for n := 0; n < 8 && g.failure == ""; n++ {
					if !g.fullyRecovered() {
						g.failf("round %d: not whole after %d ms", n, maxRecoveryMs+repairMs)
						break
					}
					g.injectLoss((i + n) % lossKindCount)
					rounds[i]++
				}
				if g.failure != "" {
					t.Errorf("seed %d: %s", i+1, g.failure)
				}
				wiped[i] = g.hostsLost
			})
		}
	})
	sumRounds, sumWiped := 0, 0
	for i := range rounds {
		sumRounds, sumWiped = sumRounds+rounds[i], sumWiped+wiped[i]
	}
	if sumRounds < 8*seeds || sumWiped < 3*seeds {
		t.Errorf("too little evidence: %d rounds, %d disks lost", sumRounds, sumWiped)
	}
	t.Logf("%d rounds, %d disks lost for good", sumRounds, sumWiped)
}
