// The larger blows: whole zones, whole racks, machines gone for good, several
// operators at once, and crowds of processes that come back together.

package simulation

import (
	"fmt"
	"sort"

	"orchidward/internal/api/endpoint"
)

// inZone lists every process of a zone, in a steady order.
func (w *World) inZone(zone string) []*node {
	var list []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			list = append(list, n)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// zonePower takes the power from all of a zone: keeper, gate and runners.
func (w *World) zonePower(zone string) func() {
	undos := []func(){}
	for _, k := range w.keepers {
		if k.zone == zone {
			undos = append(undos, w.stopKeeper(k))
		}
	}
	for _, g := range w.gates {
		if g.zone == zone {
			undos = append(undos, w.stopGate(g))
		}
	}
	for _, r := range w.runners {
		if r.zone == zone {
			undos = append(undos, w.stopRunner(r))
		}
	}
	return all(undos)
}

// zoneCut parts a zone from all the rest; inside it everything is in reach.
func (w *World) zoneCut(zone string) func() {
	in := map[string]bool{}
	for _, n := range w.inZone(zone) {
		in[n.name] = true
	}
	made := [][2]string{}
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if pair := [2]string{a.name, b.name}; in[a.name] != in[b.name] && !w.cuts[pair] {
				w.cuts[pair] = true
				made = append(made, pair)
			}
		}
	}
	return func() {
		for _, pair := range made {
			delete(w.cuts, pair)
		}
	}
}

// zoneGone takes a zone's machines away for good: an empty keeper comes in
// another place of the same zone, and runners under their old names with nothing.
func (w *World) zoneGone(zone string) func() {
	if w.bereft {
		return nil
	}
	w.bereft = true
	back := w.zonePower(zone)
	for _, k := range w.keepers {
		if k.zone == zone {
			w.loseDisk(k)
			break
		}
	}
	return back
}

func (w *World) stopGate(g *edge) func() {
	if !g.up {
		return nil
	}
	w.die(g.node)
	return func() {
		if !g.up {
			g.begin()
		}
	}
}

func (w *World) stopRunner(r *side) func() {
	if !r.up {
		return nil
	}
	r.crash()
	return func() {
		if !r.up && !r.gone {
			r.begin()
		}
	}
}

// goneForGood takes a runner that never comes back; at most three of them, so
// that what is left can still do all the work.
func (w *World) goneForGood(r *side) func() {
	if r.gone || w.missing >= 3 {
		return nil
	}
	w.missing++
	r.gone = true
	r.crash()
	return func() {}
}

// rackLeaves makes a whole rack say that it goes at short notice, and go.
func (w *World) rackLeaves(rack string, departs int64) func() {
	undos := []func(){}
	for _, r := range w.runners {
		if r.racked != rack || !r.up || r.frozen || r.gone {
			continue
		}
		r.drain(departs)
		life := r.life
		w.after(departs, func() {
			if r.life == life {
				r.crash()
			}
		})
		undos = append(undos, func() {
			if r.life != life && !r.up && !r.gone {
				r.begin()
			}
			if r.life == life {
				r.stay()
			}
		})
	}
	if len(undos) == 0 {
		return nil
	}
	return all(undos)
}

// race lets operators at every gate change the same cell on the same base.
func (w *World) race() {
	c := w.callers
	c.readTable(func(epoch int64) {
		for i := 0; i < 6; i++ {
			c.change(epoch, false)
		}
	})
}

// scramble has two operators close and reopen a zone at the same moment, and
// one of them settle it in the end.
func (w *World) scramble(zone string) func() {
	back := w.shut(zone)
	w.after(50, func() {
		c := w.callers
		w.Watch.ReopenRequested(zone)
		for i := 0; i < 4; i++ {
			verb := []string{"PUT", "DELETE"}[i%2]
			w.http(c.node, w.gates[i%len(w.gates)].addr, verb, endpoint.DrainPath(zone), nil, 1000, func(int, []byte) {})
		}
	})
	w.shuts[zone]++
	w.after(2500, func() {
		w.shuts[zone]++
		turn := w.shuts[zone]
		c := w.callers
		c.zone(zone, false, func() bool { return w.shuts[zone] == turn })
	})
	return back
}

// flood lays many rows into the table at once.
func (w *World) flood(n int) {
	c := w.callers
	c.readTable(func(epoch int64) {
		cells := map[string]any{}
		for i := 0; i < 150; i++ {
			cells[fmt.Sprintf("wide-%d.weight", i)] = n%100 + 1 + i
		}
		c.patch(epoch, cells, func(int, int64) {})
	})
}

// returns brings many processes down and back at the same moment.
func (w *World) returns() func() {
	undos := []func(){}
	for _, r := range w.runners {
		undos = append(undos, w.stopRunner(r))
	}
	for _, g := range w.gates[1:] {
		undos = append(undos, w.stopGate(g))
	}
	return all(undos)
}
