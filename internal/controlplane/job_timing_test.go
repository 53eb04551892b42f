package controlplane

import (
	"slices"
	"testing"

	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// lateJob returns a job that took 1 s with a target of 100 ms.
func lateJob() *state.Job {
	terms := &state.QueueTerms{Queue: "r", Target: 100, DueAt: 1100}
	return &state.Job{Key: "q/j", Terms: terms, AcceptedAt: 1000, EndedAt: 2000, EndState: state.Succeeded}
}

// eventNames returns the names of the events logged so far, and clears them.
func eventNames(s *Server) []string {
	var names []string
	for _, event := range s.TakeOutput().Events {
		names = append(names, event.Name)
	}
	return names
}

// TestLateJobsLogIsBounded checks that late jobs are logged individually only up to a
// bound per second, and that the number of the others is logged afterwards.
func TestLateJobsLogIsBounded(t *testing.T) {
	s := &Server{leader: &leaderState{jobTimes: newJobTimes(0)}}
	for range maxLateJobsLogged + 10 {
		s.logLateJob(lateJob(), state.Timing{})
	}
	if lines := len(eventNames(s)); lines != maxLateJobsLogged {
		t.Errorf("%d events in a second, want %d", lines, maxLateJobsLogged)
	}
	s.now = clock.Monotonic(lateLogInterval)
	s.logLateJob(lateJob(), state.Timing{})
	if names := eventNames(s); !slices.Equal(names, []string{"late-jobs-not-logged", "job-late"}) {
		t.Errorf("events a second later: %v", names)
	}
}

// TestTimingFields checks that a log line contains exactly the causes for which time was
// lost.
func TestTimingFields(t *testing.T) {
	timing := state.Timing{Waiting: 1, Running: 2, Attempts: 3, Distant: 4}
	timing.Lost[state.LostRunner] = 5
	want := []any{
		"waitMs", clock.Millis(1), "runMs", clock.Millis(2), "attempts", 3, "distant", 4,
		"runnerLostMs", clock.Millis(5),
	}
	if have := timingFields(timing); !slices.Equal(have, want) {
		t.Errorf("got %v, want %v", have, want)
	}
}

// TestJobTotals checks that late and failed jobs are counted separately, and that the
// number of queues with totals is bounded.
func TestJobTotals(t *testing.T) {
	times := newJobTimes(0)
	failed := lateJob()
	failed.EndState = state.Failed
	times.totals.add(lateJob(), state.Timing{Waiting: 7}, true)
	times.totals.add(failed, state.Timing{Running: 9}, false)
	want := JobTotals{Ended: 2, Late: 1, Failed: 1, Timing: state.Timing{Waiting: 7, Running: 9}}
	if times.totals != want {
		t.Errorf("totals are %+v", times.totals)
	}
	for i := range 2 * maxTimedQueues {
		times.queue(string(rune(i)))
	}
	if len(times.queues) > maxTimedQueues {
		t.Errorf("totals kept for %d queues", len(times.queues))
	}
}
