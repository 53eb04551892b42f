package scenarios

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestSuspend suspends machines for longer than grants and leases last: runners
// with long work on them, and whoever leads. By clocks that count the sleep
// nothing is broken. By clocks that stand still meanwhile, which is what Go's
// own do, the same sleeps must break something, or this scene proves nothing.
func TestSuspend(t *testing.T) {
	t.Parallel()
	broken := 0
	for seed := int64(1); seed <= 2; seed++ {
		for _, dull := range []bool{false, true} {
			scenario := simulation.Scenario{Seed: seed, Spec: simulation.FastNetwork(), Window: 45000, Recovery: 50000, Setup: func(cluster *simulation.Cluster) {
				cluster.ClocksStopInSuspend = dull
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
			if dull {
				broken += len(cluster.Checker.Violations)
				continue
			}
			simulationtest.CheckInvariants(t, scenario.Seed, cluster)
		}
	}
	if broken == 0 {
		t.Error("clocks that stand still in sleep broke nothing: the scene shows nothing")
	}
	t.Logf("with clocks that stand still: %d promises broken", broken)
}

// TestResumedGateway: a gate that slept through a change of the table decides
// nothing by the old one.
func TestResumedGateway(t *testing.T) {
	t.Parallel()
	told := []int{}
	scenario := simulation.Scenario{Seed: 19, Window: 20000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
		g := cluster.Gateways[0]
		cluster.At(8000, func() {
			cluster.Suspend(g.Process)
			text := []byte(fmt.Sprintf(`{"base":%d,"cells":{"probe.maxTasks":1}}`, cluster.Clients.Epoch))
			cluster.Request(cluster.Clients.Process, cluster.Gateways[1].Addr, "PATCH", "/v1/table", text, 2000, func(status int, _ []byte) {
				if status != 200 {
					t.Errorf("the change got %d", status)
				}
			})
			cluster.Clients.StopAt = 0
		})
		cluster.At(12000, func() {
			cluster.Request(cluster.Clients.Process, g.Addr, "PUT", "/v1/jobs/x/one", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
			cluster.Request(cluster.Clients.Process, g.Addr, "PUT", "/v1/jobs/x/two", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":1}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
		})
		cluster.At(12200, func() { cluster.Resume(g.Process) })
		cluster.At(15000, func() {
			cluster.Request(cluster.Clients.Process, g.Addr, "PUT", "/v1/jobs/x/three", []byte(`{"pending":"probe","steps":[{"name":"s","tasks":2}]}`), 5000, func(status int, _ []byte) { told = append(told, status) })
		})
	}}
	simulationtest.RunScenario(t, scenario)
	for _, s := range told[:2] {
		if s != 503 {
			t.Errorf("just woken it answered %v, want 503", told)
		}
	}
	if len(told) != 3 || told[2] != 422 {
		t.Errorf("back in touch it answered %v, want 422 last", told)
	}
}
