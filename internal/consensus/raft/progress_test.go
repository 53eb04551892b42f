package raft

import (
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
)

const (
	// progressMs is how soon a group must commit again after a loss that it is
	// to bear; restMs is what it is given to be whole again.
	progressMs = 8000
	restMs     = 6000
)

// The losses of a round.
const (
	handsOnAndStops = iota
	twoWiped
	oneReplacedInAChange
	staleReturn
	lossKinds
)

// lossRound has the group bear one loss, of two of five at most, and wants it to
// commit again in time.
func (g *group) lossRound(kind int) {
	before := g.top
	switch kind {
	case handsOnAndStops:
		g.handOnAndStop()
	case twoWiped:
		for _, h := range g.voting(2) {
			g.crash(h)
			h.gone = true
			g.wiped++
		}
	case oneReplacedInAChange:
		g.welcome()
		for _, h := range g.voting(1) {
			g.crash(h)
			h.gone = true
			g.wiped++
		}
	case staleReturn:
		before = g.staleReturns()
	}
	for end := g.now + progressMs; g.now < end && g.top < before+5 && g.failed == ""; {
		g.step(false)
	}
	if g.top < before+5 {
		g.fail("loss %d: %d ms later %d entries are committed, %d before", kind, progressMs, g.top, before)
	}
	g.recover()
}

// handOnAndStop stops a leader in order: it hands leadership on and exits, and
// comes back later.
func (g *group) handOnAndStop() {
	k := g.head()
	k.r.TransferLeadership()
	g.out(k)
	g.in(1+g.rnd.Int63n(60), func() { g.crash(k) })
	g.in(1500, func() { g.begin(k) })
}

// staleReturns has two members be away for long; in the moment they are back,
// two of those that know more are lost. It tells what was committed then.
func (g *group) staleReturns() identifier.Index {
	stale := g.voting(2)
	for _, h := range stale {
		g.crash(h)
	}
	for end := g.now + 4000; g.now < end; {
		g.step(false)
	}
	lost := g.voting(2)
	for _, h := range lost {
		g.crash(h)
	}
	for _, h := range stale {
		g.begin(h)
	}
	g.in(progressMs+100, func() {
		for _, h := range lost {
			if !h.up {
				g.begin(h)
			}
		}
	})
	return g.top
}

// voting picks live voters of the leader's list, the leader among them or not.
func (g *group) voting(n int) []*host {
	var out []*host
	k := g.head()
	if k == nil {
		return nil
	}
	for _, i := range g.rnd.Perm(len(k.r.Members())) {
		m := k.r.Members()[i]
		if h := g.hosts[m.ID-1]; m.Voter && h.up && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

// recover gives the group time, with empty hosts that take the lost ones' seats.
func (g *group) recover() {
	for end := g.now + progressMs + restMs; g.now < end && g.failed == ""; {
		g.step(false)
		if g.now%150 == 0 {
			g.repair()
		}
	}
}

// seats is the leader's list with what this model knows of those on it.
type seats struct {
	list                   []Member
	voters, learners       int
	lost, ready, lostOther int
}

func (g *group) seatsOf(k *host) seats {
	s := seats{list: append([]Member(nil), k.r.Members()...), lost: -1, ready: -1, lostOther: -1}
	for i, m := range s.list {
		gone, p := g.hosts[m.ID-1].gone, k.r.peers[m.ID]
		switch {
		case m.Voter && gone:
			s.lost = i
		case gone:
			s.lostOther = i
		case !m.Voter && p != nil && p.match >= k.r.TermStart() && p.match+64 >= k.r.CommitIndex():
			s.ready = i
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
	k := g.head()
	if k == nil {
		return
	}
	s := g.seatsOf(k)
	switch {
	case s.lost >= 0 && s.voters > 5:
		g.change(k, append(s.list[:s.lost], s.list[s.lost+1:]...))
	case s.ready >= 0 && (s.lost >= 0 || s.voters < 5):
		s.list[s.ready].Voter = true
		g.change(k, s.list)
	case s.lostOther >= 0:
		g.change(k, append(s.list[:s.lostOther], s.list[s.lostOther+1:]...))
	case s.learners == 0:
		g.welcome()
	}
}

// welcome takes an empty host in as a learner.
func (g *group) welcome() {
	k := g.head()
	if k == nil || len(g.hosts) >= g.hostsMost {
		return
	}
	list := append([]Member(nil), k.r.Members()...)
	fresh := g.add(list, 0)
	g.begin(fresh)
	g.change(k, append(list, Member{ID: fresh.id, Addr: fmt.Sprint(fresh.id)}))
}

func (g *group) change(k *host, list []Member) {
	if k.r.ProposeMembers(list) {
		k.r.Flush()
		g.out(k)
	}
}

// whole tells whether five vote, all of them live and close behind.
func (g *group) whole() bool {
	k := g.head()
	if k == nil {
		return false
	}
	voters := 0
	for _, m := range k.r.Members() {
		h := g.hosts[m.ID-1]
		if m.Voter && (!h.up || h.at+50 < g.top) {
			return false
		}
		if m.Voter {
			voters++
		}
	}
	return voters == 5
}

// TestProgressOfFive: losses one after another, each of two of five at most, by
// an orderly stop of the leader, wiped disks, a replacement in the midst of a
// change, and members long away that return in the moment others are lost. The
// group commits again in time after each, its members have the same state at the
// same index, and none that lacks a committed entry ever leads.
func TestProgressOfFive(t *testing.T) {
	const seeds = 10
	rounds, wiped := make([]int, seeds), make([]int, seeds)
	t.Run("seeds", func(t *testing.T) {
		for i := range rounds {
			t.Run(fmt.Sprint(i+1), func(t *testing.T) {
				t.Parallel()
				g := weather(int64(i + 1))
				g.disk, g.size, g.want, g.most, g.hostsMost, g.pairs, g.compactOften = 2, 4, 5, 7, 60, true, true
				g.tail = &tailLimit{entries: 20, bytes: 1 << 20, loadingBytes: 1 << 20}
				g.found(5)
				g.recover()
				for n := 0; n < 8 && g.failed == ""; n++ {
					if !g.whole() {
						g.fail("round %d: not whole after %d ms", n, progressMs+restMs)
						break
					}
					g.lossRound((i + n) % lossKinds)
					rounds[i]++
				}
				if g.failed != "" {
					t.Errorf("seed %d: %s", i+1, g.failed)
				}
				wiped[i] = g.wiped
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
