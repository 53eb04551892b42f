package raft

import (
	"fmt"

	"orchidward/internal/api/identifier"
)

// restart crashes a host and restarts it after a random delay.
func (g *group) restart(h *host) {
	if !h.up {
		return
	}
	h.crash()
	wait := g.random.Int63n(40)
	if g.random.Intn(3) == 0 {
		wait = g.random.Int63n(3000)
	}
	g.after(wait, func() { g.startIfDown(h) })
}

func (g *group) startIfDown(h *host) {
	if !h.up && !h.lost {
		g.start(h)
	}
}

// maybeRestartVoter randomly restarts a host whose vote is about to be written.
func (g *group) maybeRestartVoter(h *host, w *Write) {
	voted := w.HardState != nil && w.HardState.Vote != 0
	if voted && g.faultsEnabled && g.random.Intn(6) == 0 {
		g.after(0, func() { g.restart(h) })
	}
}

// maybeRestartLeader randomly restarts a leader that has just been elected.
func (g *group) maybeRestartLeader(h *host) {
	if g.faultsEnabled && g.random.Intn(3) == 0 {
		g.after(g.random.Int63n(80), func() { g.restart(h) })
	}
}

// lose removes a host permanently, including its disk.
func (g *group) lose(h *host) {
	h.crash()
	h.lost = true
	g.hostsLost++
}

// restartTwoVoters restarts two voters at the same time, or at random loses one of them
// permanently and restarts the other.
func (g *group) restartTwoVoters() {
	leader := g.leader()
	if !g.losePairs || leader == nil {
		return
	}
	voters := []*host{}
	for _, m := range leader.raft.Members() {
		if h := g.host(m.ID); m.Voter && h.up {
			voters = append(voters, h)
		}
	}
	g.random.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	if len(voters) < 2 {
		return
	}
	g.pairsLost++
	if g.random.Intn(3) == 0 && g.quorumSurvives(voters[0]) {
		g.lose(voters[0])
	} else {
		g.restart(voters[0])
	}
	g.restart(voters[1])
}

// quorumSurvives reports whether the last two member lists of every host, in memory or on
// disk, retain a majority of their voters if one more host is lost permanently.
func (g *group) quorumSurvives(lost *host) bool {
	for _, h := range g.hosts {
		if h.lost {
			continue
		}
		lists := h.memberLists()
		for _, members := range lists[len(lists)-min(2, len(lists)):] {
			if !g.majorityLeft(members, lost) {
				return false
			}
		}
	}
	return true
}

// memberLists returns the member lists on a host's disk and the one in effect, in log
// order.
func (h *host) memberLists() [][]Member {
	lists := [][]Member{h.disk.snapshot.Members}
	for _, e := range h.disk.entries {
		if e.Kind == EntryConfig {
			lists = append(lists, decodeMembers(e))
		}
	}
	if h.up {
		lists = append(lists, h.raft.Members())
	}
	return lists
}

func (g *group) majorityLeft(members []Member, lost *host) bool {
	voters := 0
	left := 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if h := g.host(m.ID); !h.lost && h != lost {
			left++
		}
	}
	return left > voters/2
}

// isolate blocks all links of a host in both directions.
func (g *group) isolate(isolated *host) {
	for _, h := range g.hosts {
		if h != isolated {
			g.blockedLinks[link{isolated.id, h.id}] = true
			g.blockedLinks[link{h.id, isolated.id}] = true
		}
	}
}

// injectFault injects one random fault, or none.
func (g *group) injectFault() {
	h := g.hosts[g.random.Intn(len(g.hosts))]
	other := g.hosts[g.random.Intn(len(g.hosts))]
	switch n := g.random.Intn(6000); {
	case n < 8 && h.up:
		h.crash()
	case n < 30 && !h.up && !h.lost:
		g.start(h)
	case n < 50 && h != other:
		g.blockedLinks[link{h.id, other.id}] = true
	case n < 62:
		g.blockedLinks = map[link]bool{}
	case n < 72 && h.up && h.applied > h.raft.SnapshotIndex()+20:
		h.raft.Compact(h.applied, h.encodeState())
		g.processOutput(h)
	case n < 76 && h.up && h.raft.Role() == Leader:
		h.raft.TransferLeadership()
		g.processOutput(h)
	case n < 86:
		g.changeMembership()
	case n < 92:
		if leader := g.leader(); leader != nil {
			g.restart(leader)
		}
	case n < 106:
		g.restart(h)
	case n < 110:
		if leader := g.leader(); leader != nil {
			g.isolate(leader)
		}
	case n < 120:
		g.changeMembershipRepeatedly()
	case n < 150:
		g.restartTwoVoters()
	case n < 260 && g.losePairs:
		g.changeMembership()
	case n < 202 && g.pauseProcesses && h.up:
		g.pauses++
		h.pausedUntil = g.now + g.random.Int63n(2500)
	}
}

func (g *group) changeMembershipRepeatedly() {
	g.changeMembership()
	g.after(g.random.Int63n(10), g.changeMembership)
	g.after(g.random.Int63n(30), g.changeMembership)
	for i := 0; i < 4 && g.losePairs; i++ {
		g.after(g.random.Int63n(40), g.changeMembership)
	}
}

// changeMembership makes the next membership change as the control plane does: it adds a
// learner, promotes it to voter once it has caught up, and then removes another voter.
func (g *group) changeMembership() {
	leader := g.leader()
	if leader == nil {
		return
	}
	members, ok := g.nextMembers(leader)
	if !ok || !g.proposeMembers(leader, members) {
		return
	}
	g.membershipChanges++
	if g.faultsEnabled && g.losePairs && g.random.Intn(3) == 0 {
		g.after(g.random.Int63n(60), g.restartTwoVoters)
	}
}

// nextMembers returns the member list after the next change; ok is false if no change is
// due.
func (g *group) nextMembers(leader *host) (members []Member, ok bool) {
	members = append(members, leader.raft.Members()...)
	voters := 0
	var learner identifier.Node
	for _, m := range members {
		if m.Voter {
			voters++
		} else {
			learner = m.ID
		}
	}
	switch {
	case voters > g.wantVoters:
		return g.withoutOneVoter(members, leader)
	case g.canAddHost(members) && (g.losePairs || learner == 0):
		return g.withLearner(members), true
	case learner == 0 || !caughtUp(leader, learner):
		return nil, false
	}
	for i := range members {
		members[i].Voter = members[i].Voter || members[i].ID == learner
	}
	return members, true
}

// withoutOneVoter picks a lost voter if there is one, or else a random member, and removes
// it. It returns false if the picked member is the leader or not a voter.
func (g *group) withoutOneVoter(members []Member, leader *host) ([]Member, bool) {
	removed := members[g.random.Intn(len(members))]
	for _, m := range members {
		if m.Voter && g.host(m.ID).lost {
			removed = m
		}
	}
	if !removed.Voter || removed.ID == leader.id {
		return nil, false
	}
	return withoutMember(members, removed.ID), true
}

func withoutMember(members []Member, id identifier.Node) []Member {
	var kept []Member
	for _, m := range members {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	return kept
}

// withLearner starts an empty host and returns the member list with it as a learner.
func (g *group) withLearner(members []Member) []Member {
	added := g.addHost(append([]Member(nil), members...), 0)
	g.start(added)
	return append(members, Member{ID: added.id, Addr: fmt.Sprint(added.id)})
}

// canAddHost reports whether another host may join.
func (g *group) canAddHost(members []Member) bool {
	return len(g.hosts) < g.maxHosts && len(members) < g.maxMembers
}
