package state

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// TestPlacementIsRechecked checks that the store never applies a placement that is
// invalid at the time it is applied, whatever the leader planned.
func TestPlacementIsRechecked(t *testing.T) {
	f := newFixture(t, `{"low.maxCores":4}`)
	labelled := singleTaskStep(1)
	labelled.Labels = []identifier.Label{"gpu"}
	second := singleTaskStep(1)
	second.Name = "next"
	second.After = []string{"one"}
	f.submit("a/big", "default", singleTaskStep(9))
	f.submit("a/label", "default", labelled)
	f.submit("a/two", "default", singleTaskStep(1), second)
	f.submit("a/gang", "default", gangStep(3, 4))
	f.submit("a/low", "low", singleTaskStep(5))
	delayed := job.Spec{Row: "default", NotBefore: 5000, Steps: []job.Step{singleTaskStep(1)}}
	f.apply(http.StatusCreated, &Command{SubmitJob: &SubmitJob{Key: "a/delayed", Spec: delayed}})

	for _, invalid := range []struct {
		name    string
		job     identifier.JobKey
		step    int
		tasks   []int
		runners []identifier.Runner
	}{
		{"larger than the runner", "a/big", 0, []int{0}, []identifier.Runner{"r1"}},
		{"a label that the runner does not have", "a/label", 0, []int{0}, []identifier.Runner{"r1"}},
		{"before the step that it depends on", "a/two", 1, []int{0}, []identifier.Runner{"r1"}},
		{"a part of a gang", "a/gang", 0, []int{0, 1}, []identifier.Runner{"r1", "r2"}},
		{"more of a gang than fits on the runner", "a/gang", 0, []int{0, 1, 2}, []identifier.Runner{"r1", "r1", "r1"}},
		{"one member of a gang twice", "a/gang", 0, []int{0, 0, 1}, []identifier.Runner{"r1", "r2", "r3"}},
		{"over the row's limit", "a/low", 0, []int{0}, []identifier.Runner{"r1"}},
		{"before the start time", "a/delayed", 0, []int{0}, []identifier.Runner{"r1"}},
		{"an unknown job", "a/none", 0, []int{0}, []identifier.Runner{"r1"}},
		{"an unknown runner", "a/two", 0, []int{0}, []identifier.Runner{"nobody"}},
	} {
		f.place(invalid.job, invalid.step, invalid.tasks, invalid.runners...)
		if n := len(f.store.Leases); n != 0 {
			t.Fatalf("%s: %d invalid placements were applied", invalid.name, n)
		}
	}

	f.apply(http.StatusOK, &Command{StartDrain: &StartDrain{Domain: "north"}})
	f.place("a/two", 0, []int{0}, "r2")
	if len(f.store.Leases) != 0 {
		t.Fatal("a task was placed on a cordoned runner")
	}
	f.place("a/two", 0, []int{0}, "r1")
	f.place("a/two", 0, []int{0}, "r3")
	if len(f.store.Leases) != 1 {
		t.Fatalf("one task has %d leases", len(f.store.Leases))
	}
	f.store.Apply(&Command{At: 5000})
	f.place("a/delayed", 0, []int{0}, "r1")
	if len(f.store.Leases) != 2 {
		t.Fatal("the job was not placed once its start time was reached")
	}
}

// TestQueuePlacement checks that a queue's job runs only on runners of the queue's pool,
// with at most MaxPerRunner tasks of a step on one runner, whatever the leader planned.
func TestQueuePlacement(t *testing.T) {
	f := newQueueFixture(t)
	f.submitToQueue("q/j", job.Spec{Steps: []job.Step{{Tasks: 6, MaxPerRunner: 2}}})
	for _, runner := range []identifier.Runner{"r1", "r9"} {
		f.place("q/j", 0, []int{0}, runner)
	}
	if n := f.openLeases("q/j"); n != 0 {
		t.Errorf("%d placed outside the pool", n)
	}
	f.place("q/j", 0, []int{0, 1, 2}, "r5", "r5", "r5")
	if n := f.openLeases("q/j"); n != 0 {
		t.Errorf("%d placed on one runner in a placement that exceeds MaxPerRunner", n)
	}
	f.place("q/j", 0, []int{0, 1}, "r5", "r5")
	f.place("q/j", 0, []int{2}, "r5")
	if n := f.openLeases("q/j"); n != 2 {
		t.Errorf("%d tasks on a runner with MaxPerRunner 2", n)
	}
	f.submit("a/j", "a", singleTaskStep(1))
	f.place("a/j", 0, []int{0}, "r5")
	if n := f.openLeases("a/j"); n != 0 {
		t.Error("a row's job was placed in a pool of the catalogue")
	}
}
