package gateway

import (
	"net/http"
	"testing"

	"orchidward/internal/transport/wire"
)

const threeTasks = `{"pending":"default","steps":[{"name":"s","tasks":3}]}`

// secondAttempt returns the second attempt of a job submission whose first attempt may have
// been accepted.
func secondAttempt(t *testing.T, g *Gateway) *wire.Request {
	t.Helper()
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: []byte(threeTasks), Budget: 3000}, 1100)
	first := mustForward(t, g.TakeOutput())
	respond(g, first, wire.Response{Status: http.StatusGatewayTimeout}, 1120)
	g.Tick(1220)
	return mustForward(t, g.TakeOutput())
}

// TestTakenJobNotRefusedByNewerTable checks that a job that may have been accepted is not
// refused because a newer table forbids it.
func TestTakenJobNotRefusedByNewerTable(t *testing.T) {
	g := newReadyGateway(t)
	second := secondAttempt(t, g)
	respond(g, second, wire.Response{Status: http.StatusConflict, Stale: true, Body: staleTable(t, 6, "2")}, 1240)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("%+v", output.Responses)
	}
}

// TestTakenJobNotUnauthenticated checks that a job that may have been accepted while its key
// was valid is not answered with 401.
func TestTakenJobNotUnauthenticated(t *testing.T) {
	g := newReadyGateway(t)
	respond(g, secondAttempt(t, g), wire.Response{Status: http.StatusUnauthorized}, 1240)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("%+v", output.Responses)
	}
}

// TestRetryNotStampedWithUncheckedTable checks that a retry does not carry the epoch of a newer
// table against which the request was not checked, and which forbids it.
func TestRetryNotStampedWithUncheckedTable(t *testing.T) {
	g := newReadyGateway(t)
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: []byte(threeTasks), Budget: 3000}, 1100)
	first := mustForward(t, g.TakeOutput())
	respond(g, first, wire.Response{Status: http.StatusServiceUnavailable, NotLeader: true}, 1120)
	g.HandleRequest(Request{ID: 2, Method: http.MethodPut, Path: "/v1/jobs/a/c", Body: []byte(jobBody), Budget: 3000}, 1130)
	other := mustForward(t, g.TakeOutput())
	respond(g, other, wire.Response{Status: http.StatusConflict, Stale: true, Body: staleTable(t, 6, "2")}, 1140)
	g.TakeOutput()
	g.Tick(1220)
	output := g.TakeOutput()
	if retry := forwarded(output); retry != nil && retry.Epoch == 6 {
		t.Errorf("forwarded as checked against epoch %d, which forbids it", retry.Epoch)
	}
}

// TestTakenJobNotRefusedForItsKey checks that a job that may have been accepted is not answered
// with 401 because the gateway's newer table lacks its key.
func TestTakenJobNotRefusedForItsKey(t *testing.T) {
	leader := newTenantLeader(t)
	body := []byte(`{"queue":"q00000","steps":[{"name":"s"}]}`)
	leader.gateway.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: body, Budget: 4000, Credential: tenantKey}, leader.now)
	first := mustForward(t, leader.gateway.TakeOutput())
	respond(leader.gateway, first, wire.Response{Status: http.StatusGatewayTimeout}, leader.now)
	leader.now = leader.now.Add(retryInterval)
	leader.gateway.Tick(leader.now)
	second := mustForward(t, leader.gateway.TakeOutput())
	leader.setKeys(unknownKey)
	leader.respondStale(second, leader.stalePage(second))
	if output := leader.gateway.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("%+v", output.Responses)
	}
}
