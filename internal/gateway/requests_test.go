package gateway

import (
	"bytes"
	"net/http"
	"testing"

	"orchidward/internal/transport/wire"
)

// TestContactLossAnswersImmediately checks that a request that can't be forwarded, or whose
// response is no longer expected, is answered immediately and not when its budget is used
// up.
func TestContactLossAnswersImmediately(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodGet, Path: "/v1/table", Budget: 30000}, 1100)
	mustForward(t, g.TakeOutput())
	g.Tick(2000)
	if output := g.TakeOutput(); !answeredWithRetry(output, http.StatusServiceUnavailable) {
		t.Errorf("contact lost, with 29 s of budget left: %+v", output.Responses)
	}
	g.HandleRequest(Request{ID: 2, Method: http.MethodGet, Path: "/v1/table", Budget: 30000}, 2100)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusServiceUnavailable) {
		t.Errorf("requested without contact: %+v", output.Responses)
	}
}

// TestUnknownOutcomeIsTimeout checks that a request that a server may have accepted fails with
// 504, because 503 states that it was not accepted.
func TestUnknownOutcomeIsTimeout(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: []byte(jobBody), Budget: 30000}, 1100)
	mustForward(t, g.TakeOutput())
	g.Tick(2000)
	if output := g.TakeOutput(); !answeredWithRetry(output, http.StatusGatewayTimeout) {
		t.Errorf("forwarded, then contact lost: %+v", output.Responses)
	}
}

// TestRefusedAttemptsAreUnavailable checks that a request that no server accepted fails with
// 503, even if its first attempt was sent to a server that is not the leader.
func TestRefusedAttemptsAreUnavailable(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: []byte(jobBody), Budget: 30000}, 1100)
	first := mustForward(t, g.TakeOutput())
	respond(g, first, wire.Response{Status: http.StatusServiceUnavailable, NotLeader: true}, 1120)
	g.Tick(1220)
	second := mustForward(t, g.TakeOutput())
	respond(g, second, wire.Response{Status: http.StatusServiceUnavailable, RetryAfter: 1000}, 1240)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusServiceUnavailable) {
		t.Errorf("redirected, then refused: %+v", output.Responses)
	}
}

// TestBudgetUsedUp checks that a request without a response fails when its budget is used
// up, not before, and with an unknown outcome.
func TestBudgetUsedUp(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodPatch, Path: "/v1/table", Body: []byte(`{"base":1,"cells":{"a.weight":2}}`), Budget: 300}, 1100)
	g.TakeOutput()
	g.Tick(1390)
	if output := g.TakeOutput(); len(output.Responses) > 0 {
		t.Errorf("before the deadline: %+v", output.Responses)
	}
	g.Tick(1400)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("after the deadline: %+v", output.Responses)
	}
}

// TestInFlightBytesBounded checks that the total size of the bodies of requests in flight is
// bounded, and that bodies are no longer counted once their requests are forgotten.
func TestInFlightBytesBounded(t *testing.T) {
	const requests = 80
	g := newReadyGateway(t)
	body := append([]byte(jobBody), bytes.Repeat([]byte(" "), 1<<20)...)
	refused := 0
	for id := uint64(1); id <= requests; id++ {
		g.HandleRequest(Request{ID: id, Method: http.MethodPut, Path: jobPath, Body: body, Budget: 3000}, 1100)
		for _, response := range g.TakeOutput().Responses {
			if response.Status == http.StatusServiceUnavailable && response.RetryAfter > 0 {
				refused++
			}
		}
	}
	if refused < 10 || refused > 20 || g.requests.bytes > maxInFlightBytes {
		t.Errorf("%d of %d MiB refused, %d bytes in flight", refused, requests, g.requests.bytes)
	}
	for id := uint64(1); id <= requests; id++ {
		g.Forget(id)
	}
	if g.requests.bytes != 0 || g.InFlight() != 0 {
		t.Errorf("all requests are forgotten, but %d bytes are counted", g.requests.bytes)
	}
}

// TestResponseFromOtherServer checks that a response is accepted only from the server to which
// the request was sent, and only for the last attempt.
func TestResponseFromOtherServer(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodGet, Path: "/v1/table", Budget: 3000}, 1100)
	first := mustForward(t, g.TakeOutput())
	g.HandleMessage("k2", wire.Message{Response: &wire.Response{ID: first.ID, Status: http.StatusOK}}, 1110)
	if output := g.TakeOutput(); len(output.Responses) != 0 {
		t.Errorf("accepted the response of another server: %+v", output.Responses)
	}

	respond(g, first, wire.Response{Status: http.StatusServiceUnavailable, NotLeader: true}, 1120)
	g.Tick(1250)
	second := mustForward(t, g.TakeOutput())
	if second.ID == first.ID {
		t.Fatalf("sent again as %+v", second)
	}
	respond(g, first, wire.Response{Status: http.StatusOK, Body: []byte("first")}, 1260)
	if output := g.TakeOutput(); len(output.Responses) != 0 {
		t.Errorf("accepted the response to an ended attempt: %+v", output.Responses)
	}
	respond(g, second, wire.Response{Status: http.StatusOK, Body: []byte("second")}, 1270)
	if output := g.TakeOutput(); len(output.Responses) != 1 || string(output.Responses[0].Body) != "second" {
		t.Errorf("answered %+v", output.Responses)
	}
}

// TestExpiredOrderSentAgain checks that an order that the leader rejected as expired, because
// it could not tell the order's age, is sent again immediately with the leader time from the
// response, but not after its budget is used up.
func TestExpiredOrderSentAgain(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: "/v1/closings/east", Budget: 900}, 1100)
	first := mustForward(t, g.TakeOutput())
	if !first.HasLeaderTime || first.LeaderTime != (wire.LeaderTime{}) || first.Budget != 900 {
		t.Fatalf("first sent as %+v", first)
	}

	reading := wire.LeaderTime{Term: 4, At: 70}
	respond(g, first, wire.Response{Status: http.StatusServiceUnavailable, Expired: true, LeaderTime: reading}, 1110)
	second := mustForward(t, g.TakeOutput())
	if second.LeaderTime != reading || second.Budget != 890 {
		t.Fatalf("sent again as %+v", second)
	}

	respond(g, second, wire.Response{Status: http.StatusServiceUnavailable, Expired: true, RetryAfter: 200}, 2000)
	output := g.TakeOutput()
	if forwarded(output) != nil || !answeredWithRetry(output, http.StatusServiceUnavailable) {
		t.Errorf("after its budget: %+v, %+v", forwarded(output), output.Responses)
	}
}

// TestDeposedLeaderRetriedIfIdempotent checks that a request whose outcome a deposed leader
// does not know is sent to the next leader if it is idempotent, and answered with 504
// otherwise.
func TestDeposedLeaderRetriedIfIdempotent(t *testing.T) {
	for path, idempotent := range map[string]bool{jobPath: true, "/v1/closings/east": false} {
		g := newReadyGateway(t)
		g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: path, Body: []byte(jobBody), Budget: 3000}, 1100)
		first := mustForward(t, g.TakeOutput())
		respond(g, first, wire.Response{Status: http.StatusGatewayTimeout, RetryAfter: 200}, 1110)
		output := g.TakeOutput()
		g.Tick(1250)
		second := forwarded(g.TakeOutput())
		if idempotent && (len(output.Responses) != 0 || second == nil) {
			t.Errorf("%s: answered %+v, sent again %+v", path, output.Responses, second)
		}
		if !idempotent && (!answeredOnly(output, http.StatusGatewayTimeout) || second != nil) {
			t.Errorf("%s: answered %+v, sent again %+v", path, output.Responses, second)
		}
	}
}

// TestAbandonedOrderIsWithdrawn checks that an order to start or end a drain is withdrawn from
// the server it was sent to once its caller has disconnected or its budget is used up, and
// that requests whose copies can be recognized are not withdrawn.
func TestAbandonedOrderIsWithdrawn(t *testing.T) {
	const budget = 700
	for _, test := range []struct {
		name    string
		method  string
		path    string
		abandon func(g *Gateway)
		want    bool
	}{
		{"drain, caller disconnected", http.MethodPut, "/v1/closings/east", func(g *Gateway) { g.Forget(1) }, true},
		{"drain, budget used up", http.MethodPut, "/v1/closings/east", func(g *Gateway) { g.Tick(1100 + budget) }, true},
		{"reopening, caller disconnected", http.MethodDelete, "/v1/closings/east", func(g *Gateway) { g.Forget(1) }, true},
		{"job, caller disconnected", http.MethodPut, jobPath, func(g *Gateway) { g.Forget(1) }, false},
		{"read, caller disconnected", http.MethodGet, "/v1/closings", func(g *Gateway) { g.Forget(1) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newReadyGateway(t)
			g.HandleRequest(Request{ID: 1, Method: test.method, Path: test.path, Body: []byte(jobBody), Budget: budget}, 1100)
			order := mustForward(t, g.TakeOutput())
			test.abandon(g)
			withdrawn := false
			for _, envelope := range g.TakeOutput().Messages {
				if request := envelope.Message.Request; request != nil {
					id, ok := request.Withdraws()
					withdrawn = withdrawn || ok && id == order.ID && envelope.To == leaderAddr
				}
			}
			if withdrawn != test.want {
				t.Errorf("withdrawn: %t, want %t", withdrawn, test.want)
			}
		})
	}
}

// TestTimeWaitedCounts checks that the time that a request waited in the process is subtracted
// from its budget, and that a request without time left is refused.
func TestTimeWaitedCounts(t *testing.T) {
	g := newReadyGateway(t)
	order := Request{ID: 1, Method: http.MethodPut, Path: "/v1/closings/east", Budget: 700, Waited: 500}
	g.HandleRequest(order, 1100)
	if request := mustForward(t, g.TakeOutput()); request.Budget != 200 {
		t.Errorf("forwarded with a budget of %d ms, want 200", request.Budget)
	}
	order.ID, order.Waited = 2, 700
	g.HandleRequest(order, 1100)
	output := g.TakeOutput()
	if forwarded(output) != nil || !answeredWithRetry(output, http.StatusServiceUnavailable) {
		t.Errorf("with no time left: %+v", output)
	}
}
