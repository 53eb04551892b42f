package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestSuspend suspends runners with long tasks, and the leader, for longer than leases
// last. With clocks that include the time in suspend, no invariant may be violated. With
// clocks that stop meanwhile, as Go's monotonic clock does, the same suspends must violate
// an invariant, otherwise this test proves nothing.
func TestSuspend(t *testing.T) {
	t.Parallel()
	violations := 0
	for seed := int64(1); seed <= 2; seed++ {
		for _, clocksStop := range []bool{false, true} {
			scenario := simulation.Scenario{Seed: seed, Spec: simulation.FastNetwork(), Window: 45000, Recovery: 50000}
			scenario.Setup = func(cluster *simulation.Cluster) {
				cluster.ClocksStopInSuspend = clocksStop
				cluster.At(12000, func() { suspendBusyRunners(cluster) })
				cluster.At(34000, func() {
					cluster.Inject(simulation.Fault{Duration: 6000, Kind: simulation.LeaderFreeze})
				})
			}
			cluster := simulation.Run(scenario)
			if clocksStop {
				violations += len(cluster.Checker.Violations)
				continue
			}
			simulationtest.CheckInvariants(t, scenario.Seed, cluster)
		}
	}
	if violations == 0 {
		t.Error("clocks that stop in suspend violate no invariant: the test proves nothing")
	}
	t.Logf("with clocks that stop in suspend: %d violations", violations)
}

// suspendBusyRunners freezes all runners with running tasks, for 16 seconds.
func suspendBusyRunners(cluster *simulation.Cluster) {
	for _, runner := range cluster.Runners {
		if runner.Machine.Running() > 0 {
			cluster.After(16000, cluster.Freeze(runner.Process))
		}
	}
}

// TestResumedGateway checks that a gateway which was suspended during a change of the
// limits table does not admit jobs by the stale table.
func TestResumedGateway(t *testing.T) {
	t.Parallel()
	statuses := []int{}
	scenario := simulation.Scenario{Seed: 19, Window: 20000, Recovery: 30000}
	scenario.Setup = func(cluster *simulation.Cluster) {
		clients := cluster.Clients.Process
		suspended := cluster.Gateways[0]
		other := cluster.Gateways[1]
		submit := func(id string, tasks int) {
			body := []byte(fmt.Sprintf(`{"pending":"probe","steps":[{"name":"s","tasks":%d}]}`, tasks))
			path := "/v1/jobs/x/" + id
			cluster.Request(clients, suspended.Addr, http.MethodPut, path, body, 5000, func(status int, _ []byte) {
				statuses = append(statuses, status)
			})
		}
		cluster.At(8000, func() {
			cluster.Suspend(suspended.Process)
			body := []byte(fmt.Sprintf(`{"base":%d,"cells":{"probe.maxTasks":1}}`, cluster.Clients.Epoch))
			path := endpoint.LimitsPath
			cluster.Request(clients, other.Addr, http.MethodPatch, path, body, 2000, func(status int, _ []byte) {
				if status != http.StatusOK {
					t.Errorf("the change got status %d", status)
				}
			})
			cluster.Clients.StopAt = 0
		})
		cluster.At(12000, func() {
			submit("one", 2)
			submit("two", 1)
		})
		cluster.At(12200, func() { cluster.Resume(suspended.Process) })
		cluster.At(15000, func() { submit("three", 2) })
	}
	simulationtest.RunScenario(t, scenario)
	for _, s := range statuses[:2] {
		if s != http.StatusServiceUnavailable {
			t.Errorf("right after the resumption the gateway answered %v, want 503", statuses)
		}
	}
	if len(statuses) != 3 || statuses[2] != http.StatusUnprocessableEntity {
		t.Errorf("in contact with the leader again, the gateway answered %v, want 422 last", statuses)
	}
}
