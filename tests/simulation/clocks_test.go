package simulation

import (
	"fmt"
	"testing"
)

// clockScenes are keepers' clocks, wrong in every way; most is how far ahead
// cluster time may be after 18 s, least how far behind.
var clockScenes = []struct {
	skews       [3]int64
	least, most int64
}{
	{[3]int64{3600000, 0, 0}, -1000, 100},
	{[3]int64{0, 3600000, 7200000}, -1000, 100},
	{[3]int64{-3600000, 7200000, 0}, -1000, 100},
	{[3]int64{1500, 3000, 4500}, -1000, 100},
	{[3]int64{-7200000, -7200000, -3600000}, -2000, 100},
	{[3]int64{7200000, 7200000, 7200000}, -1000, 1000},
}

func (w *World) siteOff(t *testing.T) int64 {
	k := w.leader()
	if k == nil {
		t.Fatal("no leader")
	}
	return int64(k.mach.State().Now) - epoch - w.Now
}

// TestClocks: every keeper's clock jumps, forward and back by hours, leaders
// change meanwhile. Clocks that all disagree move cluster time nowhere; a wrong
// majority moves it by a twentieth of the time it is wrong.
func TestClocks(t *testing.T) {
	for _, one := range clockScenes {
		t.Run(fmt.Sprint(one.skews), func(t *testing.T) {
			t.Parallel()
			play(t, Plan{Seed: 40, Window: 25000, Settle: 40000, Extra: func(w *World) {
				for k, s := range one.skews {
					w.at(6000, func() { w.keepers[k].skew = s })
				}
				w.at(9000, func() { w.strike(Fault{Dur: 3000, Kind: "leader-crash"}) })
				w.at(15000, func() { w.strike(Fault{Dur: 3000, Kind: "leader-freeze"}) })
				w.at(24000, func() {
					if off := w.siteOff(t); off > one.most || off < one.least {
						t.Errorf("cluster time is off by %d ms after 18 s", off)
					}
				})
			}})
		})
	}
}

// TestColdClocks starts a core, for the first time and after its power was
// gone, with clocks of which no two agree. Time is not set until two do, and
// then to these; whatever is appointed waits until then and is not early.
func TestColdClocks(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			from := int64(0)
			play(t, Plan{Seed: 41, Window: 30000, Settle: 40000, Extra: func(w *World) {
				wrong := func() {
					for i, k := range w.keepers {
						k.skew = int64(i) * 3600000
					}
				}
				if first {
					wrong()
				} else {
					from = 8000
					w.at(8000, func() {
						undo := []func(){}
						for _, k := range w.keepers {
							undo = append(undo, w.stopKeeper(k))
						}
						wrong()
						w.after(5000, all(undo))
					})
				}
				w.at(from+9500, func() {
					if off := w.siteOff(t); off > 100 {
						t.Errorf("cluster time is ahead by %d ms", off)
					}
					w.keepers[2].skew = 0
				})
				w.at(from+14000, func() {
					if off := w.siteOff(t); off > 100 || off < -100 {
						t.Errorf("cluster time is off by %d ms though two clocks agree", off)
					}
				})
			}})
		})
	}
}

// TestLateEntry: a new leader's first entries reach one follower, and nothing
// of it is decided before the leader is gone and the follower alone for many
// seconds. Deciding them then must not set cluster time back to when they were made.
func TestLateEntry(t *testing.T) {
	t.Parallel()
	hit := false
	play(t, Plan{Seed: 43, Window: 35000, Settle: 40000, Extra: func(w *World) {
		var old, lead, left *keep
		var look func()
		look = func() {
			k := w.leader()
			if k == nil || k == old || k.mach.Raft().CommitIndex() < k.mach.Raft().TermStart() {
				if w.Now < 15000 {
					w.after(1, look)
				}
				return
			}
			lead, hit = k, true
			for _, one := range w.keepers {
				if one != old && one != lead {
					left = one
				}
			}
			w.sever(left.node, lead.node, false)
			w.after(500, func() {
				w.stopKeeper(lead)
				delete(w.cuts, [2]string{left.name, lead.name})
			})
			w.after(9000, old.begin)
		}
		w.at(9000, func() {
			old = w.leader()
			w.stopKeeper(old)
			look()
		})
		w.at(25000, func() {
			if off := w.siteOff(t); off < -1000 || off > 100 {
				t.Errorf("cluster time is off by %d ms", off)
			}
		})
	}})
	if !hit {
		t.Error("no second leader rose in time")
	}
}
