package agent

import (
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// TestReplacedPollRenewsLease checks that a poll with new information replaces the open one,
// and that the response to the replaced poll has no effect other than to renew the lease,
// once, from when that poll was sent.
func TestReplacedPollRenewsLease(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	_, first := takeRequest(t, a)
	a.HandleHeartbeat(heartbeat(2, "q/a.0"), 1100)
	_, second := takeRequest(t, a)
	if first.ID == second.ID {
		t.Fatal("a new attempt did not replace the poll")
	}

	respond(t, a, "k1", first.ID, startOf("q/b.0"), 1200)
	orders := a.HandleHeartbeat(heartbeat(3, "q/a.0"), 1300)
	if orders.Lease != 4700 || len(orders.Start) > 0 {
		t.Errorf("held for %d, %d starts; want 4700 and none", orders.Lease, len(orders.Start))
	}

	respond(t, a, "k1", first.ID, runnerapi.PollResponse{}, 1400)
	orders = a.HandleHeartbeat(heartbeat(4, "q/a.0"), 2300)
	if orders.Lease != 3700 {
		t.Errorf("a duplicate response renewed the lease: held for %d", orders.Lease)
	}
}

// TestNewLeaderPolledAtOnce checks that the agent immediately polls a server that announces
// itself as leader, but not one that only names the leader.
func TestNewLeaderPolledAtOnce(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	if to, _ := takeRequest(t, a); to == "k9" {
		t.Fatal("polled k9 before its announcement")
	}

	members := []raft.Member{{ID: 9, Addr: "k9"}, {ID: 2, Addr: "k2"}}
	leader := &wire.Announcement{Role: wire.RoleServer, Node: 9, LeaderID: 9, Addr: "k9", Members: members}
	a.HandleMessage("k9", wire.Message{Announcement: leader}, 1050)
	if to, _ := takeRequest(t, a); to != "k9" {
		t.Errorf("polled %s, want k9", to)
	}

	follower := &wire.Announcement{Role: wire.RoleServer, Node: 2, LeaderID: 9, Addr: "k2"}
	a.HandleMessage("k2", wire.Message{Announcement: follower}, 1060)
	if n := len(a.TakeOutput().Messages); n > 0 {
		t.Error("polled after the announcement of a follower")
	}
}

// TestFencingTokenRequested checks that before the first heartbeat the agent requests the
// fencing token from one server after another until one answers.
func TestFencingTokenRequested(t *testing.T) {
	a := newTestAgent()
	a.Tick(1000)
	firstServer, first := takeRequest(t, a)
	if first.Path != endpoint.FencingTokenPath {
		t.Fatalf("requested %s", first.Path)
	}
	refusal := &wire.Response{ID: first.ID, Status: http.StatusServiceUnavailable, NotLeader: true}
	a.HandleMessage(firstServer, wire.Message{Response: refusal}, 1010)
	a.Tick(1400)
	secondServer, second := takeRequest(t, a)
	if secondServer == firstServer {
		t.Error("the same server got the second request")
	}
	respond(t, a, secondServer, second.ID, runnerapi.PollResponse{FencingToken: 9}, 1410)
	if a.FencingToken() != 9 {
		t.Errorf("fencing token %d, want 9", a.FencingToken())
	}
	a.Tick(1800)
	if n := len(a.TakeOutput().Messages); n > 0 {
		t.Error("requested the token again although it is known")
	}
}
