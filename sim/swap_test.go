package sim

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
				for _, g := range r.mach.Gates() {
					if g == "g1" || g == "g2" || g == "g3" {
						t.Errorf("%s still knows %v", r.name, r.mach.Gates())
					}
				}
			}
		})
	}})
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
