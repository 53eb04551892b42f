package simulation

import (
	"fmt"
	"sort"
	"testing"
)

// TestEveryAddressChanges replaces all three keepers by empty ones at new
// addresses, one after another, and all gates by others, while runners and
// callers go on; in the end nothing answers at any address that was first known.
func TestEveryAddressChanges(t *testing.T) {
	t.Parallel()
	play(t, Plan{Seed: 71, Window: 75000, Settle: 40000, Extra: func(w *World) {
		w.Site.Rate = 40
		swap := func(i int) {
			k := w.keepers[i]
			w.loseDisk(k)
			w.keepers[i].seeds = []string{k.name, w.gates[0].addr, "nobody"}
		}
		w.at(8000, func() { swap(0) })
		w.at(25000, func() { swap(1) })
		w.at(42000, func() { swap(2) })
		w.at(58000, func() {
			w.seeds = []string{"k1b", "nobody", "k3b"}
			for i := 4; i <= 6; i++ {
				w.addGate(fmt.Sprintf("g%d", i), zones[i%3]).begin()
			}
		})
		w.at(62000, func() {
			for _, g := range w.gates[:3] {
				w.die(g.node)
			}
			w.gates = w.gates[3:]
		})
		w.at(70000, func() {
			names := []string{}
			if w.leader() == nil {
				t.Error("nobody leads")
				return
			}
			for _, m := range w.leader().mach.Raft().Members() {
				names = append(names, fmt.Sprint(m.Addr, m.Voter))
			}
			sort.Strings(names)
			if fmt.Sprint(names) != "[k1btrue k2btrue k3btrue]" {
				t.Errorf("members: %v", names)
			}
			for _, r := range w.runners {
				for _, g := range r.mach.Gateways() {
					if g == "g1" || g == "g2" || g == "g3" {
						t.Errorf("%s still knows %v", r.name, r.mach.Gateways())
					}
				}
			}
		})
	}})
}

// TestLossesInTurn: machines are lost one after another, each a few seconds
// after the one before is back, and each time the group must be whole again by
// then: a disk is lost and back empty at its old address, then the leader is
// replaced at another address, then a third goes for a while.
func TestLossesInTurn(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 4; seed++ {
		play(t, Plan{Seed: 200 + seed, Window: 32000, Settle: 30000, Extra: func(w *World) {
			w.Site.Rate = 30
			other := func(i int) *keep { return w.keepers[(i+1)%3] }
			at := 0
			w.at(8000, func() {
				for i, k := range w.keepers {
					if k != w.leader() {
						at = i
					}
				}
				w.keepers[at].wipe()
			})
			w.at(10800, func() { w.keepers[at].begin() })
			w.at(14800, func() {
				for i, k := range w.keepers {
					if k == w.leader() {
						w.loseDisk(k)
						at = i
						break
					}
				}
			})
			w.at(21000, func() { w.stopKeeper(other(at)) })
			w.at(24500, func() {
				if w.leader() == nil {
					t.Errorf("seed %d: three losses in turn, and nobody leads", seed)
				}
				other(at).begin()
			})
		}})
	}
}

// BenchmarkFleet is what a second of a calm fleet costs, core, gates and
// runners together, at growing numbers of runners; polls/s is the count of
// polls answered in a virtual second.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{11, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			site := Gilde()
			site.Runners = n
			w := NewWorld(81, site)
			w.callers.stop = 0
			w.Run(8000)
			was := w.Polls
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				w.Run(w.Now + 1000)
			}
			b.ReportMetric(float64(w.Polls-was)/float64(b.N), "polls/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(w.Polls-was), "us/poll")
		})
	}
}
