package runner

import (
	"encoding/json"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

func fresh() *Machine {
	m := New(Boot{Name: "r", Inc: "a", Cap: job.Demand{Cores: 4, Mem: 4000}, Domain: "north", Rack: "k", Gates: []string{"g1", "g2"}, Seed: 1}, 0)
	m.Tick(10)
	return m
}

// answer hands the newest poll its answer and returns what came of it.
func answer(t *testing.T, m *Machine, seq uint64, a runnerapi.Answer, now clock.Monotonic) Out {
	t.Helper()
	if a.GrantMs == 0 {
		a.GrantMs, a.StartMs = 10000, 1000
	}
	text, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	m.Answer(seq, 200, text, now)
	return m.Take()
}

func what(o Out) string {
	var list string
	for _, e := range o.Events {
		list += e.What + " "
	}
	return list
}

func begin(id identifier.LeaseID, gang clock.Millis) runnerapi.Start {
	return runnerapi.Start{Grant: id, Task: identifier.TaskRef{Job: "a/b", Num: int(id)}, Demand: job.Demand{Cores: 1, Mem: 1}, Run: 60000, Gang: gang}
}

// TestLateStarts: an answer past its span, or to a poll that another has
// replaced, starts nothing, but stops all the same.
func TestLateStarts(t *testing.T) {
	m := fresh()
	if got := what(answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, 0)}}, 1005)); got != "start " {
		t.Fatalf("in time: %q", got)
	}
	m = fresh()
	if got := what(answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, 0)}}, 1015)); got != "" {
		t.Errorf("a start 1005 ms after its poll: %q", got)
	}
	m = fresh()
	answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, 0), begin(2, 0)}}, 100)
	m.Tick(120)
	if got := what(answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(3, 0)}}, 130)); got != "" {
		t.Errorf("an answer twice: %q", got)
	}
	m.SetMode(runnerapi.Draining, 5000, 140)
	if got := what(answer(t, m, 2, runnerapi.Answer{Starts: []runnerapi.Start{begin(3, 0)}, Stops: []identifier.LeaseID{1}}, 150)); got != "stopped " {
		t.Errorf("to a poll that another replaced: %q", got)
	}
}

// TestUsedGrants: a grant starts once, also when its stop came first.
func TestUsedGrants(t *testing.T) {
	m := fresh()
	answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, 0)}, Stops: []identifier.LeaseID{2}}, 100)
	m.Tick(120)
	if got := what(answer(t, m, m.seq, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, 0), begin(2, 0), begin(3, 0)}, Stops: []identifier.LeaseID{1}}, 200)); got != "stopped start " {
		t.Errorf("used grants began again: %q", got)
	}
}

// TestSleeper: on waking past its grant a runner ends its work before it hears
// or does anything else, and an answer that waited meanwhile starts nothing.
func TestSleeper(t *testing.T) {
	m := fresh()
	answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, 0)}}, 100)
	m.Tick(120)
	if got := what(answer(t, m, m.seq, runnerapi.Answer{Starts: []runnerapi.Start{begin(2, 0)}, Whole: []identifier.LeaseID{1}}, 20000)); got != "lapsed " {
		t.Errorf("on waking: %q", got)
	}
}

// TestGangWord: a member goes on while it is called whole, by the time of the
// poll's sending, and ends itself without; a leader of the former version, which
// gives neither the span nor the word, changes nothing.
func TestGangWord(t *testing.T) {
	for _, gang := range []clock.Millis{0, 3000} {
		m := fresh()
		answer(t, m, 1, runnerapi.Answer{Starts: []runnerapi.Start{begin(1, gang)}}, 100)
		ended, now := "", clock.Monotonic(100)
		for ; now < 12000 && ended == ""; now += 20 {
			m.Tick(now)
			ended = what(m.Take())
			a := runnerapi.Answer{}
			if now < 5000 && gang > 0 {
				a.Whole = []identifier.LeaseID{1}
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
