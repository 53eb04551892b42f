package controlplane_test

import (
	"slices"
	"testing"

	"orchidward/internal/api/runnerapi"
)

// TestRefusalDoesNotReplaceEnd guards against a task that runs again because its runner
// reports, in one poll, that an attempt succeeded and that it refused a repeated start of it.
func TestRefusalDoesNotReplaceEnd(t *testing.T) {
	for _, reversed := range []bool{false, true} {
		cluster := newTestCluster(t, 1, 1)
		runner := cluster.runners[0]
		cluster.submit(numberedJob(1), 1, 500)
		cluster.run(300)
		run := runner.runs[0]
		runner.isolated = true
		cluster.run(600)
		runner.reportEnd(run, runnerapi.OutcomeRejected)
		if len(runner.ends) != 2 {
			t.Fatalf("the runner holds %v, want a success and a refusal", runner.ends)
		}
		if reversed {
			slices.Reverse(runner.ends)
		}
		runner.isolated = false
		cluster.run(2000)
		if got := cluster.jobState(numberedJob(1)); !jobSucceeded(got) {
			t.Errorf("listed in reverse %v: the job is %s", reversed, got)
		}
		if cluster.server.State().Jobs["q/0000000000000001"].Steps[0][0].Attempt != 1 {
			t.Errorf("listed in reverse %v: the task was placed again", reversed)
		}
	}
}
