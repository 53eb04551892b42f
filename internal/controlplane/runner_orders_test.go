package controlplane_test

import (
	"fmt"
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// numberedJob returns the id of the i-th job of a test.
func numberedJob(i int) string { return fmt.Sprintf("%016x", i) }

// TestCancelDuringStart cancels jobs while their start orders are in flight or have just
// been delivered. Their capacity may be reused only once the runner has reported the end,
// or a heartbeat sent after the order does not list the attempt.
func TestCancelDuringStart(t *testing.T) {
	const jobs = 30
	for seed := int64(1); seed <= 20; seed++ {
		cluster := newTestCluster(t, seed, 2)
		for i := 0; i < jobs; i++ {
			cluster.submit(numberedJob(i), 1+cluster.random.Intn(8), 200+cluster.random.Intn(900))
			cluster.run(clock.Monotonic(cluster.random.Intn(250)))
			if cluster.random.Intn(2) == 0 {
				cluster.cancel(numberedJob(i))
			}
		}
		cluster.run(12000)
		for i := 0; i < jobs; i++ {
			got := cluster.jobState(numberedJob(i))
			if !jobSucceeded(got) && got != string(state.Cancelled) {
				t.Errorf("seed %d: job %d is %s", seed, i, got)
			}
		}
	}
}

// TestNoStartOnDrainingRunner checks that nothing starts on a runner after its agent has
// answered a heartbeat that reports draining, even if start orders were in flight, and
// that all work completes elsewhere. It guards against counting an order that the agent
// drops as started, which takes a rare sequence of events that few seeds produce.
func TestNoStartOnDrainingRunner(t *testing.T) {
	const (
		jobs  = 6
		seeds = 60
	)
	for seed := int64(1); seed <= seeds; seed++ {
		cluster := newTestCluster(t, seed, 2)
		for i := 0; i < jobs; i++ {
			cluster.submit(numberedJob(i), 6, 400)
			cluster.run(clock.Monotonic(cluster.random.Intn(200)))
			if i == 3 {
				cluster.runners[0].draining = true
				cluster.sendHeartbeat(cluster.runners[0])
			}
		}
		cluster.run(9000)
		for i := 0; i < jobs; i++ {
			if got := cluster.jobState(numberedJob(i)); !jobSucceeded(got) {
				t.Errorf("seed %d: job %d is %s", seed, i, got)
			}
		}
	}
}

// TestLongRunsKeepLeases checks that many long attempts, whose percentages change rarely
// and at different times, keep their leases for as long as they run.
func TestLongRunsKeepLeases(t *testing.T) {
	const jobs = 60
	cluster := newTestCluster(t, 5, 3)
	for _, runner := range cluster.runners {
		runner.capacity = job.Demand{MilliCores: 20000, Mem: 20000}
		runner.usualLease = 3500
		runner.agent = cluster.newAgent(runner)
	}
	cluster.run(8000)
	for i := 0; i < jobs; i++ {
		cluster.submit(numberedJob(i), 1, 110000+cluster.random.Intn(40000))
	}
	cluster.run(100000)
	if cluster.lapsedRuns > 0 {
		t.Errorf("the leases of %d of %d attempts expired although nothing failed", cluster.lapsedRuns, jobs)
	}
	running := 0
	for _, runner := range cluster.runners {
		running += len(runner.runs)
	}
	if running != jobs {
		t.Errorf("%d of %d attempts are running", running, jobs)
	}
}
