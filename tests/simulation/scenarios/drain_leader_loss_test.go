package scenarios

import (
	"fmt"
	"strings"
	"testing"

	"orchidward/internal/state"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestDrainSurvivesLeaderLoss takes the closing's owner away at every single log entry from
// the order to close on, and again on the way back: killed, frozen and cut
// off. Whoever is next must finish with the same scope and displaced set.
func TestDrainSurvivesLeaderLoss(t *testing.T) {
	for _, how := range []string{"crash", "freeze", "alone"} {
		for n := 0; n < 14; n++ {
			for _, back := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", how, n, back), func(t *testing.T) {
					t.Parallel()
					drainSurvivesLeaderLoss(t, how, n, back)
				})
			}
		}
	}
}

func drainSurvivesLeaderLoss(t *testing.T, how string, n int, back bool) {
	var c *state.Drain
	var first []string
	trap := &leaderFailpoint{how: how, entries: n, duration: 8000}
	scenario := simulation.Scenario{Seed: int64(n) + 100, Window: 30000, Recovery: 20000, Setup: func(cluster *simulation.Cluster) {
		cluster.Spec.LoadPercent = 60
		trap.install(cluster)
		still := func() bool { return true }
		cluster.At(12000, func() {
			if !back {
				trap.arm()
			}
			cluster.Clients.SetDrained("north", true, still)
		})
		cluster.At(22000, func() {
			if back {
				trap.arm()
			}
			if server := cluster.Leader(); server != nil {
				for _, x := range server.Machine.State().Drains {
					first = append(first, fmt.Sprint(x.Scope, x.Stage))
				}
			}
			cluster.Clients.SetDrained("north", false, still)
		})
	}}
	cluster := simulationtest.RunScenario(t, scenario)
	if !trap.fired {
		t.Fatal("the owner was never taken away")
	}
	for _, x := range cluster.Leader().Machine.State().Drains {
		c = x
	}
	if c == nil || c.Stage != state.Open || !c.PreflightDone || c.Verdict == "" || len(c.Scope) != 5 {
		t.Fatalf("the closing came to %+v", c)
	}
	if len(first) != 1 || !strings.HasSuffix(first[0], string(state.Closed)) {
		t.Errorf("ten seconds after the order the closing stood at %v", first)
	}
	seen := map[state.Stage]int{}
	for _, m := range c.History {
		seen[m.Stage]++
	}
	for _, s := range []state.Stage{state.Preflight, state.Predrain, state.Cordon, state.Postdrain, state.Closed, state.Preopen, state.Opening, state.Postopen, state.Open} {
		if seen[s] != 1 {
			t.Errorf("stage %s was entered %d times: %v", s, seen[s], c.History)
		}
	}
}

// TestRackDrainSurvivesLeaderLoss takes the owner of a rack's closing away at every log entry
// from the first word of leaving on, and again when the rack stays after all.
func TestRackDrainSurvivesLeaderLoss(t *testing.T) {
	for _, how := range []string{"crash", "freeze"} {
		for n := 0; n < 12; n++ {
			for _, back := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", how, n, back), func(t *testing.T) {
					t.Parallel()
					rackDrainSurvivesLeaderLoss(t, how, n, back)
				})
			}
		}
	}
}

func rackDrainSurvivesLeaderLoss(t *testing.T, how string, n int, back bool) {
	trap := &leaderFailpoint{how: how, entries: n, duration: 6000}
	var closed *state.Drain
	cluster := simulation.Run(simulation.Scenario{Seed: int64(n) + 400, Spec: simulation.FastNetwork(), Window: 26000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
		cluster.Spec.LoadPercent = 50
		trap.install(cluster)
		cluster.At(10000, func() {
			if !back {
				trap.arm()
			}
			for _, r := range cluster.Runners[:3] {
				r.Drain(4000)
			}
		})
		cluster.At(17500, func() {
			for _, one := range cluster.Leader().Machine.State().Drains {
				found := *one
				closed = &found
			}
			if back {
				trap.arm()
			}
			for _, r := range cluster.Runners[:3] {
				r.CancelDrain()
			}
		})
	}})
	simulationtest.CheckInvariants(t, int64(n)+400, cluster)
	if !trap.fired {
		t.Fatal("the owner was never taken away")
	}
	if closed == nil || closed.Stage != state.Closed || len(closed.Scope) != 3 || closed.Verdict == "" || closed.UnconfirmedStops > 0 {
		t.Errorf("3.5 s after the departure: %+v", closed)
	}
	list := cluster.Leader().Machine.State().Drains
	for _, one := range list {
		if one.Stage != state.Open {
			t.Errorf("in the end: %+v", one)
		}
	}
	if len(list) != 1 {
		t.Errorf("%d closings for one rack", len(list))
	}
}
