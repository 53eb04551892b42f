package runner

import (
	"encoding/json"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

func newRunner() *Runner {
	r := New(Config{Name: "r", Incarnation: "a", Capacity: job.Demand{Cores: 4, Mem: 4000}, Domain: "north", Rack: "k", Gateways: []string{"g1", "g2"}, Seed: 1}, 0)
	r.Tick(10)
	return r
}

// answerPoll hands the newest poll its answer and returns what came of it.
func answerPoll(t *testing.T, r *Runner, seq uint64, a runnerapi.PollResponse, now clock.Monotonic) Output {
	t.Helper()
	if a.Lease == 0 {
		a.Lease, a.StartTimeout = 10000, 1000
	}
	text, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	r.HandlePollResponse(seq, 200, text, now)
	return r.TakeOutput()
}

func eventKinds(o Output) string {
	var list string
	for _, e := range o.Events {
		list += e.Kind + " "
	}
	return list
}

func startOrder(id identifier.LeaseID, gang clock.Millis) runnerapi.Start {
	return runnerapi.Start{Lease: id, Task: identifier.TaskRef{Job: "a/b", Num: int(id)}, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 60000, GangLease: gang}
}

// TestLateStarts: an answer past its span, or to a poll that another has
// replaced, starts nothing, but stops all the same.
func TestLateStarts(t *testing.T) {
	r := newRunner()
	if got := eventKinds(answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, 0)}}, 1005)); got != "start " {
		t.Fatalf("in time: %q", got)
	}
	r = newRunner()
	if got := eventKinds(answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, 0)}}, 1015)); got != "" {
		t.Errorf("a start 1005 ms after its poll: %q", got)
	}
	r = newRunner()
	answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, 0), startOrder(2, 0)}}, 100)
	r.Tick(120)
	if got := eventKinds(answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(3, 0)}}, 130)); got != "" {
		t.Errorf("an answer twice: %q", got)
	}
	r.SetMode(runnerapi.ModeDraining, 5000, 140)
	if got := eventKinds(answerPoll(t, r, 2, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(3, 0)}, Stops: []identifier.LeaseID{1}}, 150)); got != "stopped " {
		t.Errorf("to a poll that another replaced: %q", got)
	}
}

// TestUsedLeases: a lease starts an attempt once, also when its stop came first.
func TestUsedLeases(t *testing.T) {
	r := newRunner()
	answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, 0)}, Stops: []identifier.LeaseID{2}}, 100)
	r.Tick(120)
	if got := eventKinds(answerPoll(t, r, r.polls.seq, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, 0), startOrder(2, 0), startOrder(3, 0)}, Stops: []identifier.LeaseID{1}}, 200)); got != "stopped start " {
		t.Errorf("used leases started again: %q", got)
	}
}

// TestSleeper: on waking past its lease a runner ends its work before it hears
// or does anything else, and an answer that waited meanwhile starts nothing.
func TestSleeper(t *testing.T) {
	r := newRunner()
	answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, 0)}}, 100)
	r.Tick(120)
	if got := eventKinds(answerPoll(t, r, r.polls.seq, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(2, 0)}, CompleteGangs: []identifier.LeaseID{1}}, 20000)); got != "lapsed " {
		t.Errorf("on waking: %q", got)
	}
}

// TestGangLease: a member goes on while its gang is called complete, by the time of the
// poll's sending, and ends itself without; a leader of an earlier version, which
// gives neither the span nor the word, changes nothing.
func TestGangLease(t *testing.T) {
	for _, gang := range []clock.Millis{0, 3000} {
		r := newRunner()
		answerPoll(t, r, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{startOrder(1, gang)}}, 100)
		ended, now := "", clock.Monotonic(100)
		for ; now < 12000 && ended == ""; now += 20 {
			r.Tick(now)
			ended = eventKinds(r.TakeOutput())
			a := runnerapi.PollResponse{}
			if now < 5000 && gang > 0 {
				a.CompleteGangs = []identifier.LeaseID{1}
			}
			if now%500 == 0 {
				ended += eventKinds(answerPoll(t, r, r.polls.seq, a, now+5))
			}
		}
		switch {
		case gang == 0 && ended != "":
			t.Errorf("a lone task ended %q at %d", ended, now)
		case gang > 0 && (ended != "lapsed " || now < 7000 || now > 8100):
			t.Errorf("without word from 5000 on it ended %q at %d", ended, now)
		}
	}
}
