package serverd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/gateway"
)

// TestRequestAtAnyServer checks that a request made at any server, leader or follower, is
// decided by the leader, and that all servers return a job accepted through one of them.
func TestRequestAtAnyServer(t *testing.T) {
	group := lifecycle.New()
	defer group.Stop(context.Background())
	servers := startServers(t, group, freeAddrs(3))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i, d := range servers {
		response := retryUntilDecided(ctx, d, submitJob(fmt.Sprintf("j%d", i)))
		if !submitted(response) {
			t.Fatalf("server %d answered %d %s", i, response.Status, response.Body)
		}
	}
	for i, d := range servers {
		response := retryUntilDecided(ctx, d, gateway.Request{Method: http.MethodGet, Path: "/v1/jobs"})
		for j := range servers {
			if !strings.Contains(string(response.Body), fmt.Sprintf("a/j%d", j)) {
				t.Errorf("server %d does not list job %d: %d %s", i, j, response.Status, response.Body)
			}
		}
		if count := memberCount(ctx, d); count != len(servers) {
			t.Errorf("server %d knows %d members", i, count)
		}
		waitFor(t, fmt.Sprintf("server %d is not ready", i), d.Ready)
	}
}

// TestDisklessServerForwards checks that a server without a data folder stores nothing and is
// not a member of the group, and that the leader still decides requests made at it.
func TestDisklessServerForwards(t *testing.T) {
	group := lifecycle.New()
	defer group.Stop(context.Background())
	addrs := freeAddrs(4)
	seeds := addrs[:3]
	forwarder, life := newTestDaemon(t, group, "", addrs[3], seeds)
	life.start(t)
	response := forwarder.Do(context.Background(), gateway.Request{Method: http.MethodGet, Path: "/v1/table", Budget: 300})
	if response.Status != http.StatusServiceUnavailable || !strings.Contains(string(response.Body), "no-leader") {
		t.Errorf("before there is a group: %d %s", response.Status, response.Body)
	}

	servers := startServers(t, group, seeds)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response = retryUntilDecided(ctx, forwarder, submitJob("j"))
	if !submitted(response) {
		t.Fatalf("the forwarder answered %d %s", response.Status, response.Body)
	}
	response = retryUntilDecided(ctx, servers[0], gateway.Request{Method: http.MethodGet, Path: "/v1/jobs"})
	if !strings.Contains(string(response.Body), "a/j") {
		t.Errorf("a member does not list the job: %d %s", response.Status, response.Body)
	}

	isMember := true
	if !forwarder.Inspect(ctx, func(s *controlplane.Server) { isMember = s.Raft() != nil }) || isMember || !forwarder.Ready() {
		t.Errorf("forwarder is a member: %v, ready: %v", isMember, forwarder.Ready())
	}
	if count := memberCount(ctx, servers[0]); count != len(seeds) {
		t.Errorf("the group has %d members", count)
	}
}

// TestServerWithoutLeader checks that a server without a known leader rejects a request with a
// retry delay once the request's budget is used up, and that an overloaded or stopped server
// rejects it immediately.
func TestServerWithoutLeader(t *testing.T) {
	group := lifecycle.New()
	seeds := freeAddrs(3)
	d, life := newTestDaemon(t, group, t.TempDir(), seeds[0], seeds)
	ask := func(budget clock.Millis) gateway.Response {
		return d.Do(context.Background(), gateway.Request{Method: http.MethodGet, Path: "/v1/table", Budget: budget})
	}
	for i := 0; i < callQueueSize; i++ {
		if !d.loop.Post(func(*controlplane.Server) {}) {
			t.Fatalf("full after %d", i)
		}
	}
	if response := ask(0); response.Status != http.StatusServiceUnavailable || response.RetryAfter == 0 {
		t.Errorf("a full queue answered %d %s", response.Status, response.Body)
	}

	life.start(t)
	waitFor(t, "the loop executes no calls", func() bool {
		return d.Inspect(context.Background(), func(*controlplane.Server) {})
	})
	response := ask(300)
	if response.Status != http.StatusServiceUnavailable || response.RetryAfter == 0 || !strings.Contains(string(response.Body), "no-leader") {
		t.Errorf("without a leader: %d %s", response.Status, response.Body)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	response = d.Do(cancelled, gateway.Request{Method: http.MethodGet, Path: "/v1/table"})
	if response.Status != http.StatusGatewayTimeout {
		t.Errorf("an abandoned request returned %d", response.Status)
	}
	waitFor(t, "requests are still pending", func() bool {
		waiting := -1
		d.Inspect(context.Background(), func(*controlplane.Server) { waiting = d.requests.Len() })
		return waiting == 0
	})

	if err := group.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if response := ask(0); response.Status != http.StatusGatewayTimeout {
		t.Errorf("after the loop ended: %d", response.Status)
	}
	if d.Inspect(context.Background(), func(*controlplane.Server) {}) {
		t.Error("a call was executed after the loop ended")
	}
}

// TestQueueTimeCounts checks that the time a request spends in the loop's queue is subtracted
// from its budget: an order whose caller has timed out is not applied.
func TestQueueTimeCounts(t *testing.T) {
	const budget = 100
	group := lifecycle.New()
	defer group.Stop(context.Background())
	servers := startServers(t, group, freeAddrs(1))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if response := retryUntilDecided(ctx, servers[0], submitJob("j")); !submitted(response) {
		t.Fatalf("answered %d %s", response.Status, response.Body)
	}
	servers[0].loop.Post(func(*controlplane.Server) { time.Sleep(2 * budget * time.Millisecond) })
	late := submitJob("late")
	late.Budget = budget
	if response := servers[0].Do(ctx, late); response.Status != http.StatusServiceUnavailable {
		t.Errorf("answered %d %s", response.Status, response.Body)
	}
	response := retryUntilDecided(ctx, servers[0], gateway.Request{Method: http.MethodGet, Path: "/v1/jobs"})
	if strings.Contains(string(response.Body), "a/late") {
		t.Errorf("a job was accepted after its caller's budget had run out: %s", response.Body)
	}
}
