package simulation

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// The larger sites: of their core machines two may be lost at once, or a zone.
func sixOf3() Site {
	s := Gilde()
	s.Keepers = 6
	return s
}

func eightOf4() Site {
	s := Gilde()
	s.Keepers, s.Zones = 8, 4
	return s
}

func larger(t *testing.T, scene func(t *testing.T, site Site)) {
	for name, site := range map[string]Site{"6 in 3": sixOf3(), "8 in 4": eightOf4()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scene(t, site)
		})
	}
}

// voters of the group as its leader has it, and how many there are by zone.
func (w *World) voters() (list []raft.Member, held map[identifier.Domain]int) {
	held = map[identifier.Domain]int{}
	if k := w.leader(); k != nil {
		for _, mem := range k.mach.Raft().Members() {
			if mem.Voter {
				list = append(list, mem)
				held[mem.Domain]++
			}
		}
	}
	return list, held
}

func (w *World) keeperOf(id identifier.Node) *keep {
	for _, one := range w.keepers {
		if one.up && one.mach != nil && one.mach.Config().ID == id {
			return one
		}
	}
	return nil
}

// lag is how far behind a member may be, on its disk, when it becomes a voter:
// what the leader allows, and what is decided while word of it travels.
const lag = 64 + 40

// wary fails the test when a voter is found that did not have the log on its
// disk when it became one.
func wary(t *testing.T, w *World) *int {
	known := map[identifier.Node]bool{}
	risen := new(int)
	var look func()
	look = func() {
		list, _ := w.voters()
		for _, mem := range list {
			if known[mem.ID] {
				continue
			}
			if len(known) >= 3 {
				*risen++
				saved, most := identifier.Index(0), w.leader().mach.Raft().CommitIndex()
				if k := w.keeperOf(mem.ID); k != nil {
					saved = k.saved
				}
				if saved == 0 || saved+lag < most {
					t.Errorf("at %d %s became a voter with its log at %d, committed is %d", w.Now, mem.Addr, saved, most)
				}
			}
			known[mem.ID] = true
		}
		w.after(5, look)
	}
	w.at(1000, look)
	return risen
}

// spread fails the test unless five vote, as evenly over the zones as can be.
func spread(t *testing.T, w *World, when string) {
	t.Helper()
	list, held := w.voters()
	counts := []int{}
	for _, n := range held {
		counts = append(counts, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(counts)))
	want := "[2 2 1]"
	if w.Site.Zones == 4 {
		want = "[2 1 1 1]"
	}
	if fmt.Sprint(counts) != want {
		t.Errorf("%s, at %d: %d voters, by zone %v, want %s", when, w.Now, len(list), held, want)
	}
}

// TestFiveSeats: a larger site comes to have five voters, and keeps three when
// three of its machines stay away.
func TestFiveSeats(t *testing.T) {
	larger(t, func(t *testing.T, site Site) {
		play(t, Plan{Seed: 301, Site: site, Window: 45000, Settle: 30000, Extra: func(w *World) {
			wary(t, w)
			w.Site.Rate = 40
			w.at(7000, func() { spread(t, w, "founded") })
			left := []*keep{}
			for i := int64(0); i < int64(site.Keepers)-4; i++ {
				w.at(8000+i*4000, func() {
					for _, k := range w.keepers {
						if k.up && k != w.leader() {
							w.stopKeeper(k)
							left = append(left, k)
							return
						}
					}
				})
			}
			w.at(36000, func() {
				if list, held := w.voters(); len(list) != 3 {
					t.Errorf("with four alive for long: %d voters, by zone %v", len(list), held)
				}
				for _, k := range left {
					k.begin()
				}
			})
			w.at(44000, func() { spread(t, w, "all are back") })
		}})
	})
}

// TestZoneLost takes the power from each zone in turn, and then all of a zone's
// machines for good, to be replaced by empty ones.
func TestZoneLost(t *testing.T) {
	larger(t, func(t *testing.T, site Site) {
		for seed, zone := range site.coreZones() {
			gap, risen := int64(0), new(int)
			play(t, Plan{Seed: 310 + int64(seed), Site: site, Window: 50000, Settle: 30000, Extra: func(w *World) {
				risen = wary(t, w)
				w.Site.Rate = 40
				w.longest(7000, 49000, &gap)
				var back func()
				w.at(9000, func() { back = w.zonePower(zone) })
				w.at(15000, func() {
					if w.leader() == nil {
						t.Errorf("zone %s is lost, and 6 s later nobody leads", zone)
					}
					back()
				})
				w.at(24000, func() { spread(t, w, "zone "+zone+" is back") })
				w.at(26000, func() {
					for _, k := range w.keepers {
						if k.zone == zone {
							k.wipe()
							k.slow = 300
							w.after(9000, k.begin)
						}
					}
				})
				w.at(34000, func() {
					if w.leader() == nil {
						t.Errorf("zone %s is gone for good, and 8 s later nobody leads", zone)
					}
				})
				w.at(40000, func() {
					for _, k := range w.keepers {
						k.slow = 0
					}
				})
				w.at(49000, func() { spread(t, w, "zone "+zone+" is replaced") })
			}})
			if gap > 12000 || *risen < 2 {
				t.Errorf("zone %s: longest without an answer %d ms, %d became voters", zone, gap, *risen)
			}
			t.Logf("zone %s: longest without an answer %d ms; %d became voters later", zone, gap, *risen)
		}
	})
}

// pair picks two voters, the leader one of them or not, of different zones.
func (w *World) pair(lead bool) []*keep {
	var list []*keep
	voters, _ := w.voters()
	for _, mem := range voters {
		k := w.keeperOf(mem.ID)
		switch {
		case k == nil, len(list) == 1 && k.zone == list[0].zone, !lead && k == w.leader():
		case len(list) < 2:
			list = append(list, k)
		}
	}
	if lead && len(list) == 2 && list[0] != w.leader() && list[1] != w.leader() {
		list[1] = w.leader()
	}
	return list
}

// TestTwoLostAtOnce takes two voters at the same moment; one or both of them
// come back empty, on slow disks. Nobody votes before it has caught up, and in
// the midst of it a third machine may go for a while.
func TestTwoLostAtOnce(t *testing.T) {
	larger(t, func(t *testing.T, site Site) {
		for seed := int64(0); seed < 4; seed++ {
			gap, risen := int64(0), new(int)
			play(t, Plan{Seed: 330 + seed, Site: site, Window: 45000, Settle: 30000, Extra: func(w *World) {
				risen = wary(t, w)
				w.Site.Rate = 60
				w.longest(7000, 44000, &gap)
				w.at(9000, func() {
					spread(t, w, "before")
					for i, k := range w.pair(seed%2 == 0) {
						if i == 0 || seed > 1 {
							k.wipe()
							k.slow = 400
						} else {
							k.crash()
						}
						w.after(2500+int64(i)*500, k.begin)
					}
				})
				w.at(14500, func() {
					if w.leader() == nil {
						t.Errorf("seed %d: two are lost, and nobody leads", seed)
						return
					}
					w.after(3000, w.stopKeeper(w.leader()))
				})
				w.at(19000, func() {
					if w.leader() == nil {
						t.Errorf("seed %d: the next leader is lost, and nobody leads", seed)
					}
				})
				w.at(22000, func() {
					for _, k := range w.keepers {
						k.slow = 0
					}
				})
				w.at(40000, func() { spread(t, w, "all are back") })
			}})
			if gap > 12000 || *risen < 2 {
				t.Errorf("seed %d: longest without an answer %d ms, %d became voters", seed, gap, *risen)
			}
			t.Logf("seed %d: longest without an answer %d ms; %d became voters later", seed, gap, *risen)
		}
	})
}

// TestLeaderReplacedOldSeeds replaces two leaders, the second of them none of
// the first start's seeds, by empty machines at other addresses that know only
// the addresses of the first start.
func TestLeaderReplacedOldSeeds(t *testing.T) {
	larger(t, func(t *testing.T, site Site) {
		play(t, Plan{Seed: 341, Site: site, Window: 45000, Settle: 30000, Extra: func(w *World) {
			wary(t, w)
			w.Site.Rate = 40
			seed := func(k *keep) bool { return k != nil && strings.Contains(strings.Join(w.seeds, " "), k.name) }
			replace := func() {
				for i, k := range w.keepers {
					if k == w.leader() {
						w.loseDisk(k)
						w.keepers[i].seeds = w.seeds
						return
					}
				}
				t.Errorf("at %d nobody leads", w.Now)
			}
			w.at(9000, replace)
			for at := int64(13000); at < 28000; at += 3000 {
				w.at(at, func() {
					if k := w.leader(); seed(k) {
						w.after(1500, w.stopKeeper(k))
					}
				})
			}
			w.at(30000, func() {
				if seed(w.leader()) {
					t.Error("too little evidence: a seed leads still")
				}
				replace()
			})
			w.at(42000, func() {
				spread(t, w, "two leaders were replaced")
				fresh := 0
				for _, mem := range w.leader().mach.Raft().Members() {
					if strings.HasSuffix(mem.Addr, "b") {
						fresh++
					}
				}
				if fresh != 2 {
					t.Errorf("two leaders were replaced, members are: %v", w.leader().mach.Raft().Members())
				}
			})
		}})
	})
}

// TestAllKilled kills every keeper at once, again and again, each back within a
// second. With the timing of the platform there is a leader again within 2 s of
// the last one's return, and nothing acknowledged is lost.
func TestAllKilled(t *testing.T) {
	larger(t, func(t *testing.T, site Site) {
		site.Elect = 250
		gaps := []int64{}
		for seed := int64(351); seed < 354; seed++ {
			play(t, Plan{Seed: seed, Site: site, Window: 30000, Settle: 30000, Extra: func(w *World) {
				for i := int64(0); i < 4; i++ {
					at := 8000 + i*5000 + seed*7%100
					w.at(at, func() {
						last := int64(0)
						for _, k := range w.keepers {
							wait := w.rnd.Int63n(1000)
							last = max(last, wait)
							w.after(wait, w.stopKeeper(k))
						}
						var look func()
						look = func() {
							if k := w.leader(); k != nil && k.mach.Raft().CommitIndex() >= k.mach.Raft().TermStart() {
								gaps = append(gaps, w.Now-at-last)
								return
							}
							if w.Now-at-last > 2000 {
								t.Errorf("seed %d: all are back for 2 s, and nobody leads", seed)
								return
							}
							w.after(5, look)
						}
						w.after(last, look)
					})
				}
			}})
		}
		t.Logf("from the last one's return to a leader: %v ms", gaps)
	})
}
