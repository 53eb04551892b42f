package simulation

import (
	"fmt"
	"testing"

	"orchidward/internal/consensus/raft"
)

// stopParting is how long a server goes on serving after it was told to stop, as
// the daemons do.
const stopParting = 900

// stopOrderly tells a keeper to stop; its process ends once it has left and the
// parting is over, and begins again after so many ms; 0 is never.
func (w *World) stopOrderly(k *keep, away int64) {
	life, told := k.life, w.Now
	k.mach.Leave()
	k.out()
	var look func()
	look = func() {
		switch {
		case k.life != life || !k.up:
		case k.mach.Left() && w.Now >= told+stopParting:
			w.die(k.node)
			k.mach, k.ring = nil, nil
			if away > 0 {
				w.after(away, k.begin)
			}
		default:
			w.after(10, look)
		}
	}
	look()
}

// jobGaps hands in a small job every few ms at the gates and measures the
// longest time between two acceptances, and the answers that say neither.
type jobGaps struct {
	world   *World
	last    int64
	longest int64
	at      int64
	count   int
	unknown int
}

const (
	jobGapPace   = 8
	orderGapPace = 17
)

// begin hands jobs in until a moment, and orders beside them where asked to.
func (g *jobGaps) begin(until int64, orders bool) {
	w := g.world
	body := []byte(`{"pending":"default","steps":[{"name":"s","tasks":1,"spanMs":50}]}`)
	var next func(n int)
	next = func(n int) {
		g.try(fmt.Sprintf("/v1/jobs/gilde/gap%d", n), body)
		if w.Now < until {
			w.after(jobGapPace, func() { next(n + 1) })
		}
	}
	next(0)
	var order func(n int)
	order = func(n int) {
		g.order([]string{"PUT", "DELETE"}[n%2])
		if w.Now < until {
			w.after(orderGapPace, func() { order(n + 1) })
		}
	}
	if orders {
		order(0)
	}
}

// order sends one that has no number, so that nobody may send it again.
func (g *jobGaps) order(verb string) {
	w := g.world
	gate := w.gates[w.rnd.Intn(len(w.gates))].addr
	w.http(w.callers.node, gate, verb, "/v1/closings/east", nil, 2000, func(status int, _ []byte) {
		if status == 504 || status == 0 {
			g.unknown++
		}
	})
}

func (g *jobGaps) try(path string, body []byte) {
	w := g.world
	gate := w.gates[w.rnd.Intn(len(w.gates))].addr
	w.http(w.callers.node, gate, "PUT", path, body, 2000, func(status int, _ []byte) {
		if status == 504 || status == 0 {
			g.unknown++
		}
		if status != 200 && status != 201 {
			return
		}
		if g.last > 0 && w.Now-g.last > g.longest {
			g.longest, g.at = w.Now-g.last, w.Now
		}
		g.last, g.count = w.Now, g.count+1
	})
}

// TestOrderlyStop stops the leader in order, again and again, while jobs are
// handed in every few ms: none of the answers says that an outcome is unknown,
// and the longest span without an accepted job stays under 200 ms.
func TestOrderlyStop(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			site := Gilde()
			site.Elect = 250
			w := NewWorld(seed, site)
			g := &jobGaps{world: w}
			stops := 0
			w.at(7000, func() { g.begin(19000, true) })
			for i := int64(0); i < 3; i++ {
				w.at(8000+i*3500+seed*13, func() {
					stops++
					w.stopOrderly(w.leader(), 500)
				})
			}
			w.Run(20000)
			t.Logf("longest span without an accepted job %d ms, to %d; %d accepted, %d of unknown outcome", g.longest, g.at, g.count, g.unknown)
			if stops != 3 || g.count < 1200 {
				t.Errorf("too little evidence: %d stops, %d jobs", stops, g.count)
			}
			if g.longest >= 200 || g.unknown > 0 {
				t.Errorf("%d ms without an accepted job to %d, %d answers of unknown outcome", g.longest, g.at, g.unknown)
			}
		})
	}
}

// TestRollingStop stops every keeper in order, one after another, leader and
// followers, and starts each again: somebody leads throughout.
func TestRollingStop(t *testing.T) {
	t.Parallel()
	larger(t, func(t *testing.T, site Site) {
		site.Elect = 250
		w := NewWorld(31, site)
		g := &jobGaps{world: w}
		w.at(9000, func() { g.begin(9000+int64(site.Keepers)*2500, false) })
		for i, k := range w.keepers {
			w.at(9500+int64(i)*2500, func() { w.stopOrderly(k, 800) })
		}
		w.Run(9000 + int64(site.Keepers)*2500 + 4000)
		t.Logf("longest span without an accepted job %d ms, to %d; %d accepted, %d of unknown outcome", g.longest, g.at, g.count, g.unknown)
		if g.longest >= 200 || g.unknown > 0 {
			t.Errorf("%d ms without an accepted job to %d, %d answers of unknown outcome", g.longest, g.at, g.unknown)
		}
		for _, k := range w.keepers {
			if k.mach == nil || k.mach.Raft() == nil || k.mach.Raft().Role() == raft.Candidate {
				t.Errorf("%s has not come back", k.name)
			}
		}
	})
}

// joinEmpty adds a keeper with an empty disk in a zone, started at once.
func (w *World) joinEmpty(name, zone string) *keep {
	k := w.addKeeper(name, zone)
	k.begin()
	return k
}

// voter tells whether a keeper has a vote, as the leader has it.
func (w *World) voter(k *keep) bool {
	var yes bool
	list, _ := w.voters()
	for _, mem := range list {
		yes = yes || mem.Addr == k.addr
	}
	return yes
}

// TestPlannedReplacement brings an empty keeper and, some seconds later, stops
// another for good, in order: its seat is the new one's before its process ends,
// so that a second loss may follow at once.
func TestPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{true, false} {
		for seed := int64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("leader %v/%d", leads, seed), func(t *testing.T) {
				t.Parallel()
				plannedReplacement(t, seed, leads)
			})
		}
	}
}

func plannedReplacement(t *testing.T, seed int64, leads bool) {
	site := Gilde()
	site.Elect = 250
	w := NewWorld(seed, site)
	var old, fresh *keep
	w.at(7000, func() { fresh = w.joinEmpty("k9", "north") })
	w.at(10000, func() {
		old = w.leader()
		for _, k := range w.keepers {
			if !leads && k != w.leader() && k != fresh {
				old = k
			}
		}
		w.stopOrderly(old, 0)
	})
	w.at(10000+stopParting, func() {
		if !w.voter(fresh) || w.voter(old) {
			list, _ := w.voters()
			t.Errorf("%s is about to end, and those that vote are %v", old.name, list)
		}
	})
	w.at(10000+stopParting+50, func() {
		for _, k := range w.keepers {
			if k.up && k != fresh {
				w.stopKeeper(k)
				return
			}
		}
	})
	w.Run(13500)
	if w.leader() == nil {
		t.Error("a second loss right after a planned replacement, and nobody leads")
	}
}

// leaverLosses are the ways in which a server is lost while it leaves.
var leaverLosses = map[string]func(w *World, k *keep) (undo func()){
	"killed": func(w *World, k *keep) func() { return w.stopKeeper(k) },
	"frozen": func(w *World, k *keep) func() { return w.hold(k.node) },
	"alone":  func(w *World, k *keep) func() { return w.apart(k.node, true, true) },
}

// TestLeaverLost loses a server midway through its orderly stop, leader or
// follower, at offsets from the order on: the others go on, and when it is back,
// with the disk that it had, it is one of them again.
func TestLeaverLost(t *testing.T) {
	t.Parallel()
	for how, lose := range leaverLosses {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", how, leads), func(t *testing.T) {
				t.Parallel()
				for i, offset := range []int64{0, 9, 30, 400} {
					leaverLost(t, int64(i)+1, leads, offset, lose)
				}
			})
		}
	}
}

func leaverLost(t *testing.T, seed int64, leads bool, offset int64, lose func(w *World, k *keep) (undo func())) {
	site := Gilde()
	site.Elect = 250
	w := NewWorld(seed, site)
	g := &jobGaps{world: w}
	w.at(7000, func() { g.begin(13000, false) })
	w.at(8000, func() {
		k := w.leader()
		for _, one := range w.keepers {
			if !leads && one != w.leader() {
				k = one
			}
		}
		k.mach.Leave()
		k.out()
		w.after(offset, func() {
			undo := lose(w, k)
			w.after(4000, undo)
		})
	})
	w.Run(16000)
	if g.longest > 2000 || g.count < 500 {
		t.Errorf("offset %d: %d ms without an accepted job to %d, %d accepted", offset, g.longest, g.at, g.count)
	}
	for _, k := range w.keepers {
		if k.up && k.mach.Raft().Leader() == 0 {
			t.Errorf("offset %d: %s follows nobody at the end", offset, k.name)
		}
	}
}
