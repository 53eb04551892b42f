package gatewayd

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/gateway"
)

// inFlight returns the number of requests in flight plus the number of callers waiting for
// their responses.
func inFlight(t *testing.T, d *Daemon) int {
	t.Helper()
	count := 0
	if !d.Inspect(context.Background(), func(g *gateway.Gateway) { count = g.InFlight() + len(d.callers) }) {
		t.Fatal("the loop executes no calls")
	}
	return count
}

// TestRequestToLeader checks that a request is sent to the leader and its response returned,
// and that an abandoned request is dropped.
func TestRequestToLeader(t *testing.T) {
	group := lifecycle.New()
	defer group.Stop(context.Background())
	leader, addr := startLeader(t, group)
	d, life := newTestDaemon(t, group, addr)
	life.start(t)
	waitFor(t, "the gateway has no contact with the leader", d.Ready)
	response := d.Do(context.Background(), gateway.Request{Method: http.MethodGet, Path: "/v1/table"})
	if response.Status != http.StatusOK || string(response.Body) != "the table" {
		t.Errorf("got %d %s", response.Status, response.Body)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan gateway.Response, 1)
	group.Go(func(<-chan struct{}) {
		got <- d.Do(ctx, gateway.Request{Method: http.MethodGet, Path: "/v1/jobs", Budget: 30000})
	})
	waitFor(t, "the request did not reach the leader", func() bool { return leader.unanswered.Load() > 0 })
	if count := inFlight(t, d); count != 2 {
		t.Errorf("%d in flight, want the request and its caller", count)
	}
	cancel()
	if response = <-got; response.Status != http.StatusGatewayTimeout {
		t.Errorf("an abandoned request returned %d", response.Status)
	}
	waitFor(t, "an abandoned request is still in flight", func() bool { return inFlight(t, d) == 0 })
}

// TestRequestRefusedAtOnce checks that a gateway that is overloaded, has lost contact or has
// stopped rejects requests immediately.
func TestRequestRefusedAtOnce(t *testing.T) {
	group := lifecycle.New()
	d, life := newTestDaemon(t, group, "127.0.0.1:1")
	for d.loop.Post(func(*gateway.Gateway) {}) {
	}
	ask := func() gateway.Response {
		return d.Do(context.Background(), gateway.Request{Method: http.MethodGet, Path: "/v1/table", Budget: 30000})
	}
	response := ask()
	if response.Status != http.StatusServiceUnavailable || response.RetryAfter == 0 || !strings.Contains(string(response.Body), "busy") {
		t.Errorf("a full queue answered %d %s", response.Status, response.Body)
	}

	life.start(t)
	waitFor(t, "the loop executes no calls", func() bool {
		return d.Inspect(context.Background(), func(*gateway.Gateway) {})
	})
	response = ask()
	if response.Status != http.StatusServiceUnavailable || !strings.Contains(string(response.Body), "out-of-touch") {
		t.Errorf("without contact: %d %s", response.Status, response.Body)
	}

	if err := group.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if response = ask(); response.Status != http.StatusGatewayTimeout {
		t.Errorf("after the loop ended: %d", response.Status)
	}
}

// TestQueueTimeCounts checks that the time a request spends in the loop's queue is subtracted
// from its budget.
func TestQueueTimeCounts(t *testing.T) {
	const budget = 100
	group := lifecycle.New()
	defer group.Stop(context.Background())
	leader, addr := startLeader(t, group)
	d, life := newTestDaemon(t, group, addr)
	life.start(t)
	waitFor(t, "the gateway has no contact with the leader", d.Ready)
	d.loop.Post(func(*gateway.Gateway) { time.Sleep(2 * budget * time.Millisecond) })
	response := d.Do(context.Background(), gateway.Request{Method: http.MethodPut, Path: "/v1/closings/a", Budget: budget})
	if response.Status != http.StatusServiceUnavailable || leader.unanswered.Load() != 0 {
		t.Errorf("answered %d %s, and the leader got %d requests", response.Status, response.Body, leader.unanswered.Load())
	}
}
