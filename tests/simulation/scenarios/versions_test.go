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

// levels lists the levels of log entries at the running servers.
func levels(cluster *simulation.Cluster) []uint16 {
	var list []uint16
	for _, server := range cluster.Servers {
		if server.Machine != nil {
			list = append(list, server.Machine.State().Level)
		}
	}
	return list
}

// TestUpgrade upgrades a cluster from the first level to the current one, server by server,
// with a downgrade, a drain, elections and load in between. The level must be raised only
// when the last server supports it, and then on all servers.
func TestUpgrade(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulationtest.RunScenario(t, simulation.Scenario{Seed: seed, Window: 50000, Recovery: 45000, Setup: func(cluster *simulation.Cluster) {
				for _, server := range cluster.Servers {
					server.Level = 0
				}
				requireLevelZero := func(when string) {
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
							t.Errorf("a policy with one old server left got status %d", status)
						}
					})
				})
				cluster.At(18000, func() { requireLevelZero("two of three upgraded,") })
				cluster.At(18500, func() { cluster.RestartAtLevel(cluster.Servers[0], 0) })
				cluster.At(23000, func() {
					requireLevelZero("after a downgrade,")
					cluster.RestartAtLevel(cluster.Servers[0], state.SupportedLevel)
				})
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

// TestOldVersionRejected checks that once the level is raised, a server of an old version
// neither starts with its existing data directory nor joins with an empty one. Once
// upgraded, it must become a voter.
func TestOldVersionRejected(t *testing.T) {
	t.Parallel()
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 4, Window: 50000, Recovery: 45000, Setup: func(cluster *simulation.Cluster) {
		server := cluster.Servers[1]
		cluster.At(9000, func() { cluster.RestartAtLevel(server, 0) })
		cluster.At(13000, func() {
			if server.Up || !strings.Contains(server.QuitReason, "level") {
				t.Errorf("an old version runs with a data directory of a later level: %q", server.QuitReason)
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
				t.Error("the upgraded server is not a voter")
			}
		})
	}})
}

// TestUnknownEntry checks that a server which receives an unknown entry, in a group that
// raised no level for it, stops instead of treating the entry as empty.
func TestUnknownEntry(t *testing.T) {
	t.Parallel()
	cluster := simulation.NewCluster(5, simulation.FastNetwork())
	cluster.Run(6000)
	leader := cluster.Leader()
	index, _ := leader.Machine.Raft().Propose([]byte(`{"at":1,"novel":{"x":1}}`))
	cluster.Run(12000)
	stopped := 0
	for _, server := range cluster.Servers {
		switch {
		case strings.Contains(server.QuitReason, "does not know"):
			stopped++
		case server.Machine.Raft().CommitIndex() >= index:
			t.Errorf("%s went on past an entry it does not know", server.Name)
		}
	}
	if stopped == 0 {
		t.Error("no server stopped because of the entry")
	}
}

// TestStateDivergence checks that a follower whose state differs from the others' detects
// the difference with the leader's next checksum, and stops before it can become leader.
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
				t.Errorf("4 s after its state diverged from the others', quit reason %q", server.QuitReason)
			}
			for _, one := range cluster.Servers {
				if one != server && one.QuitReason != "" {
					t.Errorf("%s stopped: %s", one.Name, one.QuitReason)
				}
			}
		})
	}})
}
