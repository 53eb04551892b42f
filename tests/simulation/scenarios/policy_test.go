package scenarios

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/runner"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestPolicy checks that a row's policy decides only where its tasks are placed, and that
// an invalid policy never takes effect. A policy that fails at run time must be counted and
// reported, and the built-in choice must place the tasks.
func TestPolicy(t *testing.T) {
	t.Parallel()
	statuses := map[string]int{}
	var reported struct {
		Policies []struct {
			Row          string
			Used, Failed int
			LastFailure  string
		}
	}
	starts := map[string]int{}
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 51, Window: 30000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
		set := func(cell, text string) {
			cluster.Clients.PatchLimits(cluster.Clients.Epoch, map[string]any{cell: text}, func(status int, epoch int64) {
				statuses[cell+text] = status
				cluster.Clients.Epoch = max(cluster.Clients.Epoch, epoch)
			})
		}
		cluster.At(8000, func() { set("check.policy", "runner.freeCores if zone(\"west\") else -1") })
		cluster.At(8500, func() { set("push.policy", "1 // 0") })
		cluster.At(9000, func() { set("stock.policy", "runner.freeCores *") })
		cluster.At(9500, func() { set("stock.policy", "[0] * 1000000000") })
		cluster.At(12000, func() {
			for _, r := range cluster.Runners {
				r.OnStart = func(e runner.Event) {
					s := cluster.Checker.Jobs[e.Task.Job].Spec
					if cluster.Now < 28000 && s.Row == "check" && len(s.Steps[0].Labels) == 0 {
						starts[r.Domain]++
					}
				}
			}
		})
		cluster.At(28000, func() {
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodGet, endpoint.ServersPath, nil, 2000, func(_ int, body []byte) {
				if err := json.Unmarshal(body, &reported); err != nil {
					t.Error(err)
				}
			})
		})
		cluster.At(28500, func() { cluster.Inject(simulation.Fault{Duration: 1000, Kind: simulation.DomainDrain, Parameter: 2}) })
	}})
	if statuses["check.policyrunner.freeCores if zone(\"west\") else -1"] != http.StatusOK || statuses["push.policy1 // 0"] != http.StatusOK ||
		statuses["stock.policyrunner.freeCores *"] != http.StatusUnprocessableEntity || statuses["stock.policy[0] * 1000000000"] != 422 {
		t.Errorf("responses by status: %v", statuses)
	}
	if starts["west"] < 60 || starts["west"] < 9*(starts["north"]+starts["east"]) {
		t.Errorf("the row whose policy prefers west started its tasks in %v", starts)
	}
	if len(reported.Policies) != 2 || reported.Policies[0].Used < 50 || reported.Policies[0].Failed > 0 || reported.Policies[1].Failed < 20 || !strings.Contains(reported.Policies[1].LastFailure, "zero") {
		t.Errorf("policies reported: %+v", reported.Policies)
	}
}
