package simulation

import (
	"fmt"
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/invariants"
)

// partners finds a runner that works on a gang others work on too.
func (w *World) partners() *side {
	var r *side
	k := w.leader()
	if k == nil {
		return nil
	}
	b := k.mach.State()
	best := int64(0)
	for _, one := range w.runners {
		n := b.Runners[one.boot.Name]
		if n == nil || !one.up || one.frozen {
			continue
		}
		for _, id := range n.LeaseIDs() {
			g := b.Leases[id]
			if g.Demand.Cores < wide {
				continue
			}
			if st := b.Jobs[g.Task.Job].Spec.Steps[g.Task.Step]; st.Gang && g.RevokeReason == "" && int64(g.ExpectedRun) > best {
				best, r = int64(g.ExpectedRun), one
			}
		}
	}
	if best < 10000 {
		return nil
	}
	return r
}

// wide is more than half a runner: no two members share one.
const wide = 9

// gangScenes are the single faults, and the pairs that slow their noticing,
// that leave a gang in part.
var gangScenes = []struct {
	name string
	most int64
	hit  func(w *World, r *side)
}{
	{"partner crashes", 4500, func(w *World, r *side) { w.goneForGood(r) }},
	{"partner freezes", 4500, func(w *World, r *side) { w.after(20000, w.hold(r.node)) }},
	{"partner is cut off", invariants.MaxIncompleteGang, func(w *World, r *side) { w.after(20000, w.apart(r.node, true, true)) }},
	{"partner is not heard", invariants.MaxIncompleteGang, func(w *World, r *side) { w.after(20000, w.apart(r.node, true, false)) }},
	{"partner hears nothing", invariants.MaxIncompleteGang, func(w *World, r *side) { w.after(20000, w.apart(r.node, false, true)) }},
	{"partner and leader crash", invariants.MaxIncompleteGang, func(w *World, r *side) {
		w.goneForGood(r)
		w.strike(Fault{Dur: 15000, Kind: "leader-crash"})
	}},
	{"partner goes, then leader", invariants.MaxIncompleteGang, func(w *World, r *side) {
		w.goneForGood(r)
		w.after(2200, func() { w.strike(Fault{Dur: 15000, Kind: "leader-freeze"}) })
	}},
	{"partner goes with the core", invariants.MaxIncompleteGang, func(w *World, r *side) {
		w.goneForGood(r)
		w.strike(Fault{Dur: 15000, Kind: "power"})
	}},
}

// TestGangInPart takes a gang's partner away in every way, with and without
// the core, and holds the longest time any member goes on alone to a bound.
func TestGangInPart(t *testing.T) {
	for _, one := range gangScenes {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			list, hits := []int64{}, 0
			for seed := int64(1); seed <= 2; seed++ {
				p := Plan{Seed: seed, Window: 45000, Settle: 60000, Site: Gilde(), Extra: func(w *World) {
					w.Site.Rate = 50
					w.at(9000, func() {
						w.callers.hand("stock", job.Step{Name: "wide", Tasks: 3, Gang: true, Demand: job.Demand{Cores: wide, Mem: 512}, ExpectedRun: 25000})
					})
					var look func()
					look = func() {
						if r := w.partners(); r != nil {
							hits++
							one.hit(w, r)
							return
						}
						if w.Now < 30000 {
							w.after(100, look)
						}
					}
					w.at(10000, look)
				}}
				w := Run(p)
				judge(t, p, w)
				list = append(list, worst(w.Watch.Spans["gang in part"]))
			}
			if hits == 0 {
				t.Fatal("no gang was ever hit")
			}
			t.Logf("%s", fmt.Sprintf("longest in part, by seed: %v ms", list))
			if worst(list) > one.most {
				t.Errorf("a gang went on in part for %d ms, want at most %d", worst(list), one.most)
			}
		})
	}
}
