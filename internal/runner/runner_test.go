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

// newTestRunner is a runner that has sent its first poll.
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

// respond answers a poll and returns the kinds of the events that it brings about.
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

// eventKinds lists the kinds of an output's events, with a space between them.
func eventKinds(output Output) string {
	var kinds []string
	for _, event := range output.Events {
		kinds = append(kinds, event.Kind)
	}
	return strings.Join(kinds, " ")
}

// starts orders an attempt of a minute to start for each lease.
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

// TestLateStartsIgnored checks that a response past its time, or to a poll that another
// has replaced, starts nothing, and that stops are followed all the same.
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

// TestUsedLeasesNotStartedAgain checks that a lease starts one attempt at most, and none
// when its stop came first.
func TestUsedLeasesNotStartedAgain(t *testing.T) {
	r := newTestRunner()
	respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1), Stops: []identifier.LeaseID{2}}, 100)
	r.Tick(120)
	response := runnerapi.PollResponse{Starts: starts(1, 2, 3), Stops: []identifier.LeaseID{1}}
	if got := respond(t, r, r.polls.seq, response, 200); got != "stopped start" {
		t.Errorf("used leases started again: %q", got)
	}
}

// TestLeaseLapsesBeforeResponse checks that a runner that stood still past its lease first
// ends its attempts, and that a response which waited meanwhile starts nothing.
func TestLeaseLapsesBeforeResponse(t *testing.T) {
	r := newTestRunner()
	respond(t, r, 1, runnerapi.PollResponse{Starts: starts(1)}, 100)
	r.Tick(120)
	response := runnerapi.PollResponse{Starts: starts(2), CompleteGangs: []identifier.LeaseID{1}}
	if got := respond(t, r, r.polls.seq, response, 20000); got != "lapsed" {
		t.Errorf("on waking: %q", got)
	}
}

// runGang runs one attempt under a gang lease, 0 for none, whose gang is called complete
// until completeUntil. It returns how the attempt ended before the time limit, and when.
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

// TestGangLease checks that a gang member goes on while responses call its gang complete,
// counted from when their polls were sent, and ends itself otherwise.
func TestGangLease(t *testing.T) {
	outcome, endedAt := runGang(t, 3000, 5000)
	if outcome != runnerapi.OutcomeLeaseLapsed || endedAt < 7000 || endedAt > 8100 {
		t.Errorf("not called complete from 5000 on it ended %q at %d", outcome, endedAt)
	}
}

// TestNoGangLease checks that an attempt without a gang lease, as leaders of an earlier
// version start it, goes on although no response calls a gang complete.
func TestNoGangLease(t *testing.T) {
	outcome, endedAt := runGang(t, 0, 0)
	if outcome != "" {
		t.Errorf("it ended %q at %d", outcome, endedAt)
	}
}
