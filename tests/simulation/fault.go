// Faults: a schedule is drawn from the seed, and can be cut down to the few
// faults that make a failing run fail.

package simulation

import (
	"fmt"
	"math/rand"
	"sort"
)

// Fault is one fault of a schedule: it begins at At and lasts Dur, both in
// milliseconds of simulated time. A and B choose what it strikes, by remainder of
// the number of candidates; for some kinds B is an amount instead.
type Fault struct {
	At, Dur int64
	Kind    string
	A, B    int
}

func (f Fault) String() string {
	return fmt.Sprintf("{%d, %d, %q, %d, %d}", f.At, f.Dur, f.Kind, f.A, f.B)
}

// Kinds a schedule draws from, each with its weight.
var Kinds = []struct {
	Name string
	Odds int
}{
	{"keeper-crash", 4}, {"keeper-freeze", 4}, {"keeper-cut", 4}, {"keeper-alone", 3}, {"keeper-deaf", 2}, {"keeper-slow", 3}, {"keeper-lost", 1},
	{"power", 1}, {"clock", 4}, {"gate-crash", 3}, {"gate-freeze", 2}, {"gate-cut", 3}, {"runner-crash", 4}, {"runner-freeze", 4}, {"runner-cut", 4},
	{"runner-drain", 5}, {"runner-sick", 2}, {"zone", 6}, {"leader-crash", 4}, {"leader-freeze", 4}, {"leader-alone", 3}, {"storm", 2}, {"rain", 2}, {"crowd", 1},
	{"zone-power", 2}, {"zone-cut", 3}, {"zone-gone", 1}, {"keeper-stall", 3}, {"gate-alone", 2}, {"runner-gone", 2}, {"rack-leave", 3},
	{"race", 2}, {"scramble", 2}, {"flood", 1}, {"returns", 1},
}

// Draw makes a schedule within a window.
func Draw(seed int64, from, to int64, count int) []Fault {
	var list []Fault
	rnd := rand.New(rand.NewSource(seed))
	sum := 0
	for _, k := range Kinds {
		sum += k.Odds
	}
	lost := false
	for len(list) < count {
		n := rnd.Intn(sum)
		f := Fault{At: from + rnd.Int63n(to-from), A: rnd.Intn(1000), B: rnd.Intn(1000)}
		for _, k := range Kinds {
			if n -= k.Odds; n < 0 {
				f.Kind = k.Name
				break
			}
		}
		f.Dur = 200 + rnd.Int63n(1500)
		if rnd.Intn(2) == 0 {
			f.Dur = 2000 + rnd.Int63n(16000)
		}
		if f.Kind == "keeper-lost" || f.Kind == "zone-gone" {
			if lost {
				continue
			}
			lost = true
		}
		f.Dur = min(f.Dur, to-f.At)
		list = append(list, f)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

func (w *World) leader() *keep {
	var k *keep
	for _, one := range w.keepers {
		if one.leads() && (k == nil || one.mach.Raft().Term() > k.mach.Raft().Term()) {
			k = one
		}
	}
	return k
}

// strike brings a fault about and arranges for its end.
func (w *World) strike(f Fault) {
	w.note("FAULT %v", f)
	undo := w.cause(f)
	if undo != nil {
		w.Struck[f.Kind]++
	}
	w.after(f.Dur, func() {
		w.note("heal %s", f.Kind)
		if undo != nil {
			undo()
		}
	})
}

func (w *World) cause(f Fault) func() {
	k := w.keepers[f.A%len(w.keepers)]
	g := w.gates[f.A%len(w.gates)]
	r := w.runners[f.A%len(w.runners)]
	if lead := w.leader(); lead != nil && len(f.Kind) > 6 && f.Kind[:6] == "leader" {
		k = lead
	}
	switch f.Kind {
	case "keeper-crash", "leader-crash":
		return w.stopKeeper(k)
	case "keeper-freeze", "leader-freeze":
		return w.hold(k.node)
	case "keeper-cut":
		return w.sever(k.node, w.keepers[f.B%len(w.keepers)].node, false)
	case "keeper-alone", "leader-alone":
		return w.apart(k.node, true, true)
	case "keeper-deaf":
		return w.apart(k.node, f.B%2 == 0, f.B%2 == 1)
	case "keeper-slow":
		k.slow = 200 + int64(f.B)*2
		return func() { k.slow = 0 }
	case "keeper-lost":
		if w.bereft {
			return nil
		}
		w.bereft = true
		w.loseDisk(k)
		return func() {}
	case "keeper-stall":
		k.stall = w.Now + f.Dur
		return func() {}
	case "zone-power":
		return w.zonePower(zones[f.A%3])
	case "zone-cut":
		return w.zoneCut(zones[f.A%3])
	case "zone-gone":
		return w.zoneGone(zones[f.A%3])
	case "gate-alone":
		return w.apart(g.node, true, true)
	case "runner-gone":
		return w.goneForGood(r)
	case "rack-leave":
		return w.rackLeaves(r.racked, 500+int64(f.B)*4)
	case "race":
		w.race()
		return func() {}
	case "scramble":
		return w.scramble(zones[f.B%len(zones)])
	case "flood":
		w.flood(f.B)
		return func() {}
	case "returns":
		return w.returns()
	case "power":
		undos := []func(){}
		for _, one := range w.keepers {
			undos = append(undos, w.stopKeeper(one))
		}
		return all(undos)
	case "clock":
		return w.jump(k, f.B)
	case "gate-crash":
		return w.stopGate(g)
	case "gate-freeze":
		return w.hold(g.node)
	case "gate-cut":
		return w.sever(g.node, w.keepers[f.B%len(w.keepers)].node, true)
	case "runner-crash":
		return w.stopRunner(r)
	case "runner-freeze":
		return w.hold(r.node)
	case "runner-cut":
		return w.apart(r.node, true, f.B%2 == 0)
	case "runner-drain":
		return w.leave(r, f)
	case "runner-sick":
		r.sick = 80
		r.mach.SetFaults(int64(f.B)%80, r.boot.DefectPercent+80)
		return func() { r.sick = 0; r.mach.SetFaults(0, w.Site.Faulty) }
	case "zone":
		return w.shut(zones[f.B%len(zones)])
	case "storm":
		for i := 0; i < 200; i++ {
			w.after(int64(i)*5, func() { w.callers.readTable(func(epoch int64) { w.callers.change(epoch, false) }) })
		}
		return func() {}
	case "rain":
		w.Site.Loss += 50
		return func() { w.Site.Loss -= 50 }
	case "crowd":
		if w.Site.Rate >= 1000 {
			return nil
		}
		w.Site.Rate *= 10
		return func() { w.Site.Rate /= 10 }
	default:
		panic("sim: no such fault: " + f.Kind)
	}
}

func all(list []func()) func() {
	return func() {
		for _, one := range list {
			if one != nil {
				one()
			}
		}
	}
}

func (w *World) stopKeeper(k *keep) func() {
	if !k.up {
		return nil
	}
	k.crash()
	return func() {
		if !k.up && !k.gone {
			k.begin()
		}
	}
}

func (w *World) hold(n *node) func() {
	if !n.up || n.frozen {
		return nil
	}
	life := n.life
	w.freeze(n)
	return func() {
		if n.life == life {
			w.wake(n)
		}
	}
}

// sever cuts a to b, and back as well when both is set.
func (w *World) sever(a, b *node, both bool) func() {
	if a == b {
		return nil
	}
	w.cuts[[2]string{a.name, b.name}] = true
	if both {
		w.cuts[[2]string{b.name, a.name}] = true
	}
	return func() {
		delete(w.cuts, [2]string{a.name, b.name})
		delete(w.cuts, [2]string{b.name, a.name})
	}
}

// apart cuts a node off from all others, in either direction or both.
func (w *World) apart(n *node, out, in bool) func() {
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		if out {
			w.cuts[[2]string{n.name, other.name}] = true
		}
		if in {
			w.cuts[[2]string{other.name, n.name}] = true
		}
	}
	return func() {
		for _, other := range w.nodes {
			delete(w.cuts, [2]string{n.name, other.name})
			delete(w.cuts, [2]string{other.name, n.name})
		}
	}
}

// jump sets a keeper's clock wrong, back or forward by up to hours. Several may
// be wrong at once, but no two alike: two that agree cannot be told from right.
func (w *World) jump(k *keep, b int) func() {
	by := int64(b%200-100) * 100_000
	for _, one := range w.keepers {
		if one != k && one.skew != 0 && by-one.skew < 60_000 && one.skew-by < 60_000 {
			by += 120_000
		}
	}
	k.skew = by
	return func() { k.skew = 0 }
}

// loseDisk replaces a keeper by an empty one at a new address.
func (w *World) loseDisk(k *keep) {
	k.crash()
	k.gone = true
	fresh := w.addKeeper(k.name+"b", k.zone)
	for i, one := range w.keepers {
		if one == k {
			w.keepers[i] = fresh
		}
	}
	w.keepers = w.keepers[:len(w.keepers)-1]
	fresh.seeds = append([]string{w.gates[0].addr}, w.seeds...)
	w.after(1000, fresh.begin)
}

func (w *World) leave(r *side, f Fault) func() {
	if !r.up || r.frozen {
		return nil
	}
	r.drain(int64(f.B) * 10)
	return func() {
		if f.B%3 == 0 {
			r.crash()
			w.after(2000, func() {
				if !r.up && !r.gone {
					r.begin()
				}
			})
			return
		}
		r.stay()
	}
}

func (w *World) shut(zone string) func() {
	w.shuts[zone]++
	turn := w.shuts[zone]
	still := func() bool { return w.shuts[zone] == turn }
	w.callers.zone(zone, true, still)
	return func() {
		if still() {
			w.shuts[zone]++
			turn := w.shuts[zone]
			w.callers.zone(zone, false, func() bool { return w.shuts[zone] == turn })
		}
	}
}
