package gateway

import (
	"net/http"
	"testing"

	"orchidward/internal/transport/wire"
)

const threeTasks = `{"pending":"default","steps":[{"name":"s","tasks":3}]}`

// secondAttempt is the second attempt of a job of which the first may have been taken.
func secondAttempt(t *testing.T, g *Gateway) *wire.Request {
	t.Helper()
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: []byte(threeTasks), Budget: 3000}, 1100)
	first := mustForward(t, g.TakeOutput())
	respond(g, first, wire.Response{Status: http.StatusGatewayTimeout}, 1120)
	g.Tick(1220)
	return mustForward(t, g.TakeOutput())
}

// TestTakenJobNotRefusedByNewerTable guards against a refusal by a newer table of a job that may have been taken.
func TestTakenJobNotRefusedByNewerTable(t *testing.T) {
	g := newReadyGateway(t)
	second := secondAttempt(t, g)
	respond(g, second, wire.Response{Status: http.StatusConflict, Stale: true, Body: staleTable(t, 6, "2")}, 1240)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("%+v", output.Responses)
	}
}

// TestTakenJobNotUnauthenticated guards against a 401 for a job that may have been taken while its key was known.
func TestTakenJobNotUnauthenticated(t *testing.T) {
	g := newReadyGateway(t)
	respond(g, secondAttempt(t, g), wire.Response{Status: http.StatusUnauthorized}, 1240)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("%+v", output.Responses)
	}
}

// TestRetryNotStampedWithUncheckedTable guards against a retry that passes for checked by a table that forbids it.
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
		t.Errorf("passed on as checked by epoch %d, which forbids it", retry.Epoch)
	}
}

// TestTakenJobNotRefusedForItsKey guards against a 401 by the gateway's newer table for a job that may have been taken.
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
