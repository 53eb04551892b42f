package scenarios

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestPowerLoss: the whole core loses its power at once, again and again, in
// the midst of acknowledging; nothing acknowledged is lost, and where the
// outage is shorter than the grant no running task is.
func TestPowerLoss(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := simulation.Scenario{Seed: seed, Window: 30000, Recovery: 30000}
			for i := int64(0); i < 3; i++ {
				scenario.Faults = append(scenario.Faults, simulation.Fault{At: 8000 + i*7000 + seed*137, Duration: 1500, Kind: simulation.AllServersCrash})
			}
			cluster := simulationtest.RunScenario(t, scenario)
			if n := cluster.Checker.Counts["event lapsed"]; n > 0 {
				t.Errorf("%d tasks were lost to an outage shorter than their grant", n)
			}
		})
	}
}

// TestSlowDisk: a leader whose disk has become slow hands leadership on.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	var was, is *simulation.Server
	scenario := simulation.Scenario{Seed: 9, Window: 25000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(9000, func() {
			was = cluster.Leader()
			was.DiskDelay = 3000
		})
		cluster.At(15000, func() { is = cluster.Leader() })
	}}
	simulationtest.RunScenario(t, scenario)
	if was == nil || is == nil || was == is {
		t.Errorf("6 s after its disk became slow %v still leads", was.Name)
	}
}

// TestAckIsOnDisk: with slow disks on both followers the power goes, and the
// leader stays away. Whatever was acknowledged must be on a disk that is left.
func TestAckIsOnDisk(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulationtest.RunScenario(t, simulation.Scenario{Seed: seed, Window: 26000, Recovery: 35000, Setup: func(cluster *simulation.Cluster) {
				cluster.At(9000, func() {
					for _, server := range cluster.Servers {
						if server != cluster.Leader() {
							server.DiskDelay = 700
						}
					}
				})
				cluster.At(11000+seed*173, func() {
					lead := cluster.Leader()
					for _, server := range cluster.Servers {
						undo := cluster.CrashServer(server)
						server.DiskDelay = 0
						if server == lead {
							cluster.After(9000, undo)
						} else {
							cluster.After(500, undo)
						}
					}
				})
			}})
		})
	}
}

// TestDiskFails: the leader's disk takes no more, in the midst of writing. It
// steps aside at once, acknowledging nothing more; the others go on without it,
// and once its disk is mended it comes back with all it had.
func TestDiskFails(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulationtest.RunScenario(t, simulation.Scenario{Seed: seed, Window: 26000, Recovery: 35000, Setup: func(cluster *simulation.Cluster) {
				var server *simulation.Server
				cluster.At(9000+seed*41, func() {
					server = cluster.Leader()
					server.Disk.Full = true
				})
				cluster.At(10000, func() {
					if server.Up || server.QuitReason == "" {
						t.Error("a keeper whose disk takes nothing goes on")
					}
				})
				cluster.At(15000, func() {
					if lead := cluster.Leader(); lead == nil || lead == server {
						t.Error("nobody took over")
					}
				})
				cluster.At(18000, func() {
					server.Disk.Full = false
					server.Start()
				})
				cluster.At(24000, func() {
					if lead := cluster.Leader(); lead == nil || lead.Machine.Raft().CommitIndex()-server.Machine.Raft().CommitIndex() > 200 {
						t.Error("back again, it has not caught up")
					}
				})
			}})
		})
	}
}
