package serverd

import (
	"context"
	"net/http"
	"testing"

	"orchidward/internal/consensus/raft"
	"orchidward/internal/daemon/lifecycle"
)

// TestLeaveOnStopTransfersLeadership checks that a leader that is stopped transfers leadership
// before its stop hook returns, and that the next leader decides requests made at the stopped
// server afterwards.
func TestLeaveOnStopTransfersLeadership(t *testing.T) {
	group := lifecycle.New()
	defer group.Stop(context.Background())
	seeds := freeAddrs(3)
	var servers []*Daemon
	var lives []*fakeLifecycle
	for _, addr := range seeds {
		d, life := newTestDaemon(t, group, t.TempDir(), addr, seeds)
		d.LeaveOnStop(life)
		life.start(t)
		servers = append(servers, d)
		lives = append(lives, life)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if response := retryUntilDecided(ctx, servers[0], submitJob("j")); !submitted(response) {
		t.Fatalf("before: %d %s", response.Status, response.Body)
	}
	previous := findLeader(ctx, servers)
	if previous < 0 {
		t.Fatal("there is no leader")
	}

	hooks := lives[previous].hooks
	if err := hooks[len(hooks)-1].OnStop(ctx); err != nil {
		t.Fatal(err)
	}
	if role(ctx, servers[previous]) == raft.Leader {
		t.Error("the stop hook returned, and the server is still the leader")
	}
	if next := findLeader(ctx, servers); next < 0 || next == previous {
		t.Errorf("server %d is the leader after server %d left", next, previous)
	}
	if response := retryUntilDecided(ctx, servers[previous], submitJob("j")); response.Status != http.StatusOK {
		t.Errorf("request at the server that left: %d %s", response.Status, response.Body)
	}
}
