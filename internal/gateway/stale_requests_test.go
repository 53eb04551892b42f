package gateway

import (
	"net/http"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// staleTable returns the body of a stale response with a full table, in which maxTasks limits
// the tasks of a job.
func staleTable(t *testing.T, epoch identifier.Epoch, maxTasks string) []byte {
	t.Helper()
	table := limits.Default()
	table.Rows["default"][limits.ColumnMaxTasks] = maxTasks
	return encode(t, routing.FullTable{Epoch: epoch, Rows: table.Rows})
}

// TestStaleRequestCheckedAgain checks that a request returned as stale is checked against the
// newer table and sent again, and that an older table arriving late never replaces it.
func TestStaleRequestCheckedAgain(t *testing.T) {
	g := newReadyGateway(t)
	respondStale := func(attempt *wire.Request, body []byte, now clock.Monotonic) {
		respond(g, attempt, wire.Response{Status: http.StatusConflict, Stale: true, Body: body}, now)
	}
	body := []byte(`{"pending":"default","steps":[{"name":"s","tasks":3}]}`)
	g.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: body, Budget: 3000}, 1100)
	attempt := mustForward(t, g.TakeOutput())
	if attempt.Epoch != 1 {
		t.Fatalf("forwarded as %+v", attempt)
	}

	respondStale(attempt, staleTable(t, 5, "10"), 1150)
	output := g.TakeOutput()
	attempt = mustForward(t, output)
	if attempt.Epoch != 5 || len(output.Responses) > 0 {
		t.Fatalf("after the newer table: %+v, %+v", attempt, output.Responses)
	}

	respondStale(attempt, staleTable(t, 4, "1"), 1160)
	if g.Epoch() != 5 {
		t.Errorf("the table went back to epoch %d", g.Epoch())
	}
	attempt = mustForward(t, g.TakeOutput())

	respondStale(attempt, staleTable(t, 6, "2"), 1170)
	if output := g.TakeOutput(); !answeredOnly(output, http.StatusUnprocessableEntity) {
		t.Errorf("under a table that forbids it: %+v", output.Responses)
	}
}

// TestStaleRequestsShareOneSync checks that if many requests are returned as stale without the
// changes to the table, they wait while the gateway syncs once for all of them.
func TestStaleRequestsShareOneSync(t *testing.T) {
	const requests = 50
	leader := newFakeLeader(t, 3)
	g := leader.gateway
	leader.run(400)
	leader.moveQueue("q00001", "/new/")
	syncsBefore := leader.syncs
	var attempts []*wire.Request
	for id := uint64(1); id <= requests; id++ {
		attempts = append(attempts, leader.request(id, 3000))
	}

	sentAgain := 0
	countSentAgain := func(output Output) {
		for _, envelope := range leader.answerSyncs(output) {
			request := envelope.Message.Request
			if request == nil {
				continue
			}
			if request.Epoch != leader.table.Epoch {
				t.Errorf("sent again with the epoch of the old table: %+v", request)
			}
			sentAgain++
		}
	}
	for i, attempt := range attempts {
		leader.respondStale(attempt, nil)
		countSentAgain(g.TakeOutput())
		if i == 0 && sentAgain > 0 {
			t.Error("the first request was sent again before the gateway had the newer table")
		}
	}
	if n := leader.syncs - syncsBefore; n < 1 || n > 3 {
		t.Errorf("%d syncs for %d stale requests", n, requests)
	}
	if g.Epoch() != leader.table.Epoch {
		t.Errorf("at epoch %d, want %d", g.Epoch(), leader.table.Epoch)
	}
	leader.now += 100
	g.Tick(leader.now)
	countSentAgain(g.TakeOutput())
	if sentAgain != requests {
		t.Errorf("%d of %d requests were sent again", sentAgain, requests)
	}
}

// TestStaleResponseWithPage checks that a small change contained in the stale response itself
// is applied.
func TestStaleResponseWithPage(t *testing.T) {
	leader := newFakeLeader(t, 3)
	leader.run(400)
	first := leader.request(1, 3000)
	leader.moveQueue("q00001", "/new/")
	leader.respondStale(first, leader.stalePage(first))
	second := mustForward(t, leader.gateway.TakeOutput())
	if second.Epoch != leader.table.Epoch {
		t.Errorf("after the page was applied, sent as %+v", second)
	}
}

// TestSecondResponseToStaleAttempt checks that a second response to an attempt that was
// returned as stale is ignored, both during the next attempt and after it.
func TestSecondResponseToStaleAttempt(t *testing.T) {
	leader := newFakeLeader(t, 3)
	g := leader.gateway
	leader.run(400)
	first := leader.request(1, 3000)
	leader.moveQueue("q00001", "/new/")
	leader.respondStale(first, leader.stalePage(first))
	second := mustForward(t, g.TakeOutput())

	respond(g, first, wire.Response{Status: http.StatusOK, Body: []byte("first")}, leader.now)
	if output := g.TakeOutput(); len(output.Responses) != 0 {
		t.Errorf("the response to an ended attempt was accepted: %+v", output.Responses)
	}
	respond(g, second, wire.Response{Status: http.StatusOK, Body: []byte("second")}, leader.now)
	if output := g.TakeOutput(); len(output.Responses) != 1 || string(output.Responses[0].Body) != "second" {
		t.Errorf("answered %+v", output.Responses)
	}
	respond(g, first, wire.Response{Status: http.StatusOK, Body: []byte("first")}, leader.now)
	if output := g.TakeOutput(); len(output.Responses) != 0 || len(g.requests.byAttempt) != 0 {
		t.Errorf("after the response: %+v, %d attempts are still recorded", output.Responses, len(g.requests.byAttempt))
	}
}
