package agent

import (
	"encoding/json"
	"testing"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// lastPoll is the last poll that an agent sent, nil if it sent none.
func lastPoll(t *testing.T, a *Agent) *runnerapi.PollRequest {
	t.Helper()
	var last *wire.Request
	for _, envelope := range a.TakeOutput().Messages {
		if envelope.Message.Request != nil {
			last = envelope.Message.Request
		}
	}
	if last == nil {
		return nil
	}
	poll := &runnerapi.PollRequest{}
	if err := json.Unmarshal(last.Body, poll); err != nil {
		t.Fatal(err)
	}
	return poll
}

// TestUnannouncedDeparture checks what becomes of a runner that says farewell without having
// announced its departure, whether it sends heartbeats on or not, and whether the farewell
// comes once, twice, or from an earlier incarnation too: it is draining at once, gets no
// start, and is never said to have left while its lease may be in force.
func TestUnannouncedDeparture(t *testing.T) {
	const notice, farewellAt = 2000, 1200
	for _, test := range []struct {
		name       string
		heartbeats bool
		farewells  int
	}{
		{"it goes on with heartbeats", true, 1},
		{"it is silent", false, 1},
		{"the farewell is repeated", true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newTestAgent()
			a.config.DepartureNotice = notice
			a.HandleHeartbeat(heartbeat(1, "q/a.0"), 1000)
			_, poll := takeRequest(t, a)
			respond(t, a, "k1", poll.ID, startOf("q/b.0"), 1100)
			a.TakeOutput()
			a.RunnerLeft("i-0", farewellAt-50)
			if said := lastPoll(t, a); said != nil {
				t.Errorf("the farewell of another incarnation was reported: %+v", said)
			}
			a.RunnerLeft("i-1", farewellAt)
			said := lastPoll(t, a)
			if said == nil || said.Mode != runnerapi.ModeDraining || said.DepartsIn != notice || said.LeftInOrder {
				t.Fatalf("reported at the departure: %+v", said)
			}
			leaseEnd := a.runner.leaseEnd
			for now := clock.Monotonic(farewellAt + 100); now < farewellAt+3000; now += 100 {
				if test.heartbeats {
					if orders := a.HandleHeartbeat(heartbeat(uint64(now), "q/a.0"), now); len(orders.Start) > 0 {
						t.Fatalf("at %d it was given a start", now)
					}
				}
				if test.farewells > 1 {
					a.RunnerLeft("i-1", now)
				}
				a.Tick(now)
				if a.runner.hasLeft(now) {
					t.Fatalf("at %d it counts as gone", now)
				}
				if left := a.runner.departsIn(now, notice); left > notice-clock.Millis(now-farewellAt) && left > 0 {
					t.Fatalf("at %d it has %d ms left", now, left)
				}
			}
			if !test.heartbeats {
				a.Tick(leaseEnd.Add(deadSlack + 10))
				if !a.runner.presumedDead(a.now) {
					t.Error("it is silent, its lease is over, and it does not count as dead")
				}
			}
		})
	}
}

// TestAnnouncedDeparture checks that a runner which had announced its departure counts as
// gone a moment after its farewell, unless it is heard again.
func TestAnnouncedDeparture(t *testing.T) {
	a := newTestAgent()
	draining := heartbeat(1)
	draining.Draining = true
	a.HandleHeartbeat(draining, 1000)
	a.RunnerLeft("i-1", 1200)
	if a.runner.hasLeft(1200) || !a.runner.hasLeft(1200+clock.Monotonic(leaveDelay)+1) {
		t.Error("it does not count as gone just after the delay")
	}
	draining.Seq = 2
	a.HandleHeartbeat(draining, 1300)
	if a.runner.hasLeft(3000) {
		t.Error("it counts as gone though it was heard again")
	}
}

// TestDepartureOfEarlierIncarnation checks that another incarnation of the runner is not taken
// for leaving.
func TestDepartureOfEarlierIncarnation(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	a.RunnerLeft("i-1", 1100)
	a.HandleHeartbeat(firstHeartbeat("i-2"), 1200)
	a.RunnerLeft("i-1", 1300)
	if a.runner.draining() {
		t.Error("the new incarnation counts as leaving")
	}
}
