package scenarios

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// wrongClocks are skews of the servers' clocks in ms. After 18 s cluster time may be
// ahead by at most most, and behind by at most -least.
var wrongClocks = []struct {
	skews       [3]int64
	least, most int64
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

// TestClocks: every server's clock jumps, forward and back by hours, while leaders
// change. Clocks that all disagree move cluster time nowhere; a wrong
// majority moves it by a twentieth of the time it is wrong.
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
					if off := clusterTimeError(cluster, t); off > one.most || off < one.least {
						t.Errorf("cluster time is off by %d ms after 18 s", off)
					}
				})
			}})
		})
	}
}

// TestDisagreeingClocks starts all servers, for the first time and after a power loss,
// with clocks of which no two agree. Cluster time is not set until two do, and then to
// these; jobs with a start time wait until then and are not early.
func TestDisagreeingClocks(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			from := int64(0)
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 41, Window: 30000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
				wrong := func() {
					for i, server := range cluster.Servers {
						server.ClockSkew = int64(i) * 3600000
					}
				}
				if first {
					wrong()
				} else {
					from = 8000
					cluster.At(8000, func() {
						undo := []func(){}
						for _, server := range cluster.Servers {
							undo = append(undo, cluster.CrashServer(server))
						}
						wrong()
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
						t.Errorf("cluster time is off by %d ms though two clocks agree", off)
					}
				})
			}})
		})
	}
}

// TestLateEntry: a new leader's first entries reach one follower, and none of them
// commits before the leader is lost and the follower alone for many seconds. When they
// commit then, they must not set cluster time back to when they were made.
func TestLateEntry(t *testing.T) {
	t.Parallel()
	elected := false
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 43, Window: 35000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		var old, leader, left *simulation.Server
		var look func()
		look = func() {
			server := cluster.Leader()
			if server == nil || server == old || server.Machine.Raft().CommitIndex() < server.Machine.Raft().TermStart() {
				if cluster.Now < 15000 {
					cluster.After(1, look)
				}
				return
			}
			leader = server
			elected = true
			for _, one := range cluster.Servers {
				if one != old && one != leader {
					left = one
				}
			}
			unblock := cluster.BlockLink(left.Process, leader.Process, false)
			cluster.After(500, func() {
				cluster.CrashServer(leader)
				unblock()
			})
			cluster.After(9000, old.Start)
		}
		cluster.At(9000, func() {
			old = cluster.Leader()
			cluster.CrashServer(old)
			look()
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
