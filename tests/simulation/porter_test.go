package simulation

import (
	"fmt"
	"sort"
	"testing"

	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

// TestPorters: keepers without a disk find the group, show who leads, and never
// become members; an empty keeper and a gate whose only living seeds are porters
// find their way by them, also after the porters have lost all they knew, and
// the leader its place, while nobody who is a seed of anyone is left.
func TestPorters(t *testing.T) {
	t.Parallel()
	site := Gilde()
	site.Porters = 2
	play(t, Plan{Seed: 361, Site: site, Window: 45000, Settle: 30000, Extra: func(w *World) {
		w.Site.Rate = 40
		porters := append([]*keep(nil), w.keepers[3:]...)
		seeds := []string{"p1", "nobody", "p2"}
		know := func(when string) {
			for _, p := range porters {
				if !p.mach.KnowsLeader() || p.mach.Raft() != nil {
					t.Errorf("%s %s knows of no leader", when, p.name)
				}
			}
		}
		w.at(7000, func() { know("founded,") })
		w.at(9000, func() {
			k := w.leader()
			k.wipe()
			k.seeds = seeds
			w.after(2500, k.begin)
			w.die(w.gates[0].node)
			w.seeds = seeds
			w.gates[0].begin()
		})
		w.at(14500, func() {
			know("the leader wiped,")
			if !w.gates[0].mach.Ready(w.mono(w.gates[0].node)) {
				t.Error("a gate whose seeds are porters found no way in")
			}
		})
		w.at(20000, func() {
			w.after(1000, w.stopKeeper(porters[0]))
			w.after(1500, w.stopKeeper(porters[1]))
		})
		w.at(25000, func() {
			know("started anew,")
			for _, k := range w.keepers {
				if k == w.leader() {
					w.loseDisk(k)
					for j := range w.keepers {
						if w.keepers[j].name == k.name+"b" {
							w.keepers[j].seeds = seeds
						}
					}
					break
				}
			}
		})
		w.at(38000, func() {
			know("the leader replaced,")
			if w.leader() == nil {
				t.Error("the leader replaced, nobody leads")
				return
			}
			list := []string{}
			for _, mem := range w.leader().mach.Raft().Members() {
				list = append(list, fmt.Sprint(mem.Addr[:2], mem.Voter))
			}
			sort.Strings(list)
			if fmt.Sprint(list) != "[k1true k2true k3true]" {
				t.Errorf("members: %v", list)
			}
		})
	}})
}

// TestPorterSeeds: with one or two porters among the seeds the others found one
// group, whatever order they come up in, and a keeper that is no seed joins it.
func TestPorterSeeds(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 6; seed++ {
		site := Gilde()
		site.Porters = 2
		w := NewWorld(370+seed, site)
		w.callers.stop = 0
		w.seeds = []string{"k1", "k2", "p1"}
		if seed%2 == 0 {
			w.seeds = []string{"k2", "p2", "p1"}
		}
		for _, k := range w.keepers {
			k.seeds = w.seeds
		}
		w.Run(20000)
		founders := map[string]bool{}
		for _, k := range w.keepers[:3] {
			if k.mach.Raft() == nil {
				t.Errorf("seed %d: %s has no group", seed, k.name)
				continue
			}
			list := []string{}
			for _, m := range k.mach.Raft().Members() {
				list = append(list, fmt.Sprint(m.Addr, m.Voter))
			}
			sort.Strings(list)
			founders[fmt.Sprint(list)] = true
		}
		if len(founders) != 1 || !founders["[k1true k2true k3true]"] {
			t.Errorf("seed %d: %v", seed, founders)
		}
	}
}

// TestPorterPasses: what is asked of a porter the leader answers; with no leader
// known the asker is told so at once.
func TestPorterPasses(t *testing.T) {
	t.Parallel()
	site := Gilde()
	site.Porters = 1
	w := NewWorld(362, site)
	w.callers.stop = 0
	porter := w.keepers[3]
	ask := func() []wire.Envelope {
		m := porter.mach
		m.HandleMessage("@1", wire.Message{Request: &wire.Request{ID: 9, Method: "GET", Path: "/v1/table", Budget: 1000}}, w.mono(porter.node), w.wall(porter.node))
		list := m.TakeOutput().Messages
		return list
	}
	w.Run(400)
	if list := ask(); len(list) != 1 || list[0].To != "@1" || list[0].Message.Response == nil || !list[0].Message.Response.NotLeader || list[0].Message.Response.ID != 9 {
		t.Errorf("with no leader known: %+v", list)
	}
	w.Run(6000)
	list := ask()
	if len(list) != 1 || w.leader() == nil || string(list[0].To) != w.leader().addr || list[0].Message.Request == nil || list[0].Message.Request.Hops != 1 {
		t.Fatalf("asked with a leader known: %+v", list)
	}
	porter.mach.HandleMessage(list[0].To, wire.Message{Response: &wire.Response{ID: list[0].Message.Request.ID, Status: 200}}, w.mono(porter.node), w.wall(porter.node))
	if back := porter.mach.TakeOutput().Messages; len(back) != 1 || back[0].To != "@1" || back[0].Message.Response == nil || back[0].Message.Response.ID != 9 || back[0].Message.Response.Status != 200 {
		t.Errorf("the leader's answer came back as %+v", back)
	}
	for _, k := range w.keepers[:3] {
		w.stopKeeper(k)
	}
	w.Run(6000 + 3000 + int64(controlplane.TickInterval))
	if list = ask(); len(list) != 1 || list[0].Message.Response == nil || !list[0].Message.Response.NotLeader {
		t.Errorf("3 s after the leader's end: %+v", list)
	}
}
