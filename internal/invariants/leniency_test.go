package invariants

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/runner"
)

// leniencies has a row for each leniency of docs/promises.md. An action at the edge is no
// violation, and one millisecond later it is. The edges are repeated here as literals, so
// that increasing one of the constants fails its row.
var leniencies = []struct {
	name string
	// edge is the last moment, in ms after the cause, that is not a violation.
	edge int64
	want string
	step job.Step
	// prepare establishes the cause; act is called at the edge and 1 ms later.
	prepare func(o *checkerFixture)
	act     func(o *checkerFixture)
}{
	{
		name: "start after the acknowledgement of a success", edge: 1600, want: RunsOnce, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.start("r1", 0, 1)
			o.reportSuccess("r1", 0, 1, true)
		},
		act: func(o *checkerFixture) { o.start("r2", 0, 2) },
	},
	{
		name: "start after the last allowed defect was acknowledged", edge: 1600, want: DefectsBounded, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.start("r1", 0, 1)
			o.event("r1", runnerapi.OutcomeDefect, 0, 1)
			o.event("r1", runner.EventAcked, 0, 1)
		},
		act: func(o *checkerFixture) { o.start("r2", 0, 2) },
	},
	{
		name: "cancelled task keeps running in a disturbed cluster", edge: 10300, want: CancelStopsWork, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.start("r1", 0, 1)
			o.job.CancelledAt = o.cluster.now
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
	{
		name: "cancelled task keeps running in a quiet cluster", edge: 1000, want: CancelStopsWork, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.cluster.quiet = true
			o.start("r1", 0, 1)
			o.job.CancelledAt = o.cluster.now
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
	{
		name: "start after a cancel", edge: 3000, want: CancelStopsWork, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) { o.job.CancelledAt = o.cluster.now },
		act:     func(o *checkerFixture) { o.start("r1", 0, 1) },
	},
	{
		name: "start on a leaving runner", edge: 2000, want: NoStartOnLeavingRunner, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) { o.RunnerLeaving("r1") },
		act:     func(o *checkerFixture) { o.start("r1", 0, 1) },
	},
	{
		name: "start in a drained domain", edge: 5000, want: NoStartInDrainedDomain, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) { o.DrainAcked("north") },
		act:     func(o *checkerFixture) { o.start("r1", 0, 1) },
	},
	{
		name: "gang runs incomplete", edge: 8700, want: GangRunsTogether, step: job.Step{Tasks: 2, Gang: true, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.start("r1", 0, 1)
			o.Sweep()
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
	{
		name: "gang runs incomplete without faults", edge: 4500, want: GangRunsTogether, step: job.Step{Tasks: 2, Gang: true, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.cluster.undisturbed = true
			o.start("r1", 0, 1)
			o.Sweep()
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
}

// TestLeniencyEdges acts at the edge of each leniency, and one millisecond later.
func TestLeniencyEdges(t *testing.T) {
	for _, tc := range leniencies {
		t.Run(tc.name, func(t *testing.T) {
			for past, want := range []string{"", tc.want} {
				o := newCheckerFixture(tc.step)
				tc.prepare(o)
				o.cluster.now += tc.edge + int64(past)
				tc.act(o)
				if got := o.violated(); got != want {
					t.Errorf("%d ms after: violated %q, want %q (%v)", tc.edge+int64(past), got, want, o.Violations)
				}
			}
		})
	}
}

// TestEarlyStartEdge starts a task as early as the tolerated clock error of the servers
// allows, and one millisecond earlier.
func TestEarlyStartEdge(t *testing.T) {
	const edge = 1000
	for past, want := range []string{"", StartsInOrder} {
		o := newCheckerFixture(job.Step{Tasks: 1, MaxDefects: 1})
		o.job.StartAt = o.cluster.now + edge + int64(past)
		o.start("r1", 0, 1)
		if got := o.violated(); got != want {
			t.Errorf("%d ms early: violated %q, want %q", edge+past, got, want)
		}
	}
}

// TestUnreportedSuccessEdge starts a task again whose success was never acknowledged.
// This is a violation as long as the runner that completed it is reachable and has not
// restarted. After that the control plane cannot learn of the success.
func TestUnreportedSuccessEdge(t *testing.T) {
	const reachableFor = 10000
	for _, tc := range []struct {
		name   string
		after  int64
		change func(o *checkerFixture)
		want   string
	}{
		{"reachable", reachableFor - 1, func(*checkerFixture) {}, RunsOnce},
		{"unreachable for a lease", reachableFor, func(*checkerFixture) {}, ""},
		{"reachable, another incarnation", 10, func(o *checkerFixture) {
			view := o.cluster.runners["r1"]
			view.Incarnation++
			o.cluster.runners["r1"] = view
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := newCheckerFixture(job.Step{Tasks: 1, MaxDefects: 1})
			o.start("r1", 0, 1)
			o.reportSuccess("r1", 0, 1, false)
			o.PollAnswered("r1")
			o.cluster.now += tc.after
			tc.change(o)
			o.start("r2", 0, 2)
			if got := o.violated(); got != tc.want {
				t.Errorf("violated %q, want %q", got, tc.want)
			}
		})
	}
}

// TestQuietCancelWindow checks that in a quiet cluster a cancelled task that keeps
// running is a violation from 1 s on. A task cancelled earlier, when the cluster may not
// have been quiet, is subject to the long limit only. No violation can slip between the
// two limits, since Sweep runs several times a second.
func TestQuietCancelWindow(t *testing.T) {
	const sweepInterval = 200
	o := newCheckerFixture(job.Step{Tasks: 1, MaxDefects: 1})
	o.cluster.quiet = true
	o.start("r1", 0, 1)
	o.job.CancelledAt = o.cluster.now
	for range 2 * 1000 / sweepInterval {
		o.cluster.now += sweepInterval
		o.Sweep()
	}
	if got := o.violated(); got != CancelStopsWork {
		t.Errorf("a cancelled task that kept running for 2 s violated %q", got)
	}
}

// TestUnreadEnds checks that a missing end is counted, and is no violation, if the event
// log of a runner was lost, and that it is a violation if the log was read.
func TestUnreadEnds(t *testing.T) {
	for logLost, want := range []string{JobStateIsTrue, ""} {
		o := newCheckerFixture(job.Step{Tasks: 1, MaxDefects: 1})
		o.start("r1", 0, 1)
		if logLost == 1 {
			o.RunnerLogLost("r1")
		} else {
			o.RunnerDead("r1")
		}
		o.JobStateReported(o.key, 200, JobFailed)
		if got := o.violated(); got != want {
			t.Errorf("log lost %d: violated %q, want %q", logLost, got, want)
		}
		if unseen := o.Counts[CountUnseenEnds]; unseen != logLost {
			t.Errorf("log lost %d: counted %d unseen ends", logLost, unseen)
		}
	}
}
