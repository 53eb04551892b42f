package scenarios

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestRunnersCutOff isolates runners for longer than their lease while long tasks run on
// them. The runners must end these tasks by themselves before the tasks start elsewhere.
func TestRunnersCutOff(t *testing.T) {
	t.Parallel()
	scenario := simulation.Scenario{Seed: 23, Window: 40000, Recovery: 50000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(10000, func() {
			for i := 0; i < 6; i++ {
				cluster.Clients.Submit("stock", job.Step{Name: "long", Tasks: 2, Demand: job.Demand{Cores: 1, Mem: 64}, ExpectedRun: 25000})
			}
		})
		cluster.At(12000, func() {
			for i, r := range cluster.Runners {
				if r.Machine.Running() > 0 {
					cluster.After(20000, cluster.Isolate(r.Process, i%2 == 0, i%2 == 1))
				}
			}
		})
	}}
	cluster := simulationtest.RunScenario(t, scenario)
	if cluster.Checker.Counts[invariants.EventCount(runnerapi.OutcomeLeaseLapsed)] < 2 {
		t.Errorf("too little evidence: %v", cluster.Checker.Counts)
	}
}
