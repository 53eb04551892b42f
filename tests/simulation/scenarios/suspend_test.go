package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestSuspend suspends machines for longer than leases last: runners with long tasks,
// and the leader. With clocks that count the suspend nothing is violated. With clocks
// that stop meanwhile, as Go's own do, the same suspends must violate something, or this
// test proves nothing.
func TestSuspend(t *testing.T) {
	t.Parallel()
	broken := 0
	for seed := int64(1); seed <= 2; seed++ {
		for _, clocksStop := range []bool{false, true} {
			scenario := simulation.Scenario{Seed: seed, Spec: simulation.FastNetwork(), Window: 45000, Recovery: 50000, Setup: func(cluster *simulation.Cluster) {
				cluster.ClocksStopInSuspend = clocksStop
				cluster.At(12000, func() {
					for _, r := range cluster.Runners {
						if r.Machine.Running() > 0 {
							cluster.After(16000, cluster.Freeze(r.Process))
						}
					}
				})
				cluster.At(34000, func() { cluster.Inject(simulation.Fault{Duration: 6000, Kind: simulation.LeaderFreeze}) })
			}}
			cluster := simulation.Run(scenario)
			if clocksStop {
				broken += len(cluster.Checker.Violations)
				continue
			}
			simulationtest.CheckInvariants(t, scenario.Seed, cluster)
		}
	}
	if broken == 0 {
		t.Error("clocks that stop in suspend broke nothing: the test shows nothing")
	}
	t.Logf("with clocks that stop in suspend: %d invariants violated", broken)
}

// TestResumedGateway: a gateway that was suspended during a change of the limits table
// decides nothing by the old one.
func TestResumedGateway(t *testing.T) {
	t.Parallel()
	statuses := []int{}
	scenario := simulation.Scenario{Seed: 19, Window: 20000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
		g := cluster.Gateways[0]
		cluster.At(8000, func() {
			cluster.Suspend(g.Process)
			text := []byte(fmt.Sprintf(`{"base":%d,"cells":{"probe.maxTasks":1}}`, cluster.Clients.Epoch))
			cluster.Request(cluster.Clients.Process, cluster.Gateways[1].Addr, http.MethodPatch, endpoint.LimitsPath, text, 2000, func(status int, _ []byte) {
				if status != http.StatusOK {
					t.Errorf("the change got %d", status)
				}
			})
			cluster.Clients.StopAt = 0
		})
		cluster.At(12000, func() {
			cluster.Request(cluster.Clients.Process, g.Addr, http.MethodPut, "/v1/jobs/x/one", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { statuses = append(statuses, status) })
			cluster.Request(cluster.Clients.Process, g.Addr, http.MethodPut, "/v1/jobs/x/two", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":1}]}`), 5000, func(status int, _ []byte) { statuses = append(statuses, status) })
		})
		cluster.At(12200, func() { cluster.Resume(g.Process) })
		cluster.At(15000, func() {
			cluster.Request(cluster.Clients.Process, g.Addr, http.MethodPut, "/v1/jobs/x/three", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { statuses = append(statuses, status) })
		})
	}}
	simulationtest.RunScenario(t, scenario)
	for _, s := range statuses[:2] {
		if s != http.StatusServiceUnavailable {
			t.Errorf("just resumed it answered %v, want 503", statuses)
		}
	}
	if len(statuses) != 3 || statuses[2] != http.StatusUnprocessableEntity {
		t.Errorf("in touch with the leader again it answered %v, want 422 last", statuses)
	}
}
