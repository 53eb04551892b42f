package membership

import (
	"fmt"
	"sort"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestEveryAddressChanges replaces all three servers by empty ones at new addresses, one
// after another, and all gateways by new ones, while runners and clients continue. In the
// end none of the initial addresses is in use.
func TestEveryAddressChanges(t *testing.T) {
	t.Parallel()
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 71, Window: 75000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		cluster.Spec.LoadPercent = 40
		swap := func(i int) {
			server := cluster.Servers[i]
			cluster.ReplaceServer(server)
			cluster.Servers[i].Seeds = []string{server.Name, cluster.Gateways[0].Addr, "nobody"}
		}
		cluster.At(8000, func() { swap(0) })
		cluster.At(25000, func() { swap(1) })
		cluster.At(42000, func() { swap(2) })
		cluster.At(58000, func() {
			cluster.Seeds = []string{"k1b", "nobody", "k3b"}
			for i := 4; i <= 6; i++ {
				cluster.AddGateway(fmt.Sprintf("g%d", i), simulation.Domains[i%3]).Start()
			}
		})
		cluster.At(62000, func() {
			for _, g := range cluster.Gateways[:3] {
				cluster.Kill(g.Process)
			}
			cluster.Gateways = cluster.Gateways[3:]
		})
		cluster.At(70000, func() {
			names := []string{}
			if cluster.Leader() == nil {
				t.Error("there is no leader")
				return
			}
			for _, m := range cluster.Leader().Machine.Raft().Members() {
				names = append(names, fmt.Sprint(m.Addr, m.Voter))
			}
			sort.Strings(names)
			if fmt.Sprint(names) != "[k1btrue k2btrue k3btrue]" {
				t.Errorf("members: %v", names)
			}
			for _, r := range cluster.Runners {
				for _, g := range r.Machine.Gateways() {
					if g == "g1" || g == "g2" || g == "g3" {
						t.Errorf("%s still knows %v", r.Name, r.Machine.Gateways())
					}
				}
			}
		})
	}})
}

// TestLossesInTurn loses servers one after another, each a few seconds after the previous
// one is running again. By then the group must tolerate the next loss: one server is wiped
// and restarts at its address, then the leader is replaced at a new address, then a third
// server is down for a while.
func TestLossesInTurn(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 4; seed++ {
		simulationtest.RunScenario(t, simulation.Scenario{Seed: 200 + seed, Window: 32000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
			cluster.Spec.LoadPercent = 30
			other := func(i int) *simulation.Server { return cluster.Servers[(i+1)%3] }
			at := 0
			cluster.At(8000, func() {
				for i, server := range cluster.Servers {
					if server != cluster.Leader() {
						at = i
					}
				}
				cluster.Servers[at].WipeDisk()
			})
			cluster.At(10800, func() { cluster.Servers[at].Start() })
			cluster.At(14800, func() {
				for i, server := range cluster.Servers {
					if server == cluster.Leader() {
						cluster.ReplaceServer(server)
						at = i
						break
					}
				}
			})
			cluster.At(21000, func() { cluster.CrashServer(other(at)) })
			cluster.At(24500, func() {
				if cluster.Leader() == nil {
					t.Errorf("seed %d: after three successive losses there is no leader", seed)
				}
				other(at).Start()
			})
		}})
	}
}

// TestServerReplacedEmpty replaces a server by an empty one at a new address, which must
// become a voter in its place; after that the group must tolerate the loss of another
// server.
func TestServerReplacedEmpty(t *testing.T) {
	t.Parallel()
	scenario := simulation.Scenario{Seed: 3, Window: 45000, Recovery: 40000, Faults: []simulation.Fault{{At: 8000, Kind: simulation.ServerLost, Target: 1}}, Setup: func(cluster *simulation.Cluster) {
		cluster.At(30000, func() {
			server := cluster.Servers[1]
			m, ok := server.Machine.Raft().Member(server.Machine.Raft().Members()[0].ID)
			names := []string{}
			for _, one := range server.Machine.Raft().Members() {
				names = append(names, fmt.Sprint(one.Addr, one.Voter))
			}
			sort.Strings(names)
			if !ok || fmt.Sprint(names) != "[k1true k2btrue k3true]" {
				t.Errorf("members after 22 s: %v %v", names, m)
			}
			cluster.CrashServer(cluster.Servers[0])
			cluster.Servers[0].Removed = true
		})
	}}
	simulationtest.RunScenario(t, scenario)
}

// TestSeedsReplaced changes the seeds while gateways and runners keep running. A gateway
// that restarts with a single live seed among dead ones must become ready.
func TestSeedsReplaced(t *testing.T) {
	t.Parallel()
	served := 0
	scenario := simulation.Scenario{Seed: 5, Window: 30000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(8000, func() {
			cluster.Seeds = []string{"nobody1", cluster.Gateways[1].Addr, "nobody2"}
			cluster.Kill(cluster.Gateways[0].Process)
			cluster.Gateways[0].Start()
		})
		cluster.At(12000, func() {
			cluster.CrashServer(cluster.Servers[0])
			cluster.Servers[0].Seeds = cluster.Seeds
			cluster.Servers[0].Start()
		})
		cluster.At(14000, func() {
			if !cluster.Gateways[0].Machine.Ready(cluster.Monotonic(cluster.Gateways[0].Process)) {
				t.Error("a gateway with one live seed is not ready within 6 s")
			}
			served++
		})
	}}
	simulationtest.RunScenario(t, scenario)
	if served == 0 {
		t.Error("the gateway was never checked")
	}
}
