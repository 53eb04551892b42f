package scenarios

import (
	"fmt"
	"strings"
	"testing"

	"orchidward/internal/state"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestDrainSurvivesLeaderLoss crashes, freezes or isolates the leader at every log entry of
// a drain, and at every log entry of the reopening. The next leader must complete the drain
// with the same scope.
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
	// beforeReopen is the scope and stage of each drain before the reopening.
	var beforeReopen []string
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
					beforeReopen = append(beforeReopen, fmt.Sprint(x.Scope, x.Stage))
				}
			}
			cluster.Clients.SetDrained("north", false, always)
		})
	}}
	cluster := simulationtest.RunScenario(t, scenario)
	if !failpoint.fired {
		t.Fatal("the failpoint never fired")
	}
	if len(beforeReopen) != 1 || !strings.HasSuffix(beforeReopen[0], string(state.Closed)) {
		t.Errorf("ten seconds after the order the drains are %v", beforeReopen)
	}
	drains := cluster.Leader().Machine.State().Drains
	if len(drains) == 0 {
		t.Fatal("there is no drain at the end")
	}
	for _, drain := range drains {
		checkCompleteDrain(t, drain)
	}
}

// checkCompleteDrain requires that a drain entered every stage exactly once.
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

// TestRackDrainSurvivesLeaderLoss crashes or freezes the leader at every log entry of a
// rack's drain, from the first poll that announces the departure on, and at every log entry
// after the runners withdraw the announcement.
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
			t.Errorf("at the end: %+v", one)
		}
	}
	if len(list) != 1 {
		t.Errorf("%d drains for one rack", len(list))
	}
}
