package agent

import (
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

// TestReplacedPollRenewsLease checks that a poll with something new replaces the open one,
// and that the answer to the one replaced orders nothing but renews the lease, once, from
// when that poll was sent.
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
		t.Errorf("an answer counted twice: held for %d", orders.Lease)
	}
}

// TestNewLeaderPolledAtOnce checks that a server that says it leads is polled at once, and
// that one which only knows the leader is not.
func TestNewLeaderPolledAtOnce(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	if to, _ := takeRequest(t, a); to == "k9" {
		t.Fatal("polled k9 before it was heard of")
	}

	members := []raft.Member{{ID: 9, Addr: "k9"}, {ID: 2, Addr: "k2"}}
	leader := &wire.Announcement{Role: wire.RoleServer, Node: 9, LeaderID: 9, Addr: "k9", Members: members}
	a.HandleMessage("k9", wire.Message{Announcement: leader}, 1050)
	if to, _ := takeRequest(t, a); to != "k9" {
		t.Errorf("polls %s", to)
	}

	follower := &wire.Announcement{Role: wire.RoleServer, Node: 2, LeaderID: 9, Addr: "k2"}
	a.HandleMessage("k2", wire.Message{Announcement: follower}, 1060)
	if n := len(a.TakeOutput().Messages); n > 0 {
		t.Error("a server that only knows the leader was followed")
	}
}

// TestFencingTokenRequested checks that before there is a heartbeat the agent asks for the
// fencing token, one server after another, until one answers.
func TestFencingTokenRequested(t *testing.T) {
	a := newTestAgent()
	a.Tick(1000)
	firstServer, first := takeRequest(t, a)
	if first.Path != endpoint.FencingTokenPath {
		t.Fatalf("asked for %s", first.Path)
	}
	refusal := &wire.Response{ID: first.ID, Status: http.StatusServiceUnavailable, NotLeader: true}
	a.HandleMessage(firstServer, wire.Message{Response: refusal}, 1010)
	a.Tick(1400)
	secondServer, second := takeRequest(t, a)
	if secondServer == firstServer {
		t.Error("the same server was asked again")
	}
	respond(t, a, secondServer, second.ID, runnerapi.PollResponse{FencingToken: 9}, 1410)
	if a.FencingToken() != 9 {
		t.Errorf("fencing token %d", a.FencingToken())
	}
	a.Tick(1800)
	if n := len(a.TakeOutput().Messages); n > 0 {
		t.Error("asked again although the token is known")
	}
}
