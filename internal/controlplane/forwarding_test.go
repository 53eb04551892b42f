package controlplane_test

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

// The group that the forwarder under test knows.
const (
	leaderNode   identifier.Node = 7
	leaderAddr                   = "k7"
	followerNode identifier.Node = 8
	followerAddr                 = "k8"
)

// newForwarder returns a server without a disk that knows the leader at leaderAddr.
func newForwarder(t *testing.T) *controlplane.Server {
	t.Helper()
	server := controlplane.New(controlplane.Config{
		Addr:     "p",
		Domain:   "north",
		Seeds:    []string{leaderAddr},
		Timing:   raft.DefaultTiming(),
		Diskless: true,
	}, 0)
	announceLeader(server, leaderAddr, leaderNode, wire.LeaderTime{Term: 3, At: 40}, 100)
	server.TakeOutput()
	return server
}

// announceLeader delivers an announcement in which a member names itself as the leader.
func announceLeader(server *controlplane.Server, addr string, id identifier.Node, reading wire.LeaderTime, now clock.Monotonic) {
	announcement := &wire.Announcement{
		Role:     wire.RoleServer,
		Node:     id,
		Addr:     addr,
		Founded:  true,
		LeaderID: id,
		Members: []raft.Member{
			{ID: leaderNode, Addr: leaderAddr, Voter: true},
			{ID: followerNode, Addr: followerAddr, Voter: true},
		},
		LeaderTime: reading,
	}
	server.HandleMessage(wire.Peer(addr), wire.Message{Announcement: announcement}, now, 0)
}

// forwardedRequest returns the forwarded request in an output and its destination, or nil
// if there is none.
func forwardedRequest(output controlplane.Output) (to wire.Peer, request *wire.Request) {
	for _, envelope := range output.Messages {
		if envelope.Message.Request != nil {
			return envelope.To, envelope.Message.Request
		}
	}
	return "", nil
}

// mustForward returns the forwarded request in an output and fails the test if there is
// none.
func mustForward(t *testing.T, output controlplane.Output) *wire.Request {
	t.Helper()
	_, request := forwardedRequest(output)
	if request == nil {
		t.Fatal("no request was forwarded")
	}
	return request
}

// responses lists the responses in an output.
func responses(output controlplane.Output) []wire.Envelope {
	var list []wire.Envelope
	for _, envelope := range output.Messages {
		if envelope.Message.Response != nil {
			list = append(list, envelope)
		}
	}
	return list
}

// TestForwardedResponseFromOtherServer checks that a response to a forwarded request is
// accepted only from the server that it was forwarded to, and only once.
func TestForwardedResponseFromOtherServer(t *testing.T) {
	server := newForwarder(t)
	server.HandleMessage("#1", wire.Message{Request: &wire.Request{ID: 5, Method: http.MethodGet, Path: "/v1/table", Budget: 1000}}, 110, 0)
	to, request := forwardedRequest(server.TakeOutput())
	if to != leaderAddr || request.Hops != 1 || request.ID == 5 {
		t.Fatalf("forwarded to %s as %+v", to, request)
	}

	server.HandleMessage(followerAddr, wire.Message{Response: &wire.Response{ID: request.ID, Status: http.StatusOK, Body: []byte("another's")}}, 120, 0)
	if list := responses(server.TakeOutput()); len(list) != 0 {
		t.Errorf("forwarded the response of a server that was not asked: %+v", list)
	}

	server.HandleMessage(leaderAddr, wire.Message{Response: &wire.Response{ID: request.ID, Status: http.StatusOK, Body: []byte("own")}}, 130, 0)
	list := responses(server.TakeOutput())
	if len(list) != 1 || list[0].To != "#1" || list[0].Message.Response.ID != 5 || string(list[0].Message.Response.Body) != "own" {
		t.Errorf("forwarded responses: %+v", list)
	}

	server.HandleMessage(leaderAddr, wire.Message{Response: &wire.Response{ID: request.ID, Status: http.StatusInternalServerError}}, 140, 0)
	if list := responses(server.TakeOutput()); len(list) != 0 {
		t.Errorf("forwarded a second response: %+v", list)
	}
}

// TestForwardedOrderCarriesLeaderTime checks that an order made at a server is forwarded
// with the latest reading of the leader's clock, and that an order from another process
// keeps its own reading.
func TestForwardedOrderCarriesLeaderTime(t *testing.T) {
	server := newForwarder(t)
	order := &wire.Request{ID: 5, Method: http.MethodPut, Path: "/v1/closings/east", Budget: 900}
	server.HandleMessage("@1", wire.Message{Request: order}, 110, 0)
	request := mustForward(t, server.TakeOutput())
	if !request.HasLeaderTime || request.LeaderTime != (wire.LeaderTime{Term: 3, At: 40}) {
		t.Errorf("an order made at this server was forwarded as %+v", request)
	}

	announceLeader(server, leaderAddr, leaderNode, wire.LeaderTime{Term: 3, At: 400}, 500)
	announceLeader(server, leaderAddr, leaderNode, wire.LeaderTime{Term: 3, At: 90}, 510)
	server.TakeOutput()
	server.HandleMessage("@2", wire.Message{Request: order}, 520, 0)
	request = mustForward(t, server.TakeOutput())
	if request.LeaderTime.At != 400 {
		t.Errorf("after a later reading it was forwarded as %+v", request)
	}

	elsewhere := &wire.Request{
		ID:            6,
		Method:        http.MethodPut,
		Path:          "/v1/closings/east",
		Budget:        900,
		HasLeaderTime: true,
		LeaderTime:    wire.LeaderTime{Term: 2, At: 9},
	}
	server.HandleMessage("#1", wire.Message{Request: elsewhere}, 530, 0)
	request = mustForward(t, server.TakeOutput())
	if !request.HasLeaderTime || request.LeaderTime != elsewhere.LeaderTime {
		t.Errorf("an order from another process was forwarded as %+v", request)
	}
}

// TestForwardedRequestFailsOnNewLeader checks that a request pending at one leader fails
// with an unknown outcome as soon as another server leads.
func TestForwardedRequestFailsOnNewLeader(t *testing.T) {
	server := newForwarder(t)
	server.Tick(120, 0)
	order := &wire.Request{ID: 5, Method: http.MethodPut, Path: "/v1/closings/east", Budget: 3000}
	server.HandleMessage("#1", wire.Message{Request: order}, 130, 0)
	if to, _ := forwardedRequest(server.TakeOutput()); to != leaderAddr {
		t.Fatalf("forwarded to %s", to)
	}
	announceLeader(server, followerAddr, followerNode, wire.LeaderTime{Term: 4, At: 10}, 1100)
	server.Tick(1120, 0)
	list := responses(server.TakeOutput())
	if len(list) != 1 {
		t.Fatalf("responses with a new leader, 2 s before the timeout: %+v", list)
	}
	response := list[0].Message.Response
	if response.ID != 5 || response.Status != http.StatusGatewayTimeout || response.RetryAfter == 0 {
		t.Errorf("response with a new leader, 2 s before the timeout: %+v", response)
	}
}

// TestForwarderWithdraws checks that a server withdraws a forwarded order when its sender
// withdraws it or when the server itself drops it, and that it ignores withdrawals from
// other senders.
func TestForwarderWithdraws(t *testing.T) {
	server := newForwarder(t)
	order := &wire.Request{ID: 5, Method: http.MethodPut, Path: "/v1/closings/east", Budget: 900}
	server.HandleMessage("@1", wire.Message{Request: order}, 110, 0)
	first := mustForward(t, server.TakeOutput())
	server.HandleMessage("@2", wire.Message{Request: wire.NewWithdrawal(1, 5)}, 120, 0)
	if list := withdrawals(server.TakeOutput()); len(list) > 0 {
		t.Errorf("withdrawn on behalf of another sender: %v", list)
	}
	server.HandleMessage("@1", wire.Message{Request: wire.NewWithdrawal(6, 5)}, 130, 0)
	if list := withdrawals(server.TakeOutput()); len(list) != 1 || list[0] != first.ID {
		t.Errorf("withdrawn %v, want %d", list, first.ID)
	}

	server.HandleMessage("@1", wire.Message{Request: order}, 140, 0)
	second := mustForward(t, server.TakeOutput())
	server.Tick(145, 0)
	announceLeader(server, followerAddr, followerNode, wire.LeaderTime{Term: 4, At: 10}, 1100)
	server.Tick(1120, 0)
	if list := withdrawals(server.TakeOutput()); len(list) != 1 || list[0] != second.ID {
		t.Errorf("after a change of leaders, withdrawn %v, want %d", list, second.ID)
	}
}

// withdrawals returns the ids of the requests that an output withdraws.
func withdrawals(output controlplane.Output) (ids []uint64) {
	for _, envelope := range output.Messages {
		if envelope.Message.Request == nil {
			continue
		}
		if id, ok := envelope.Message.Request.Withdraws(); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
