package gateway

import (
	"encoding/json"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

const (
	leaderNode identifier.Node = 7
	leaderAddr                 = "k"
	// readyAt is when a gateway of newReadyGateway last had contact with the leader.
	readyAt clock.Monotonic = 1000
	jobPath                 = "/v1/jobs/a/b"
	jobBody                 = `{"pending":"default","steps":[{"name":"s"}]}`
)

// newReadyGateway returns a gateway that has synced with a leader and has a routing table of
// epoch 1.
func newReadyGateway(t *testing.T) *Gateway {
	t.Helper()
	g := New(Config{Addr: "g", HTTP: "g", Domain: "north", Seeds: []string{leaderAddr}}, 0)
	announcement := &wire.Announcement{
		Role:     wire.RoleServer,
		Founded:  true,
		LeaderID: leaderNode,
		Members:  []raft.Member{{ID: leaderNode, Addr: leaderAddr, Voter: true}},
	}
	g.HandleMessage(leaderAddr, wire.Message{Announcement: announcement}, readyAt-100)
	g.Tick(readyAt - 50)
	body := encode(t, routing.SyncResponse{
		Epoch:   1,
		Table:   &routing.FullTable{Epoch: 1, Rows: limits.Default().Rows},
		Leader:  leaderNode.String(),
		Members: g.servers.members,
	})
	for _, envelope := range g.TakeOutput().Messages {
		if isSync(envelope) {
			respond(g, envelope.Message.Request, wire.Response{Status: http.StatusOK, Body: body}, readyAt)
		}
	}
	g.TakeOutput()
	if !g.Ready(readyAt) {
		t.Fatal("the gateway has no contact with the leader")
	}
	return g
}

func encode(t *testing.T, document any) []byte {
	t.Helper()
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// respond passes in the leader's response to an attempt.
func respond(g *Gateway, attempt *wire.Request, response wire.Response, now clock.Monotonic) {
	response.ID = attempt.ID
	g.HandleMessage(leaderAddr, wire.Message{Response: &response}, now)
}

func isSync(envelope wire.Envelope) bool {
	request := envelope.Message.Request
	return request != nil && request.Method == endpoint.MethodSync
}

// forwarded returns the last request that a gateway forwarded, or nil if there is none.
func forwarded(output Output) *wire.Request {
	var last *wire.Request
	for _, envelope := range output.Messages {
		if envelope.Message.Request != nil && !isSync(envelope) {
			last = envelope.Message.Request
		}
	}
	return last
}

// mustForward returns the last forwarded request and fails the test if there is none.
func mustForward(t *testing.T, output Output) *wire.Request {
	t.Helper()
	request := forwarded(output)
	if request == nil {
		t.Fatal("no request was forwarded")
	}
	return request
}

// answeredOnly reports whether an output holds exactly one response, with this status.
func answeredOnly(output Output, status int) bool {
	return len(output.Responses) == 1 && output.Responses[0].Status == status
}

// answeredWithRetry reports whether an output holds exactly one response, with this status
// and a retry delay.
func answeredWithRetry(output Output, status int) bool {
	return answeredOnly(output, status) && output.Responses[0].RetryAfter != 0
}
