package membership

import (
	"strings"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestLeaderReplacedOldSeeds replaces two leaders, the second of which is not a seed, by
// empty servers at new addresses that know only the original seeds.
func TestLeaderReplacedOldSeeds(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
		simulationtest.RunScenario(t, simulation.Scenario{Seed: 341, Spec: spec, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
			requireCaughtUpVoters(t, cluster)
			cluster.Spec.LoadPercent = 40
			isSeed := func(server *simulation.Server) bool {
				return server != nil && strings.Contains(strings.Join(cluster.Seeds, " "), server.Name)
			}
			replace := func() {
				for i, server := range cluster.Servers {
					if server == cluster.Leader() {
						cluster.ReplaceServer(server)
						cluster.Servers[i].Seeds = cluster.Seeds
						return
					}
				}
				t.Errorf("at %d there is no leader", cluster.Now)
			}
			cluster.At(9000, replace)
			for at := int64(13000); at < 28000; at += 3000 {
				cluster.At(at, func() {
					if server := cluster.Leader(); isSeed(server) {
						cluster.After(1500, cluster.CrashServer(server))
					}
				})
			}
			cluster.At(30000, func() {
				if isSeed(cluster.Leader()) {
					t.Error("too little evidence: a seed still leads")
				}
				replace()
			})
			cluster.At(42000, func() {
				requireSpreadVoters(t, cluster, "two leaders were replaced")
				replacements := 0
				for _, member := range cluster.Leader().Machine.Raft().Members() {
					if strings.HasSuffix(member.Addr, "b") {
						replacements++
					}
				}
				if replacements != 2 {
					t.Errorf("two leaders were replaced, members are: %v", cluster.Leader().Machine.Raft().Members())
				}
			})
		}})
	})
}
