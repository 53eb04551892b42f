package controlplane_test

import (
	"testing"

	"orchidward/internal/clock"
)

// TestIsolatedRunnerKeepsLease isolates the agent of a runner that was frozen just as the
// runner goes on. The runner then has leases by heartbeats that the server never hears of,
// and none of its tasks may start elsewhere before those leases are over.
func TestIsolatedRunnerKeepsLease(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		cluster := newTestCluster(t, seed, 3)
		cluster.submit("00000000000000b1", 8, 30000)
		cluster.run(2000)
		runner := cluster.runners[0]
		runner.frozenUntil = cluster.now + 5000
		cluster.run(4900 + clock.Monotonic(cluster.random.Intn(100)))
		cluster.run(90)
		runner.isolated = true
		cluster.run(14000)
		runner.isolated = false
		cluster.run(3000)
	}
}

// TestNewIncarnationRestartsWork crashes a runner that comes back as a new incarnation,
// its agent restarted meanwhile. What it ran starts again at once.
func TestNewIncarnationRestartsWork(t *testing.T) {
	const id = "00000000000000c1"
	cluster := newTestCluster(t, 3, 2)
	cluster.submit(id, 6, 3000)
	cluster.run(1000)
	runner := cluster.runners[0]
	runner.crashed = true
	cluster.run(1500)
	runner.agent = cluster.newAgent(runner)
	runner.restart()
	cluster.run(6000)
	if got := cluster.jobState(id); !jobSucceeded(got) {
		t.Errorf("6 s after the runner's return the job is %s", got)
	}
}

// newShortLeaseCluster is a cluster of three runners whose agents give them leases shorter
// than those of the control plane.
func newShortLeaseCluster(t *testing.T, seed int64) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, seed, 3)
	for _, runner := range cluster.runners {
		runner.usualLease = 3500
		runner.agent = cluster.newAgent(runner)
	}
	cluster.run(8000)
	return cluster
}

// TestDeadRunnerWorkRestarted crashes a runner for good. What it ran starts elsewhere as
// soon as its own lease must be over, long before the agent's; and never sooner, also
// when only its heartbeats stopped while it went on.
func TestDeadRunnerWorkRestarted(t *testing.T) {
	const id = "00000000000000d1"
	for seed := int64(1); seed <= 10; seed++ {
		cluster := newShortLeaseCluster(t, seed)
		cluster.submit(id, 8, 5000)
		cluster.run(1000 + clock.Monotonic(cluster.random.Intn(300)))
		if cluster.random.Intn(2) == 0 {
			cluster.runners[0].crashed = true
		} else {
			cluster.runners[0].stopHeartbeats()
		}
		cluster.run(10000)
		if got := cluster.jobState(id); !jobSucceeded(got) {
			t.Errorf("seed %d: 10 s after the crash the job is %s", seed, got)
		}
	}
}

// TestUnannouncedLeaver has a runner say farewell without having announced its departure. It
// serves on, with or without heartbeats, and ends some seconds later. Nothing that it runs
// may start elsewhere meanwhile, and the job is done soon after.
func TestUnannouncedLeaver(t *testing.T) {
	const id = "00000000000000e1"
	for seed := int64(1); seed <= 12; seed++ {
		cluster := newShortLeaseCluster(t, seed)
		cluster.submit(id, 8, 4000)
		cluster.run(500 + clock.Monotonic(cluster.random.Intn(300)))
		runner := cluster.runners[0]
		runner.agent.RunnerLeft(runner.heartbeat(cluster.now).Runner, cluster.now)
		runner.leaving = true
		if seed%2 == 0 {
			runner.stopHeartbeats()
		}
		cluster.run(2000 + clock.Monotonic(cluster.random.Intn(4000)))
		runner.crashed = true
		cluster.run(13000)
		if got := cluster.jobState(id); !jobSucceeded(got) {
			t.Errorf("seed %d: 13 s after the runner's end the job is %s", seed, got)
		}
	}
}
