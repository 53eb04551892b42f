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

// TestLoadSpike: ten times the usual load for ten seconds, large and impossible
// jobs among it. Operators are still served, buffers stay bounded, and all
// that was accepted ends.
func TestLoadSpike(t *testing.T) {
	t.Parallel()
	most, late := 0, 0
	faults := []simulation.Fault{{At: 8000, Duration: 10000, Kind: simulation.LoadSpike}}
	scenario := simulation.Scenario{Seed: 13, Window: 30000, Recovery: 60000, Faults: faults, Setup: func(cluster *simulation.Cluster) {
		var look func()
		look = func() {
			for _, g := range cluster.Gateways {
				most = max(most, g.Machine.InFlight())
			}
			asked := cluster.Now
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodGet, endpoint.DrainsPath, nil, 2000, func(status int, _ []byte) {
				if status != http.StatusOK || cluster.Now-asked > 1000 {
					late++
				}
			})
			if cluster.Now < 25000 {
				cluster.After(500, look)
			}
		}
		cluster.At(8000, look)
		cluster.At(9000, func() {
			text := []byte(`{"pending":"stock","steps":[{"name":"huge","tasks":64,"gang":true,"cores":16,"memMb":60000}]}`)
			cluster.Request(cluster.Clients.Process, cluster.Clients.RandomGateway(), http.MethodPut, "/v1/jobs/x/huge", text, 2000, func(status int, _ []byte) {
				if status != http.StatusCreated && status != http.StatusOK {
					t.Errorf("an impossible job got %d", status)
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
					t.Errorf("an impossible job shows %d %s", status, body)
				}
			})
		})
	}}
	cluster := simulationtest.RunScenario(t, scenario)
	if cluster.Checker.Counts[invariants.CountAcked] < 800 || late > 0 || most > 1000 {
		t.Errorf("accepted %d, operators' requests late %d, most in flight %d", cluster.Checker.Counts[invariants.CountAcked], late, most)
	}
	t.Logf("accepted %d, most requests in flight at one gateway %d", cluster.Checker.Counts[invariants.CountAcked], most)
}
