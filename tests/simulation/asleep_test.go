package simulation

import "testing"

// TestAsleep suspends machines for longer than grants and leases last: runners
// with long work on them, and whoever leads. By clocks that count the sleep
// nothing is broken. By clocks that stand still meanwhile, which is what Go's
// own do, the same sleeps must break something, or this scene proves nothing.
func TestAsleep(t *testing.T) {
	t.Parallel()
	broken := 0
	for seed := int64(1); seed <= 2; seed++ {
		for _, dull := range []bool{false, true} {
			p := Plan{Seed: seed, Site: Gilde(), Window: 45000, Settle: 50000, Extra: func(w *World) {
				w.Dull = dull
				w.at(12000, func() {
					for _, r := range w.runners {
						if r.mach.Running() > 0 {
							w.after(16000, w.hold(r.node))
						}
					}
				})
				w.at(34000, func() { w.strike(Fault{Dur: 6000, Kind: "leader-freeze"}) })
			}}
			w := Run(p)
			if dull {
				broken += len(w.Watch.Violations)
				continue
			}
			judge(t, p, w)
		}
	}
	if broken == 0 {
		t.Error("clocks that stand still in sleep broke nothing: the scene shows nothing")
	}
	t.Logf("with clocks that stand still: %d promises broken", broken)
}
