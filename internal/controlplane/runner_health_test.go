package controlplane_test

import "testing"

// TestStalledRunsMoved checks that attempts are moved from a runner on which all work
// stalls while its heartbeats go on, and that nothing new is placed there for a while.
func TestStalledRunsMoved(t *testing.T) {
	const id = "00000000000000a1"
	cluster := newTestCluster(t, 1, 2)
	cluster.runners[0].stalled = true
	cluster.submit(id, 8, 1000)
	cluster.run(7500)
	if got := cluster.jobState(id); !jobSucceeded(got) {
		t.Errorf("after 7.5 s the job is %s", got)
	}
	if n := len(cluster.runners[0].runs); n > 0 {
		t.Errorf("%d attempts are left on the stalled runner", n)
	}
}

// TestSlowRunnerAvoided checks that attempts of one second are moved from a runner that
// becomes six times as slow, while there is capacity elsewhere, and that later work is
// placed elsewhere too.
func TestSlowRunnerAvoided(t *testing.T) {
	const before, after = "00000000000000f1", "00000000000000f2"
	cluster := newTestCluster(t, 4, 3)
	cluster.submit(before, 6, 1000)
	cluster.run(600)
	cluster.runners[0].slowdown = 6
	cluster.run(900)
	cluster.submit(after, 4, 1000)
	cluster.run(1700)
	for _, id := range []string{before, after} {
		if got := cluster.jobState(id); !jobSucceeded(got) {
			t.Errorf("2.6 s after the runner turned slow job %s is %s", id, got)
		}
	}
}

// TestStalledRunsStopped checks that stalled attempts are stopped although there is no
// other runner to move to, and that they are done once the runner works again.
func TestStalledRunsStopped(t *testing.T) {
	const id = "00000000000000a2"
	cluster := newTestCluster(t, 2, 1)
	runner := cluster.runners[0]
	runner.stalled = true
	cluster.submit(id, 4, 1000)
	cluster.run(500)
	if n := len(runner.runs); n != 4 {
		t.Fatalf("%d attempts started, want 4", n)
	}
	cluster.run(2500)
	if n := len(runner.runs); n > 0 {
		t.Errorf("after 3 s %d attempts are left on the stalled runner", n)
	}
	runner.stalled = false
	cluster.run(9000)
	if got := cluster.jobState(id); !jobSucceeded(got) {
		t.Errorf("9 s after the runner works again the job is %s", got)
	}
}
