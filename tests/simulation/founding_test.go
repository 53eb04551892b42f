package simulation

import (
	"fmt"
	"math/rand"
	"testing"
)

// seeded makes a world whose first start knows the given seeds.
func seeded(w *World, seeds ...string) {
	w.seeds = seeds
	for _, k := range w.keepers {
		k.seeds = seeds
	}
}

// leased counts the leaders that may act at this moment: of one group there is
// never more than one, so that two are two groups.
func (w *World) leased() int {
	var n int
	for _, k := range w.keepers {
		if k.leads() && k.mach.Raft().HasLease(w.mono(k.node)) {
			n++
		}
	}
	return n
}

// single fails the test when two lead at once.
func single(t *testing.T, w *World, seed int64) {
	told := false
	var look func()
	look = func() {
		if w.leased() > 1 && !told {
			told = true
			t.Errorf("seed %d, at %d: two groups", seed, w.Now)
		}
		w.after(10, look)
	}
	w.at(10, look)
}

// TestOneGroup lets crashes, cuts, restarted porters and a lost disk loose on
// first starts past a porter, at every moment of them. There are never two
// groups, and where no disk was lost there is one in the end.
func TestOneGroup(t *testing.T) {
	ends := map[bool]int{}
	for seed := int64(1); seed <= 150; seed++ {
		site := Gilde()
		site.Keepers, site.Porters, site.Runners = 4+int(seed%3), 2, 0
		w := NewWorld(seed, site)
		w.callers.stop = 0
		seeded(w, "k1", "k2", "p1")
		if seed%5 == 0 {
			seeded(w, "k1", "p1", "p2")
		}
		single(t, w, seed)
		rnd := rand.New(rand.NewSource(seed))
		undos := []func(){}
		for at := int64(500); at < 9000; at += 200 + rnd.Int63n(900) {
			w.at(at, func() { undos = append(undos, founderHarm(w, rnd)) })
		}
		wiped := seed%2 == 0
		if wiped {
			k := w.keepers[rnd.Intn(2)]
			at := 2800 + rnd.Int63n(3500)
			w.at(at, k.wipe)
			w.at(at+rnd.Int63n(2000), func() {
				if !k.up {
					k.begin()
				}
			})
		}
		w.at(10000, func() {
			all(undos)()
			w.heal()
		})
		w.Run(30000)
		ends[w.leader() != nil]++
		if w.leader() == nil && !wiped {
			t.Errorf("seed %d: no group though no disk was lost", seed)
		}
	}
	t.Logf("of 150 first starts %d came to a group, %d to none", ends[true], ends[false])
	if ends[true] < 100 {
		t.Error("too little evidence")
	}
}

func founderHarm(w *World, rnd *rand.Rand) func() {
	var undo func()
	k := w.keepers[rnd.Intn(len(w.keepers))]
	other := w.keepers[rnd.Intn(len(w.keepers))]
	wait := rnd.Int63n(2500)
	switch rnd.Intn(3) {
	case 0:
		undo = w.stopKeeper(k)
	case 1:
		undo = w.apart(k.node, rnd.Intn(2) == 0, rnd.Intn(2) == 0)
	default:
		undo = w.sever(k.node, other.node, rnd.Intn(2) == 0)
	}
	if undo == nil {
		return func() {}
	}
	w.after(wait, undo)
	return func() {}
}

// TestSeedWiped: the whole core loses its power, and one seed, or both, that
// have a disk lose it too, while the porters among the seeds forget that there
// is a group. What comes back empty waits until it hears of it.
func TestSeedWiped(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			site := sixOf3()
			site.Porters, site.Runners = 2, 0
			if seed%2 == 0 {
				site.Elect = 250
			}
			w := NewWorld(390+seed, site)
			w.callers.stop = 0
			wiped := w.keepers[:1+seed/2%2]
			seeded(w, "k1", "p1", "p2")
			if len(wiped) == 2 {
				seeded(w, "k1", "k2", "p1")
			}
			single(t, w, seed)
			w.at(18000, func() {
				if list, _ := w.voters(); len(list) != 5 {
					t.Errorf("before: %d voters", len(list))
				}
				for _, k := range w.keepers {
					k.crash()
					w.after(w.rnd.Int63n(1000), k.begin)
				}
				for _, k := range wiped {
					k.wipe()
				}
			})
			w.Run(45000)
			if list, _ := w.voters(); len(list) != 5 {
				t.Errorf("in the end: %d voters", len(list))
			}
			for _, k := range w.keepers[:6] {
				if k.mach.Raft() == nil || len(k.mach.Raft().Members()) != 6 {
					t.Errorf("%s is not in the group of six", k.name)
				}
			}
		})
	}
}
