package simulation

import "testing"

// TestSuspend suspends machines for longer than grants and leases last: runners
// with long work on them, and whoever leads. By clocks that count the sleep
// nothing is broken. By clocks that stand still meanwhile, which is what Go's
// own do, the same sleeps must break something, or this scene proves nothing.
func TestSuspend(t *testing.T) {
	t.Parallel()
	broken := 0
	for seed := int64(1); seed <= 2; seed++ {
		for _, dull := range []bool{false, true} {
			scenario := Scenario{Seed: seed, Spec: FastNetwork(), Window: 45000, Recovery: 50000, Setup: func(cluster *Cluster) {
				cluster.ClocksStopInSuspend = dull
				cluster.At(12000, func() {
					for _, r := range cluster.Runners {
						if r.Machine.Running() > 0 {
							cluster.After(16000, cluster.Freeze(r.Process))
						}
					}
				})
				cluster.At(34000, func() { cluster.Inject(Fault{Duration: 6000, Kind: "leader-freeze"}) })
			}}
			cluster := Run(scenario)
			if dull {
				broken += len(cluster.Checker.Violations)
				continue
			}
			checkInvariants(t, scenario, cluster)
		}
	}
	if broken == 0 {
		t.Error("clocks that stand still in sleep broke nothing: the scene shows nothing")
	}
	t.Logf("with clocks that stand still: %d promises broken", broken)
}
