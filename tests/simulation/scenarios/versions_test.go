package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/state"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// levels are the levels of entries at the servers that run.
func levels(cluster *simulation.Cluster) []uint16 {
	var list []uint16
	for _, server := range cluster.Servers {
		if server.Machine != nil {
			list = append(list, server.Machine.State().Level)
		}
	}
	return list
}

// TestUpgrade upgrades a cluster from the first level to the present one, server by
// server, with a downgrade, a drain, elections and load on the way. The level is raised
// only when the last server knows it, and then everywhere.
func TestUpgrade(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulationtest.RunScenario(t, simulation.Scenario{Seed: seed, Window: 50000, Recovery: 45000, Setup: func(cluster *simulation.Cluster) {
				for _, server := range cluster.Servers {
					server.Level = 0
				}
				low := func(when string) {
					for _, n := range levels(cluster) {
						if n != 0 {
							t.Errorf("%s the level is %v", when, levels(cluster))
						}
					}
				}
				cluster.At(9000, func() { cluster.RestartAtLevel(cluster.Servers[0], state.SupportedLevel) })
				cluster.At(12000, func() { cluster.Clients.SetDrained("north", true, func() bool { return true }) })
				cluster.At(14000, func() { cluster.RestartAtLevel(cluster.Servers[1], state.SupportedLevel) })
				cluster.At(17000, func() {
					cluster.Clients.PatchLimits(cluster.Clients.Epoch, map[string]any{"push.policy": "1"}, func(status int, _ int64) {
						if status != http.StatusConflict {
							t.Errorf("a policy with one old server left got %d", status)
						}
					})
				})
				cluster.At(18000, func() { low("two of three upgraded,") })
				cluster.At(18500, func() { cluster.RestartAtLevel(cluster.Servers[0], 0) })
				cluster.At(23000, func() { low("after a step back,"); cluster.RestartAtLevel(cluster.Servers[0], state.SupportedLevel) })
				cluster.At(27000, func() {
					cluster.Clients.SetDrained("north", false, func() bool { return true })
					cluster.RestartAtLevel(cluster.Servers[2], state.SupportedLevel)
				})
				cluster.At(34000, func() {
					for _, n := range levels(cluster) {
						if n != state.SupportedLevel {
							t.Errorf("all upgraded, the level is %v", levels(cluster))
						}
					}
					cluster.Inject(simulation.Fault{Duration: 4000, Kind: simulation.LeaderCrash})
				})
			}})
		})
	}
}

// TestOldVersionRejected: once the level is raised, a server of an old version neither
// starts on its data folder nor joins with an empty one; upgraded, it does.
func TestOldVersionRejected(t *testing.T) {
	t.Parallel()
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 4, Window: 50000, Recovery: 45000, Setup: func(cluster *simulation.Cluster) {
		server := cluster.Servers[1]
		cluster.At(9000, func() { cluster.RestartAtLevel(server, 0) })
		cluster.At(13000, func() {
			if server.Up || !strings.Contains(server.QuitReason, "level") {
				t.Errorf("an old version runs on a folder of a later level: %q", server.QuitReason)
			}
			cluster.ReplaceServer(server)
			server = cluster.Servers[1]
			server.Level = 0
		})
		cluster.At(28000, func() {
			if !server.Up {
				t.Errorf("an old version joined a group of a later level, and quit: %q", server.QuitReason)
				return
			}
			if n := len(cluster.Leader().Machine.Raft().Members()); n != 3 {
				t.Errorf("an old version joined a group of a later level: %d members", n)
			}
			if _, ok := cluster.Leader().Machine.Raft().Member(server.Machine.Config().ID); ok {
				t.Error("an old version became a member")
			}
			cluster.RestartAtLevel(server, state.SupportedLevel)
		})
		cluster.At(45000, func() {
			if m, ok := cluster.Leader().Machine.Raft().Member(server.Machine.Config().ID); !ok || !m.Voter {
				t.Error("upgraded, it is no voter")
			}
		})
	}})
}

// TestUnknownEntry: a server that gets an entry it does not know, in a group that raised
// no level for it, stops instead of taking it for an empty one.
func TestUnknownEntry(t *testing.T) {
	t.Parallel()
	cluster := simulation.NewCluster(5, simulation.FastNetwork())
	cluster.Run(6000)
	leader := cluster.Leader()
	at, _ := leader.Machine.Raft().Propose([]byte(`{"at":1,"novel":{"x":1}}`))
	cluster.Run(12000)
	aside := 0
	for _, server := range cluster.Servers {
		switch {
		case strings.Contains(server.QuitReason, "does not know"):
			aside++
		case server.Machine.Raft().CommitIndex() >= at:
			t.Errorf("%s went on past an entry it does not know", server.Name)
		}
	}
	if aside == 0 {
		t.Error("no server got the entry")
	}
}

// TestStateDivergence: a follower whose state differs from the others' notices with the
// leader's next checksum and stops before it can ever lead.
func TestStateDivergence(t *testing.T) {
	t.Parallel()
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 6, Window: 25000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		var server *simulation.Server
		cluster.At(9000, func() {
			for _, one := range cluster.Servers {
				if one != cluster.Leader() {
					server = one
				}
			}
			server.Machine.State().NextLease++
		})
		cluster.At(13000, func() {
			if !strings.Contains(server.QuitReason, "differs") || server.Up {
				t.Errorf("4 s after its state diverged from the others' it says %q", server.QuitReason)
			}
			for _, one := range cluster.Servers {
				if one != server && one.QuitReason != "" {
					t.Errorf("%s stopped: %s", one.Name, one.QuitReason)
				}
			}
		})
	}})
}
