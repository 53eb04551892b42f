package agent

import (
	"encoding/json"
	"testing"

	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

// lastPoll returns the last poll that the agent sent, nil if it sent none.
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

// TestUnannouncedDeparture checks a runner that sends a leave notification without having
// announced its departure, whether or not it keeps sending heartbeats, and whether the
// notification arrives once, repeatedly, or also from an earlier incarnation: the runner is
// draining immediately, gets no starts, and is never reported as left while its lease may
// still be valid.
func TestUnannouncedDeparture(t *testing.T) {
	const notice, leftAt = 2000, 1200
	for _, test := range []struct {
		name          string
		heartbeats    bool
		notifications int
	}{
		{"heartbeats continue", true, 1},
		{"silent", false, 1},
		{"notification repeated", true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newTestAgent()
			a.config.DepartureNotice = notice
			a.HandleHeartbeat(heartbeat(1, "q/a.0"), 1000)
			_, poll := takeRequest(t, a)
			respond(t, a, "k1", poll.ID, startOf("q/b.0"), 1100)
			a.TakeOutput()
			a.RunnerLeft("i-0", leftAt-50)
			if reported := lastPoll(t, a); reported != nil {
				t.Errorf("the leave notification of another incarnation was reported: %+v", reported)
			}
			a.RunnerLeft("i-1", leftAt)
			reported := lastPoll(t, a)
			if reported == nil || reported.Mode != runnerapi.ModeDraining || reported.DepartsIn != notice || reported.LeftInOrder {
				t.Fatalf("reported at the departure: %+v", reported)
			}
			leaseEnd := a.runner.leaseEnd
			for now := clock.Monotonic(leftAt + 100); now < leftAt+3000; now += 100 {
				if test.heartbeats {
					if orders := a.HandleHeartbeat(heartbeat(uint64(now), "q/a.0"), now); len(orders.Start) > 0 {
						t.Fatalf("at %d the draining runner got a start", now)
					}
				}
				if test.notifications > 1 {
					a.RunnerLeft("i-1", now)
				}
				a.Tick(now)
				if a.runner.left(now) {
					t.Fatalf("at %d the runner counts as left", now)
				}
				if left := a.runner.departsIn(now, notice); left > notice-clock.Millis(now-leftAt) && left > 0 {
					t.Fatalf("at %d the runner departs in %d ms, more than its notice", now, left)
				}
			}
			if !test.heartbeats {
				a.Tick(leaseEnd.Add(deadSlack + 10))
				if !a.runner.presumedDead(a.now) {
					t.Error("the runner is silent and its lease has expired, but it is not presumed dead")
				}
			}
		})
	}
}

// TestAnnouncedDeparture checks that a runner that announced its departure counts as left
// after leaveDelay from its leave notification, unless it sends another heartbeat.
func TestAnnouncedDeparture(t *testing.T) {
	a := newTestAgent()
	draining := heartbeat(1)
	draining.Draining = true
	a.HandleHeartbeat(draining, 1000)
	a.RunnerLeft("i-1", 1200)
	if a.runner.left(1200) || !a.runner.left(1200+clock.Monotonic(leaveDelay)+1) {
		t.Error("the runner counts as left before the delay, or not just after it")
	}
	draining.Seq = 2
	a.HandleHeartbeat(draining, 1300)
	if a.runner.left(3000) {
		t.Error("the runner counts as left after another heartbeat")
	}
}

// TestDepartureOfEarlierIncarnation checks that the leave notification of an earlier
// incarnation does not affect its successor.
func TestDepartureOfEarlierIncarnation(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	a.RunnerLeft("i-1", 1100)
	a.HandleHeartbeat(firstHeartbeat("i-2"), 1200)
	a.RunnerLeft("i-1", 1300)
	if a.runner.draining() {
		t.Error("the new incarnation counts as draining")
	}
}
