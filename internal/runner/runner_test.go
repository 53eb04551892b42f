package runner

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

const (
	testLease        clock.Millis = 10000
	testStartTimeout clock.Millis = 1000
	// firstPollAt is when the first poll, number 1, is sent.
	firstPollAt clock.Monotonic = 10
)

// newTestRunner returns a runner that has sent its first poll.
func newTestRunner() *Runner {
	r := New(Config{
		Name:        "r",
		Incarnation: "a",
		Capacity:    job.Demand{Cores: 4, Mem: 4000},
		Domain:      "north",
		Rack:        "k",
		Gateways:    []string{"g1", "g2"},
		Seed:        1,
	}, 0)
	r.Tick(firstPollAt)
	return r
}

// respond delivers a response to a poll and returns the kinds of the resulting events.
func respond(t *testing.T, r *Runner, seq uint64, response runnerapi.PollResponse, now clock.Monotonic) string {
	t.Helper()
	response.Lease = testLease
	response.StartTimeout = testStartTimeout
	body, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	r.HandlePollResponse(seq, http.StatusOK, body, now)
	return eventKinds(r.TakeOutput())
}

// eventKinds returns the kinds of an output's events, separated by spaces.
func eventKinds(output Output) string {
	var kinds []string
	for _, event := range output.Events {
		kinds = append(kinds, event.Kind)
	}
	return strings.Join(kinds, " ")
}

// starts returns an order for a one-minute attempt for each lease.
func starts(leases ...identifier.LeaseID) []runnerapi.Start {
	var list []runnerapi.Start
	for _, id := range leases {
		list = append(list, runnerapi.Start{
			Lease:       id,
			Task:        identifier.TaskRef{Job: "a/b", Num: int(id)},
			Demand:      job.Demand{Cores: 1, Mem: 1},
			ExpectedRun: 60000,
		})
	}
	return list
}

// TestLateStartsIgnored checks that a response past its timeout, or to a poll that another one
// has replaced, starts nothing, while its stops still apply.
func TestLateStartsIgnored(t *testing.T) {
	t.Run("in time", func(t *testing.T) {
		r := newTestRunner()
		if got := respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1)}, 1005); got != "start" {
			t.Errorf("a start 995 ms after its poll: %q", got)
		}
	})
	t.Run("late", func(t *testing.T) {
		r := newTestRunner()
		if got := respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1)}, 1015); got != "" {
			t.Errorf("a start 1005 ms after its poll: %q", got)
		}
	})
	t.Run("to an old poll", func(t *testing.T) {
		r := newTestRunner()
		respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1, 2)}, 100)
		r.Tick(120)
		if got := respond(t, r, 1, runnerapi.PollResponse{Starts: starts(3)}, 130); got != "" {
			t.Errorf("a second response: %q", got)
		}
		r.SetMode(runnerapi.ModeDraining, 5000, 140)
		response := runnerapi.PollResponse{Starts: starts(3), Stops: []identifier.LeaseID{1}}
		if got := respond(t, r, 2, response, 150); got != "stopped" {
			t.Errorf("a response to a poll that another replaced: %q", got)
		}
	})
}

// TestUsedLeasesNotStartedAgain checks that a lease starts at most one attempt, and none if
// its stop arrived first.
func TestUsedLeasesNotStartedAgain(t *testing.T) {
	r := newTestRunner()
	respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1), Stops: []identifier.LeaseID{2}}, 100)
	r.Tick(120)
	response := runnerapi.PollResponse{Starts: starts(1, 2, 3), Stops: []identifier.LeaseID{1}}
	if got := respond(t, r, r.polls.seq, response, 200); got != "stopped start" {
		t.Errorf("used leases started again: %q", got)
	}
}

// TestLeaseLapsesBeforeResponse checks that a runner that was suspended past its lease first
// ends its attempts, and that a response that arrived in the meantime starts nothing.
func TestLeaseLapsesBeforeResponse(t *testing.T) {
	r := newTestRunner()
	respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1)}, 100)
	r.Tick(120)
	response := runnerapi.PollResponse{Starts: starts(2), CompleteGangs: []identifier.LeaseID{1}}
	if got := respond(t, r, r.polls.seq, response, 20000); got != "lapsed" {
		t.Errorf("after the suspension: %q, want only lapsed", got)
	}
}

// runGang runs one attempt under a gang lease, 0 for none, and has the responses list its gang
// as complete until completeUntil. It returns the attempt's outcome and when it ended; the
// outcome is empty if it was still running at the time limit.
func runGang(t *testing.T, gangLease clock.Millis, completeUntil clock.Monotonic) (outcome string, endedAt clock.Monotonic) {
	t.Helper()
	const (
		limit        clock.Monotonic = 12000
		pollInterval clock.Monotonic = 500
	)
	r := newTestRunner()
	order := starts(1)
	order[0].GangLease = gangLease
	respond(t, r, 1, runnerapi.PollResponse{Starts: order}, 100)
	now := clock.Monotonic(100)
	for ; now < limit && outcome == ""; now += clock.Monotonic(TickInterval) {
		r.Tick(now)
		outcome = eventKinds(r.TakeOutput())
		response := runnerapi.PollResponse{}
		if now < completeUntil {
			response.CompleteGangs = []identifier.LeaseID{1}
		}
		if now%pollInterval == 0 {
			outcome += respond(t, r, r.polls.seq, response, now+5)
		}
	}
	return outcome, now
}

// TestGangLease checks that a gang member keeps running while responses list its gang as
// complete, and ends once its gang lease, counted from when their polls were sent, has expired.
func TestGangLease(t *testing.T) {
	outcome, endedAt := runGang(t, 3000, 5000)
	if outcome != runnerapi.OutcomeLeaseLapsed || endedAt < 7000 || endedAt > 8100 {
		t.Errorf("complete until 5000, the attempt ended %q at %d", outcome, endedAt)
	}
}

// TestNoGangLease checks that an attempt without a gang lease, as started by leaders of an
// earlier version, keeps running although no response lists its gang as complete.
func TestNoGangLease(t *testing.T) {
	outcome, endedAt := runGang(t, 0, 0)
	if outcome != "" {
		t.Errorf("the attempt ended %q at %d", outcome, endedAt)
	}
}
