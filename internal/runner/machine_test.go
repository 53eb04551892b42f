package runner

import (
	"encoding/json"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

func fresh() *Runner {
	m := New(Config{Name: "r", Incarnation: "a", Capacity: job.Demand{Cores: 4, Mem: 4000}, Domain: "north", Rack: "k", Gateways: []string{"g1", "g2"}, Seed: 1}, 0)
	m.Tick(10)
	return m
}

// answer hands the newest poll its answer and returns what came of it.
func answer(t *testing.T, m *Runner, seq uint64, a runnerapi.PollResponse, now clock.Monotonic) Output {
	t.Helper()
	if a.Lease == 0 {
		a.Lease, a.StartTimeout = 10000, 1000
	}
	text, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	m.HandlePollResponse(seq, 200, text, now)
	return m.TakeOutput()
}

func what(o Output) string {
	var list string
	for _, e := range o.Events {
		list += e.Kind + " "
	}
	return list
}

func begin(id identifier.LeaseID, gang clock.Millis) runnerapi.Start {
	return runnerapi.Start{Lease: id, Task: identifier.TaskRef{Job: "a/b", Num: int(id)}, Demand: job.Demand{Cores: 1, Mem: 1}, ExpectedRun: 60000, GangLease: gang}
}

// TestLateStarts: an answer past its span, or to a poll that another has
// replaced, starts nothing, but stops all the same.
func TestLateStarts(t *testing.T) {
	m := fresh()
	if got := what(answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, 0)}}, 1005)); got != "start " {
		t.Fatalf("in time: %q", got)
	}
	m = fresh()
	if got := what(answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, 0)}}, 1015)); got != "" {
		t.Errorf("a start 1005 ms after its poll: %q", got)
	}
	m = fresh()
	answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, 0), begin(2, 0)}}, 100)
	m.Tick(120)
	if got := what(answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(3, 0)}}, 130)); got != "" {
		t.Errorf("an answer twice: %q", got)
	}
	m.SetMode(runnerapi.ModeDraining, 5000, 140)
	if got := what(answer(t, m, 2, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(3, 0)}, Stops: []identifier.LeaseID{1}}, 150)); got != "stopped " {
		t.Errorf("to a poll that another replaced: %q", got)
	}
}

// TestUsedGrants: a grant starts once, also when its stop came first.
func TestUsedGrants(t *testing.T) {
	m := fresh()
	answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, 0)}, Stops: []identifier.LeaseID{2}}, 100)
	m.Tick(120)
	if got := what(answer(t, m, m.seq, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, 0), begin(2, 0), begin(3, 0)}, Stops: []identifier.LeaseID{1}}, 200)); got != "stopped start " {
		t.Errorf("used grants began again: %q", got)
	}
}

// TestSleeper: on waking past its grant a runner ends its work before it hears
// or does anything else, and an answer that waited meanwhile starts nothing.
func TestSleeper(t *testing.T) {
	m := fresh()
	answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, 0)}}, 100)
	m.Tick(120)
	if got := what(answer(t, m, m.seq, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(2, 0)}, CompleteGangs: []identifier.LeaseID{1}}, 20000)); got != "lapsed " {
		t.Errorf("on waking: %q", got)
	}
}

// TestGangWord: a member goes on while it is called whole, by the time of the
// poll's sending, and ends itself without; a leader of the former version, which
// gives neither the span nor the word, changes nothing.
func TestGangWord(t *testing.T) {
	for _, gang := range []clock.Millis{0, 3000} {
		m := fresh()
		answer(t, m, 1, runnerapi.PollResponse{Starts: []runnerapi.Start{begin(1, gang)}}, 100)
		ended, now := "", clock.Monotonic(100)
		for ; now < 12000 && ended == ""; now += 20 {
			m.Tick(now)
			ended = what(m.TakeOutput())
			a := runnerapi.PollResponse{}
			if now < 5000 && gang > 0 {
				a.CompleteGangs = []identifier.LeaseID{1}
			}
			if now%500 == 0 {
				ended += what(answer(t, m, m.seq, a, now+5))
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
