package scenarios

import (
	"encoding/json"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestLoadSpike submits ten times the usual load for ten seconds, including a job that no
// runner can hold. Operators must still be served, buffers must stay bounded, and all
// accepted jobs must end.
func TestLoadSpike(t *testing.T) {
	t.Parallel()
	maxInFlight, late := 0, 0
	faults := []simulation.Fault{{At: 8000, Duration: 10000, Kind: simulation.LoadSpike}}
	scenario := simulation.Scenario{Seed: 13, Window: 30000, Recovery: 60000, Faults: faults, Setup: func(cluster *simulation.Cluster) {
		var probe func()
		probe = func() {
			for _, g := range cluster.Gateways {
				maxInFlight = max(maxInFlight, g.Machine.InFlight())
			}
			sentAt := cluster.Now
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodGet, endpoint.DrainsPath, nil, 2000, func(status int, _ []byte) {
				if status != http.StatusOK || cluster.Now-sentAt > 1000 {
					late++
				}
			})
			if cluster.Now < 25000 {
				cluster.After(500, probe)
			}
		}
		cluster.At(8000, probe)
		cluster.At(9000, func() {
			text := []byte(`{"pending":"stock","steps":[{"name":"huge","tasks":64,"gang":true,"cores":16,"memMb":60000}]}`)
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodPut, "/v1/jobs/x/huge", text, 2000, func(status int, _ []byte) {
				if status != http.StatusCreated && status != http.StatusOK {
					t.Errorf("submission of a job that cannot be placed: status %d", status)
				}
			})
		})
		cluster.At(20000, func() {
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodGet, "/v1/jobs/x/huge", nil, 2000, func(status int, body []byte) {
				var d struct {
					State string
					Steps []struct{ Why string }
				}
				if json.Unmarshal(body, &d) != nil || d.State != "waiting" || len(d.Steps) != 1 || d.Steps[0].Why == "" {
					t.Errorf("read of a job that cannot be placed: %d %s", status, body)
				}
			})
		})
	}}
	cluster := simulationtest.RunScenario(t, scenario)
	if cluster.Checker.Counts[invariants.CountAcked] < 800 || late > 0 || maxInFlight > 1000 {
		t.Errorf("accepted %d, late operator requests %d, at most %d in flight", cluster.Checker.Counts[invariants.CountAcked], late, maxInFlight)
	}
	t.Logf("accepted %d, at most %d requests in flight at one gateway", cluster.Checker.Counts[invariants.CountAcked], maxInFlight)
}
