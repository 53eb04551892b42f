package raft

import (
	"fmt"

	"orchidward/internal/api/identifier"
)

// restart crashes a host and, soon or late, starts it again.
func (g *group) restart(h *host) {
	if !h.up {
		return
	}
	g.crash(h)
	wait := g.random.Int63n(40)
	if g.random.Intn(3) == 0 {
		wait = g.random.Int63n(3000)
	}
	g.after(wait, func() {
		if !h.up && !h.lost {
			g.start(h)
		}
	})
}

// restartTwoVoters bounces two voters at once; now and then one of them is lost for good.
func (g *group) restartTwoVoters() {
	k := g.leader()
	if !g.losePairs || k == nil {
		return
	}
	list := []*host{}
	for _, m := range k.raft.Members() {
		if h := g.hosts[m.ID-1]; m.Voter && h.up {
			list = append(list, h)
		}
	}
	g.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) < 2 {
		return
	}
	g.pairsLost++
	for i, h := range list[:2] {
		if i == 0 && g.random.Intn(3) == 0 && g.quorumSurvives(h) {
			g.crash(h)
			h.lost = true
			g.hostsLost++
			continue
		}
		g.restart(h)
	}
}

// quorumSurvives tells whether, with one more host lost for good, the last two lists of
// members that anyone goes by or has on its disk keep a majority of voters.
func (g *group) quorumSurvives(lost *host) bool {
	for _, h := range g.hosts {
		if h.lost {
			continue
		}
		lists := [][]Member{h.snapshot.Members}
		for _, e := range h.entries {
			if e.Kind == EntryConfig {
				lists = append(lists, decodeMembers(e))
			}
		}
		if h.up {
			lists = append(lists, h.raft.Members())
		}
		for _, list := range lists[len(lists)-min(2, len(lists)):] {
			voters, left := 0, 0
			for _, m := range list {
				if m.Voter {
					voters++
				}
				if one := g.hosts[m.ID-1]; m.Voter && !one.lost && one != lost {
					left++
				}
			}
			if left <= voters/2 {
				return false
			}
		}
	}
	return true
}

// injectFault does something bad now and then, and changes seats under way.
func (g *group) injectFault() {
	h := g.hosts[g.random.Intn(len(g.hosts))]
	other := g.hosts[g.random.Intn(len(g.hosts))]
	switch n := g.random.Intn(6000); {
	case n < 8 && h.up:
		g.crash(h)
	case n < 30 && !h.up && !h.lost:
		g.start(h)
	case n < 50 && h != other:
		g.blockedLinks[[2]identifier.Node{h.id, other.id}] = true
	case n < 62:
		g.blockedLinks = map[[2]identifier.Node]bool{}
	case n < 72 && h.up && h.applied > h.raft.SnapshotIndex()+20:
		h.raft.Compact(h.applied, h.encodeState())
		g.processOutput(h)
	case n < 76 && h.up && h.raft.Role() == Leader:
		h.raft.TransferLeadership()
		g.processOutput(h)
	case n < 86:
		g.changeMembership()
	case n < 92:
		if k := g.leader(); k != nil {
			g.restart(k)
		}
	case n < 106:
		g.restart(h)
	case n < 110:
		if k := g.leader(); k != nil {
			for _, one := range g.hosts {
				if one != k {
					g.blockedLinks[[2]identifier.Node{k.id, one.id}], g.blockedLinks[[2]identifier.Node{one.id, k.id}] = true, true
				}
			}
		}
	case n < 120:
		g.changeMembership()
		g.after(g.random.Int63n(10), g.changeMembership)
		g.after(g.random.Int63n(30), g.changeMembership)
		for i := 0; i < 4 && g.losePairs; i++ {
			g.after(g.random.Int63n(40), g.changeMembership)
		}
	case n < 150:
		g.restartTwoVoters()
	case n < 260 && g.losePairs:
		g.changeMembership()
	case n < 202 && g.pauseProcesses && h.up:
		g.pauses++
		h.pausedUntil = g.now + g.random.Int63n(2500)
	}
}

// changeMembership moves one seat on the way the keepers do: a learner is taken in, made a
// voter when it has caught up, and then some other voter leaves.
func (g *group) changeMembership() {
	k := g.leader()
	if k == nil {
		return
	}
	list, voters, learner := []Member{}, 0, identifier.Node(0)
	for _, m := range k.raft.Members() {
		if m.Voter {
			voters++
		} else {
			learner = m.ID
		}
		list = append(list, m)
	}
	switch {
	case voters > g.wantVoters:
		out := list[g.random.Intn(len(list))]
		for _, m := range list {
			if m.Voter && g.hosts[m.ID-1].lost {
				out = m
			}
		}
		if !out.Voter || out.ID == k.id {
			return
		}
		for i := range list {
			if list[i].ID == out.ID {
				list = append(list[:i], list[i+1:]...)
				break
			}
		}
	case g.losePairs && g.canAddHost(list), learner == 0 && g.canAddHost(list):
		fresh := g.addHost(append([]Member(nil), list...), 0)
		list = append(list, Member{ID: fresh.id, Addr: fmt.Sprint(fresh.id)})
		g.start(fresh)
	case learner != 0:
		p := k.raft.peers[learner]
		if p == nil || p.match < k.raft.TermStart() || p.match+64 < k.raft.CommitIndex() {
			return
		}
		for i := range list {
			list[i].Voter = list[i].Voter || list[i].ID == learner
		}
	default:
		return
	}
	if k.raft.ProposeMembers(list) {
		g.membershipChanges++
		k.raft.Flush()
		g.processOutput(k)
		if g.faultsEnabled && g.losePairs && g.random.Intn(3) == 0 {
			g.after(g.random.Int63n(60), g.restartTwoVoters)
		}
	}
}

// canAddHost tells whether another host may join.
func (g *group) canAddHost(list []Member) bool {
	return len(g.hosts) < g.maxHosts && len(list) < g.maxMembers
}
