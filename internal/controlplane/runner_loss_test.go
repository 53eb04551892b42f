package controlplane_test

import (
	"testing"

	"orchidward/internal/clock"
)

// TestIsolatedRunnerKeepsLease isolates the agent of a suspended runner just as the
// runner resumes. The runner then renews its leases by heartbeats that the server does
// not learn of, and none of its tasks may start elsewhere before those leases expire.
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

// TestNewIncarnationRestartsWork crashes a runner that returns as a new incarnation, with
// its agent restarted in between. The runner's tasks must start again at once.
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
		t.Errorf("6 s after the runner's restart, the job is %s", got)
	}
}

// newShortLeaseCluster returns a cluster of three runners whose agents grant them shorter
// leases than the control plane does.
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

// TestDeadRunnerWorkRestarted crashes a runner permanently. Its tasks must start
// elsewhere as soon as the runner's own lease must have expired, long before the agent's
// lease does, and never earlier, even if only its heartbeats stopped while it kept
// running.
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
			t.Errorf("seed %d: 10 s after the failure, the job is %s", seed, got)
		}
	}
}

// TestUnannouncedLeaver has a runner leave without prior notice. It keeps running, with
// or without heartbeats, and ends some seconds later. None of its tasks may start
// elsewhere before that, and the job must complete soon afterwards.
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
			t.Errorf("seed %d: 13 s after the runner's exit, the job is %s", seed, got)
		}
	}
}
