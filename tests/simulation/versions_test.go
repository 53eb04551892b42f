package simulation

import (
	"fmt"
	"strings"
	"testing"

	"orchidward/internal/state"
)

// swap stops a keeper in order and starts it as another version.
func (w *World) swap(k *keep, level uint16) {
	w.stopKeeper(k)
	k.level = level
	w.after(700, func() {
		if !k.up {
			k.begin()
		}
	})
}

func (w *World) levels() []uint16 {
	var list []uint16
	for _, k := range w.keepers {
		if k.mach != nil {
			list = append(list, k.mach.State().Level)
		}
	}
	return list
}

// TestUpgrade rolls a fleet of the former level up to the present one, keeper
// by keeper, a step back on the way, with a closing, elections and work going
// on. The level rises only when the last one knows it, and then everywhere.
func TestUpgrade(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, Plan{Seed: seed, Window: 50000, Settle: 45000, Extra: func(w *World) {
				for _, k := range w.keepers {
					k.level = 0
				}
				low := func(when string) {
					for _, n := range w.levels() {
						if n != 0 {
							t.Errorf("%s the level is %v", when, w.levels())
						}
					}
				}
				w.at(9000, func() { w.swap(w.keepers[0], state.SupportedLevel) })
				w.at(12000, func() { w.callers.zone("north", true, func() bool { return true }) })
				w.at(14000, func() { w.swap(w.keepers[1], state.SupportedLevel) })
				w.at(17000, func() {
					w.callers.patch(w.callers.epoch, map[string]any{"push.policy": "1"}, func(status int, _ int64) {
						if status != 409 {
							t.Errorf("a policy with one former keeper left got %d", status)
						}
					})
				})
				w.at(18000, func() { low("two of three upgraded,") })
				w.at(18500, func() { w.swap(w.keepers[0], 0) })
				w.at(23000, func() { low("after a step back,"); w.swap(w.keepers[0], state.SupportedLevel) })
				w.at(27000, func() {
					w.callers.zone("north", false, func() bool { return true })
					w.swap(w.keepers[2], state.SupportedLevel)
				})
				w.at(34000, func() {
					for _, n := range w.levels() {
						if n != state.SupportedLevel {
							t.Errorf("all upgraded, the level is %v", w.levels())
						}
					}
					w.strike(Fault{Dur: 4000, Kind: "leader-crash"})
				})
			}})
		})
	}
}

// TestLeftBehind: once the level is raised, a keeper of the former version
// neither starts on its old folder nor joins with an empty one; upgraded, it does.
func TestLeftBehind(t *testing.T) {
	t.Parallel()
	play(t, Plan{Seed: 4, Window: 50000, Settle: 45000, Extra: func(w *World) {
		k := w.keepers[1]
		w.at(9000, func() { w.swap(k, 0) })
		w.at(13000, func() {
			if k.up || !strings.Contains(k.aside, "level") {
				t.Errorf("a former version runs on a folder of a later level: %q", k.aside)
			}
			w.loseDisk(k)
			k = w.keepers[1]
			k.level = 0
		})
		w.at(28000, func() {
			if n := len(w.leader().mach.Raft().Members()); n != 3 {
				t.Errorf("a former version joined a group of a later level: %d members", n)
			}
			if _, ok := w.leader().mach.Raft().Member(k.mach.Config().ID); ok {
				t.Error("a former version took a seat")
			}
			w.swap(k, state.SupportedLevel)
		})
		w.at(45000, func() {
			if m, ok := w.leader().mach.Raft().Member(k.mach.Config().ID); !ok || !m.Voter {
				t.Error("upgraded, it got no seat")
			}
		})
	}})
}

// TestUnknownEntry: a keeper that is handed an entry it does not know, in a
// group that raised no level for it, steps aside instead of reading it as empty.
func TestUnknownEntry(t *testing.T) {
	t.Parallel()
	w := NewWorld(5, Gilde())
	w.Run(6000)
	lead := w.leader()
	at, _ := lead.mach.Raft().Propose([]byte(`{"at":1,"novel":{"x":1}}`))
	w.Run(12000)
	aside := 0
	for _, k := range w.keepers {
		switch {
		case strings.Contains(k.aside, "does not know"):
			aside++
		case k.mach.Raft().CommitIndex() >= at:
			t.Errorf("%s went on past an entry it does not know", k.name)
		}
	}
	if aside == 0 {
		t.Error("nobody met the entry")
	}
}

// TestBooksPart: a follower whose book is not what the others' is notices with
// the leader's next check and steps aside before it can ever lead.
func TestBooksPart(t *testing.T) {
	t.Parallel()
	play(t, Plan{Seed: 6, Window: 25000, Settle: 40000, Extra: func(w *World) {
		var k *keep
		w.at(9000, func() {
			for _, one := range w.keepers {
				if one != w.leader() {
					k = one
				}
			}
			k.mach.State().NextLease++
		})
		w.at(13000, func() {
			if !strings.Contains(k.aside, "differs") || k.up {
				t.Errorf("4 s after its book parted from the others' it says %q", k.aside)
			}
			for _, one := range w.keepers {
				if one != k && one.aside != "" {
					t.Errorf("%s stepped aside: %s", one.name, one.aside)
				}
			}
		})
	}})
}
