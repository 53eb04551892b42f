package scenarios

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// wrongClocks are skews of the servers' clocks in ms. After 18 s the error of cluster time
// must lie between minError and maxError; a positive error means that it is ahead.
var wrongClocks = []struct {
	skews              [3]int64
	minError, maxError int64
}{
	{[3]int64{3600000, 0, 0}, -1000, 100},
	{[3]int64{0, 3600000, 7200000}, -1000, 100},
	{[3]int64{-3600000, 7200000, 0}, -1000, 100},
	{[3]int64{1500, 3000, 4500}, -1000, 100},
	{[3]int64{-7200000, -7200000, -3600000}, -2000, 100},
	{[3]int64{7200000, 7200000, 7200000}, -1000, 1000},
}

func clusterTimeError(cluster *simulation.Cluster, t *testing.T) int64 {
	server := cluster.Leader()
	if server == nil {
		t.Fatal("no leader")
	}
	return int64(server.Machine.State().Now) - simulation.WallClockStart - cluster.Now
}

// TestClocks lets the servers' clocks jump, forward and back by hours, while leaders change.
// Clocks that all disagree must not shift cluster time; a wrong majority shifts it by at
// most a twentieth of the time for which it is wrong.
func TestClocks(t *testing.T) {
	for _, one := range wrongClocks {
		t.Run(fmt.Sprint(one.skews), func(t *testing.T) {
			t.Parallel()
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 40, Window: 25000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
				for server, s := range one.skews {
					cluster.At(6000, func() { cluster.Servers[server].ClockSkew = s })
				}
				cluster.At(9000, func() { cluster.Inject(simulation.Fault{Duration: 3000, Kind: simulation.LeaderCrash}) })
				cluster.At(15000, func() { cluster.Inject(simulation.Fault{Duration: 3000, Kind: simulation.LeaderFreeze}) })
				cluster.At(24000, func() {
					if off := clusterTimeError(cluster, t); off > one.maxError || off < one.minError {
						t.Errorf("cluster time is off by %d ms after 18 s", off)
					}
				})
			}})
		})
	}
}

// TestDisagreeingClocks starts all servers, for the first time or after a power loss, with
// clocks of which no two agree. Cluster time must not be set until two clocks agree, and
// then to these; jobs with a start time must wait until then and not start early.
func TestDisagreeingClocks(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			from := int64(0)
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 41, Window: 30000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
				skewClocks := func() {
					for i, server := range cluster.Servers {
						server.ClockSkew = int64(i) * 3600000
					}
				}
				if first {
					skewClocks()
				} else {
					from = 8000
					cluster.At(8000, func() {
						undo := []func(){}
						for _, server := range cluster.Servers {
							undo = append(undo, cluster.CrashServer(server))
						}
						skewClocks()
						cluster.After(5000, simulation.UndoAll(undo))
					})
				}
				cluster.At(from+9500, func() {
					if off := clusterTimeError(cluster, t); off > 100 {
						t.Errorf("cluster time is ahead by %d ms", off)
					}
					cluster.Servers[2].ClockSkew = 0
				})
				cluster.At(from+14000, func() {
					if off := clusterTimeError(cluster, t); off > 100 || off < -100 {
						t.Errorf("cluster time is off by %d ms although two clocks agree", off)
					}
				})
			}})
		})
	}
}

// TestLateEntry has a new leader's first entries reach one follower, but not commit before
// the leader crashes and the follower is alone for many seconds. When the entries commit
// after that, they must not set cluster time back to the time of their proposal.
func TestLateEntry(t *testing.T) {
	t.Parallel()
	elected := false
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 43, Window: 35000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		var old, leader, follower *simulation.Server
		var awaitLeader func()
		awaitLeader = func() {
			server := cluster.Leader()
			if server == nil || server == old || server.Machine.Raft().CommitIndex() < server.Machine.Raft().TermStart() {
				if cluster.Now < 15000 {
					cluster.After(1, awaitLeader)
				}
				return
			}
			leader = server
			elected = true
			for _, one := range cluster.Servers {
				if one != old && one != leader {
					follower = one
				}
			}
			unblock := cluster.BlockLink(follower.Process, leader.Process, false)
			cluster.After(500, func() {
				cluster.CrashServer(leader)
				unblock()
			})
			cluster.After(9000, old.Start)
		}
		cluster.At(9000, func() {
			old = cluster.Leader()
			cluster.CrashServer(old)
			awaitLeader()
		})
		cluster.At(25000, func() {
			if off := clusterTimeError(cluster, t); off < -1000 || off > 100 {
				t.Errorf("cluster time is off by %d ms", off)
			}
		})
	}})
	if !elected {
		t.Error("no second leader was elected in time")
	}
}
