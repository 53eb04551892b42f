package scenarios

import (
	"fmt"
	"testing"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestPowerLoss crashes all servers at once, repeatedly, while they acknowledge requests.
// No acknowledged request may be lost, and no running task, as the outage is shorter than
// the lease.
func TestPowerLoss(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := simulation.Scenario{Seed: seed, Window: 30000, Recovery: 30000}
			for i := int64(0); i < 3; i++ {
				scenario.Faults = append(scenario.Faults, simulation.Fault{At: 8000 + i*7000 + seed*137, Duration: 1500, Kind: simulation.AllServersCrash})
			}
			cluster := simulationtest.RunScenario(t, scenario)
			if n := cluster.Checker.Counts[invariants.EventCount(runnerapi.OutcomeLeaseLapsed)]; n > 0 {
				t.Errorf("%d tasks were lost to an outage shorter than their lease", n)
			}
		})
	}
}

// TestSlowDisk checks that a leader whose disk has become slow transfers leadership.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	var oldLeader, newLeader *simulation.Server
	scenario := simulation.Scenario{Seed: 9, Window: 25000, Recovery: 40000, Setup: func(cluster *simulation.Cluster) {
		cluster.At(9000, func() {
			if oldLeader = cluster.Leader(); oldLeader != nil {
				oldLeader.DiskDelay = 3000
			}
		})
		cluster.At(15000, func() { newLeader = cluster.Leader() })
	}}
	simulationtest.RunScenario(t, scenario)
	switch {
	case oldLeader == nil || newLeader == nil:
		t.Errorf("no leader: found one before %v, after %v", oldLeader != nil, newLeader != nil)
	case oldLeader == newLeader:
		t.Errorf("6 s after its disk became slow %v still leads", oldLeader.Name)
	}
}

// TestAckIsOnDisk crashes all servers while both followers have slow disks; the leader
// stays down. Every acknowledged entry must be on the disk of a remaining server.
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
					leader := cluster.Leader()
					for _, server := range cluster.Servers {
						undo := cluster.CrashServer(server)
						server.DiskDelay = 0
						if server == leader {
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

// TestDiskFails fills the leader's disk while it writes. The leader must stop at once and
// acknowledge nothing more, the others must elect another leader, and the stopped server
// must catch up once its disk has space again.
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
						t.Error("a server whose disk is full is still running")
					}
				})
				cluster.At(15000, func() {
					if leader := cluster.Leader(); leader == nil || leader == server {
						t.Error("no other server became leader")
					}
				})
				cluster.At(18000, func() {
					server.Disk.Full = false
					server.Start()
				})
				cluster.At(24000, func() {
					if leader := cluster.Leader(); leader == nil || leader.Machine.Raft().CommitIndex()-server.Machine.Raft().CommitIndex() > 200 {
						t.Error("the restarted server has not caught up")
					}
				})
			}})
		})
	}
}
