package controlplane_test

import (
	"slices"
	"testing"
)

// TestStalledRunsMoved checks that attempts are moved away from a runner whose work has
// stalled while its heartbeats continue, and that nothing new is placed there for a
// while.
func TestStalledRunsMoved(t *testing.T) {
	const id = "00000000000000a1"
	cluster := newTestCluster(t, 1, 2)
	cluster.runners[0].stalled = true
	cluster.submit(id, 8, 1000)
	cluster.run(7500)
	if got := cluster.jobState(id); !jobSucceeded(got) {
		t.Errorf("after 7.5 s, the job is %s", got)
	}
	if n := len(cluster.runners[0].runs); n > 0 {
		t.Errorf("%d attempts remain on the stalled runner", n)
	}
}

// TestSlowRunnerAvoided checks that work is placed on other runners while they have
// capacity once a runner has become six times slower. Attempts already on the slow runner
// stay and finish as soon as its rate allows, so that their progress is not lost.
func TestSlowRunnerAvoided(t *testing.T) {
	const before, after = "00000000000000f1", "00000000000000f2"
	cluster := newTestCluster(t, 4, 3)
	cluster.submit(before, 3, 1000)
	cluster.run(600)
	cluster.runners[0].slowdown = 6
	running := slices.Clone(cluster.runners[0].runs)
	cluster.run(900)
	for _, run := range running {
		if !slices.Contains(cluster.runners[0].runs, run) {
			t.Errorf("attempt %v was removed from the slow runner", run)
		}
	}
	cluster.submit(after, 4, 1000)
	cluster.run(1700)
	if got := cluster.jobState(after); !jobSucceeded(got) {
		t.Errorf("1.7 s after its submission, with one slow runner, job %s is %s", after, got)
	}
	cluster.run(500)
	if got := cluster.jobState(before); !jobSucceeded(got) {
		t.Errorf("3.1 s after the runner became slow, job %s is %s", before, got)
	}
}

// TestStalledRunsStopped checks that stalled attempts are stopped even if there is no
// other runner to move them to, and that they complete once the runner works again.
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
		t.Errorf("after 3 s, %d attempts remain on the stalled runner", n)
	}
	runner.stalled = false
	cluster.run(9000)
	if got := cluster.jobState(id); !jobSucceeded(got) {
		t.Errorf("9 s after the runner recovered, the job is %s", got)
	}
}
