package raft

import (
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// maxRecoveryMs is the maximum time until a group commits again after a loss that it
	// must tolerate; repairMs is the additional time until it must be complete again.
	maxRecoveryMs = 8000
	repairMs      = 6000
	// fiveVoters is the number of voters in a complete group.
	fiveVoters = 5
)

// lossKind is a way to lose up to two of five voters.
type lossKind int

const (
	leaderTransfersAndStops lossKind = iota
	twoVotersLost
	voterLostDuringChange
	staleMembersReturn
	lossKinds
)

// injectLoss injects one loss and checks that the group commits again in time.
func (g *group) injectLoss(kind lossKind) {
	g.losses++
	before := g.lastCommitted
	switch kind {
	case leaderTransfersAndStops:
		g.transferAndStop()
	case twoVotersLost:
		g.loseVoters(2)
	case voterLostDuringChange:
		g.addLearner()
		g.loseVoters(1)
	case staleMembersReturn:
		before = g.returnStaleMembers()
	}
	for end := g.now + maxRecoveryMs; g.now < end && g.lastCommitted < before+5 && g.failure == ""; {
		g.step(false)
	}
	if g.lastCommitted < before+5 {
		g.failf("loss of kind %d: after %d ms entries are committed up to %d, before up to %d", kind, maxRecoveryMs, g.lastCommitted, before)
	}
	g.runRepairs()
}

func (g *group) loseVoters(count int) {
	for _, h := range g.randomVoters(count) {
		g.lose(h)
	}
}

// transferAndStop stops a leader gracefully: it transfers leadership, exits, and restarts
// later.
func (g *group) transferAndStop() {
	leader := g.leader()
	leader.raft.TransferLeadership()
	g.processOutput(leader)
	g.after(1+g.random.Int63n(60), func() { leader.crash() })
	g.after(1500, func() { g.start(leader) })
}

// returnStaleMembers stops two members for 4 s and restarts them at the moment at which two
// members with newer logs crash. It returns the last committed index at that moment.
func (g *group) returnStaleMembers() identifier.Index {
	stale := g.randomVoters(2)
	for _, h := range stale {
		h.crash()
	}
	for end := g.now + 4000; g.now < end; {
		g.step(false)
	}
	down := g.randomVoters(2)
	for _, h := range down {
		h.crash()
	}
	for _, h := range stale {
		g.start(h)
	}
	g.after(maxRecoveryMs+100, func() {
		for _, h := range down {
			g.startIfDown(h)
		}
	})
	return g.lastCommitted
}

// randomVoters picks running voters from the leader's member list at random, possibly
// including the leader.
func (g *group) randomVoters(count int) []*host {
	leader := g.leader()
	if leader == nil {
		return nil
	}
	var voters []*host
	members := leader.raft.Members()
	for _, i := range g.random.Perm(len(members)) {
		if h := g.host(members[i].ID); members[i].Voter && h.up && len(voters) < count {
			voters = append(voters, h)
		}
	}
	return voters
}

// runRepairs advances the time while empty hosts replace the lost ones.
func (g *group) runRepairs() {
	for end := g.now + maxRecoveryMs + repairMs; g.now < end && g.failure == ""; {
		g.step(false)
		if g.now%150 == 0 {
			g.repair()
		}
	}
}

// membership is the leader's member list together with the actual state of its members. A
// Node of 0 means that there is none.
type membership struct {
	members      []Member
	voters       int
	learners     int
	lostVoter    identifier.Node
	lostLearner  identifier.Node
	readyLearner identifier.Node
}

func (g *group) membershipOf(leader *host) membership {
	s := membership{members: append([]Member(nil), leader.raft.Members()...)}
	for _, m := range s.members {
		lost := g.host(m.ID).lost
		switch {
		case m.Voter && lost:
			s.lostVoter = m.ID
		case lost:
			s.lostLearner = m.ID
		case !m.Voter && caughtUp(leader, m.ID):
			s.readyLearner = m.ID
		}
		if m.Voter {
			s.voters++
		} else if !lost {
			s.learners++
		}
	}
	return s
}

// repair makes one membership change as the control plane does: a learner that has caught up
// is promoted to replace a permanently lost voter, which is then removed.
func (g *group) repair() {
	leader := g.leader()
	if leader == nil {
		return
	}
	s := g.membershipOf(leader)
	switch {
	case s.lostVoter != 0 && s.voters > fiveVoters:
		g.proposeMembers(leader, withoutMember(s.members, s.lostVoter))
	case s.readyLearner != 0 && (s.lostVoter != 0 || s.voters < fiveVoters):
		for i := range s.members {
			s.members[i].Voter = s.members[i].Voter || s.members[i].ID == s.readyLearner
		}
		g.proposeMembers(leader, s.members)
	case s.lostLearner != 0:
		g.proposeMembers(leader, withoutMember(s.members, s.lostLearner))
	case s.learners == 0:
		g.addLearner()
	}
}

// addLearner adds an empty host as a learner.
func (g *group) addLearner() {
	leader := g.leader()
	if leader == nil || len(g.hosts) >= g.maxHosts {
		return
	}
	members := append([]Member(nil), leader.raft.Members()...)
	g.proposeMembers(leader, g.withLearner(members))
}

// complete reports whether the group has five voters, all of them up and nearly caught up.
func (g *group) complete() bool {
	leader := g.leader()
	if leader == nil {
		return false
	}
	voters := 0
	for _, m := range leader.raft.Members() {
		if !m.Voter {
			continue
		}
		voters++
		if h := g.host(m.ID); !h.up || h.applied+50 < g.lastCommitted {
			return false
		}
	}
	return voters == fiveVoters
}

// TestFiveVotersProgress injects a series of losses, each of at most two of five voters: a
// graceful stop of the leader, lost disks, a voter lost during a membership change, and
// stale members that return at the moment at which others crash. After each loss the group
// must commit again in time, all members must have the same state at the same index, and no
// member that lacks a committed entry may become leader.
func TestFiveVotersProgress(t *testing.T) {
	const (
		seeds  = 10
		losses = 8
	)
	sum := runSeeds(t, "seeds", seeds, func(seed int64) *group {
		g := newGroup(seed)
		g.meanWriteMs = 2
		g.entryBytes = 4
		g.wantVoters = fiveVoters
		g.maxMembers = 7
		g.maxHosts = 60
		g.losePairs = true
		g.compactOften = true
		g.tailLimit = &tailLimit{entries: 20, bytes: 1 << 20, transferBytes: 1 << 20}
		g.bootstrap(fiveVoters)
		g.runRepairs()
		for i := 0; i < losses && g.failure == ""; i++ {
			if !g.complete() {
				g.failf("loss %d: the group is not complete after %d ms", i, maxRecoveryMs+repairMs)
				break
			}
			g.injectLoss(lossKind(int(seed-1)+i) % lossKinds)
		}
		return g
	})
	seen := sum.counters
	if seen.losses < losses*seeds || seen.hostsLost < 3*seeds {
		t.Errorf("too little evidence: %d losses, %d disks lost", seen.losses, seen.hostsLost)
	}
	t.Logf("%d losses, %d disks lost permanently", seen.losses, seen.hostsLost)
}
