package invariants

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/runner"
)

// Each leniency of docs/promises.md at its edge: what comes just within it is no
// violation, and one millisecond later it is. The edges are written down here once more,
// so that a constant that grows fails its row.
var leniencies = []struct {
	name string
	// edge is the last moment, in ms after the cause, that is no violation.
	edge int64
	want string
	step job.Step
	// prepare brings the cause about; act is called so many ms later.
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
		name: "cancelled task runs on while something was wrong", edge: 10300, want: CancelStopsWork, step: job.Step{Tasks: 1, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.start("r1", 0, 1)
			o.job.CancelledAt = o.cluster.now
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
	{
		name: "cancelled task runs on while all is well", edge: 1000, want: CancelStopsWork, step: job.Step{Tasks: 1, MaxDefects: 1},
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
		name: "gang runs in part", edge: 8700, want: GangRunsTogether, step: job.Step{Tasks: 2, Gang: true, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.start("r1", 0, 1)
			o.Sweep()
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
	{
		name: "gang runs in part with nothing wrong", edge: 4500, want: GangRunsTogether, step: job.Step{Tasks: 2, Gang: true, MaxDefects: 1},
		prepare: func(o *checkerFixture) {
			o.cluster.undisturbed = true
			o.start("r1", 0, 1)
			o.Sweep()
		},
		act: func(o *checkerFixture) { o.Sweep() },
	},
}

// TestLeniencyEdges acts at the edge of each leniency, and one millisecond past it.
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

// TestEarlyStartEdge starts a task as early as servers' clocks may agree to be wrong, and
// one millisecond earlier.
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

// TestUnreportedSuccessEdge starts a task again whose success was never acknowledged. It
// is a violation while the runner that ended it is in touch and lives on, and no longer:
// then nobody can have been told of it.
func TestUnreportedSuccessEdge(t *testing.T) {
	const inTouch = 10000
	for _, tc := range []struct {
		name   string
		after  int64
		change func(o *checkerFixture)
		want   string
	}{
		{"in touch", inTouch - 1, func(*checkerFixture) {}, RunsOnce},
		{"out of touch for a lease", inTouch, func(*checkerFixture) {}, ""},
		{"in touch, another incarnation", 10, func(o *checkerFixture) {
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

// TestQuietCancelWindow: while all is well a cancelled task is a violation from 1 s on,
// and one that was cancelled long ago, when all may not have been well, only by the long
// limit. Nothing escapes both: a sweep comes several times a second.
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
		t.Errorf("a cancelled task that runs on for 2 s violated %q", got)
	}
}

// TestUnreadEnds: ends that were lost with a runner's event log are counted and are no
// violation; with the log read they are one.
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
			t.Errorf("log lost %d: %d unseen ends are counted", logLost, unseen)
		}
	}
}
