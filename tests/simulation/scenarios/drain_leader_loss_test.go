package scenarios

import (
	"fmt"
	"strings"
	"testing"

	"orchidward/internal/state"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestDrainSurvivesLeaderLoss loses the leader at every log entry of a drain from the
// order on, and again of the reopening: crashed, frozen and isolated. The next leader
// must finish with the same scope and displaced tasks.
func TestDrainSurvivesLeaderLoss(t *testing.T) {
	for _, loss := range []simulation.FaultKind{simulation.LeaderCrash, simulation.LeaderFreeze, simulation.LeaderIsolated} {
		for n := 0; n < 14; n++ {
			for _, onReopen := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", loss, n, onReopen), func(t *testing.T) {
					t.Parallel()
					drainSurvivesLeaderLoss(t, loss, n, onReopen)
				})
			}
		}
	}
}

func drainSurvivesLeaderLoss(t *testing.T, loss simulation.FaultKind, n int, onReopen bool) {
	// first is the scope and stage of each drain before the reopening.
	var first []string
	failpoint := &leaderFailpoint{loss: loss, entries: n, duration: 8000}
	scenario := simulation.Scenario{Seed: int64(n) + 100, Window: 30000, Recovery: 20000, Setup: func(cluster *simulation.Cluster) {
		cluster.Spec.LoadPercent = 60
		failpoint.install(cluster)
		cluster.At(12000, func() {
			if !onReopen {
				failpoint.arm()
			}
			cluster.Clients.SetDrained("north", true, always)
		})
		cluster.At(22000, func() {
			if onReopen {
				failpoint.arm()
			}
			if server := cluster.Leader(); server != nil {
				for _, x := range server.Machine.State().Drains {
					first = append(first, fmt.Sprint(x.Scope, x.Stage))
				}
			}
			cluster.Clients.SetDrained("north", false, always)
		})
	}}
	cluster := simulationtest.RunScenario(t, scenario)
	if !failpoint.fired {
		t.Fatal("the failpoint never fired")
	}
	if len(first) != 1 || !strings.HasSuffix(first[0], string(state.Closed)) {
		t.Errorf("ten seconds after the order the drain is at %v", first)
	}
	drains := cluster.Leader().Machine.State().Drains
	if len(drains) == 0 {
		t.Fatal("there is no drain in the end")
	}
	for _, drain := range drains {
		checkCompleteDrain(t, drain)
	}
}

// checkCompleteDrain requires a drain that went through every stage once.
func checkCompleteDrain(t *testing.T, drain *state.Drain) {
	t.Helper()
	if drain.Stage != state.Open || !drain.PreflightDone || drain.Verdict == "" || len(drain.Scope) != 5 {
		t.Fatalf("the drain ended as %+v", drain)
	}
	entered := map[state.Stage]int{}
	for _, entry := range drain.History {
		entered[entry.Stage]++
	}
	stages := []state.Stage{
		state.Preflight, state.Predrain, state.Cordon, state.Postdrain, state.Closed,
		state.Preopen, state.Opening, state.Postopen, state.Open,
	}
	for _, stage := range stages {
		if entered[stage] != 1 {
			t.Errorf("stage %s was entered %d times: %v", stage, entered[stage], drain.History)
		}
	}
}

// TestRackDrainSurvivesLeaderLoss loses the leader at every log entry of a rack's drain
// from the first poll that says so on, and again when the rack stays after all.
func TestRackDrainSurvivesLeaderLoss(t *testing.T) {
	for _, loss := range []simulation.FaultKind{simulation.LeaderCrash, simulation.LeaderFreeze} {
		for n := 0; n < 12; n++ {
			for _, onReopen := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/%v", loss, n, onReopen), func(t *testing.T) {
					t.Parallel()
					rackDrainSurvivesLeaderLoss(t, loss, n, onReopen)
				})
			}
		}
	}
}

func rackDrainSurvivesLeaderLoss(t *testing.T, loss simulation.FaultKind, n int, onReopen bool) {
	failpoint := &leaderFailpoint{loss: loss, entries: n, duration: 6000}
	var closed *state.Drain
	cluster := simulation.Run(simulation.Scenario{Seed: int64(n) + 400, Spec: simulation.FastNetwork(), Window: 26000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
		cluster.Spec.LoadPercent = 50
		failpoint.install(cluster)
		cluster.At(10000, func() {
			if !onReopen {
				failpoint.arm()
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
			if onReopen {
				failpoint.arm()
			}
			for _, r := range cluster.Runners[:3] {
				r.CancelDrain()
			}
		})
	}})
	simulationtest.CheckInvariants(t, int64(n)+400, cluster)
	if !failpoint.fired {
		t.Fatal("the failpoint never fired")
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
		t.Errorf("%d drains for one rack", len(list))
	}
}
