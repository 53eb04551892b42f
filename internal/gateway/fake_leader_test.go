package gateway

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// fakeLeader answers the syncs of one gateway from the history of a routing table.
type fakeLeader struct {
	t       *testing.T
	gateway *Gateway
	table   routing.Table
	history *routing.History
	now     clock.Monotonic
	// syncs counts the answered syncs; largestBody is the size of the largest response.
	syncs       int
	largestBody int
}

// newFakeLeader returns a leader whose table has routes to the given number of queues, and a
// gateway that has not yet synced that table.
func newFakeLeader(t *testing.T, queues int) *fakeLeader {
	t.Helper()
	l := &fakeLeader{t: t, gateway: newReadyGateway(t), now: readyAt}
	l.table = routing.Table{Epoch: 2, Version: 2, Rows: l.gateway.routing.replica.Rows()}
	for i := 0; i < queues; i++ {
		route := catalog.Route{Queue: fmt.Sprintf("q%05d", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i)}
		l.table.Routes = append(l.table.Routes, route)
	}
	l.history = routing.NewHistory(l.table)
	return l
}

// moveQueue changes the prefix of one queue.
func (l *fakeLeader) moveQueue(name, prefix string) {
	l.table.Epoch++
	l.table.Version++
	l.table.Routes = slices.Clone(l.table.Routes)
	for i, route := range l.table.Routes {
		if route.Queue == name {
			l.table.Routes[i].Prefix = prefix
		}
	}
	l.history.CatalogChanged(l.table)
}

// answerSyncs answers the syncs in an output and returns the other messages.
func (l *fakeLeader) answerSyncs(output Output) []wire.Envelope {
	l.t.Helper()
	var others []wire.Envelope
	for _, envelope := range output.Messages {
		if !isSync(envelope) {
			others = append(others, envelope)
			continue
		}
		l.answerSync(envelope.Message.Request)
	}
	return others
}

func (l *fakeLeader) answerSync(request *wire.Request) {
	l.t.Helper()
	l.syncs++
	query, err := url.ParseQuery(request.Query)
	if err != nil {
		l.t.Fatal(err)
	}
	number, err := strconv.ParseUint(query.Get(routing.SyncSinceParam), 10, 64)
	if err != nil {
		l.t.Fatalf("sync with malformed query %s", request.Query)
	}
	since := identifier.Epoch(number)
	after := query.Get(routing.SyncAfterParam)
	response := routing.SyncResponse{Epoch: l.table.Epoch, Leader: leaderNode.String(), Members: l.gateway.servers.members}
	if since != l.table.Epoch || after != "" {
		page := l.history.Page(since, after)
		response.Page = &page
	}
	body := encode(l.t, response)
	l.largestBody = max(l.largestBody, len(body))
	respond(l.gateway, request, wire.Response{Status: http.StatusOK, Body: body}, l.now)
}

// run advances the time by span and answers the gateway's syncs.
func (l *fakeLeader) run(span clock.Monotonic) {
	l.t.Helper()
	for end := l.now + span; l.now < end; l.now += clock.Monotonic(TickInterval) {
		l.gateway.Tick(l.now)
		l.answerSyncs(l.gateway.TakeOutput())
	}
}

// request sends the gateway a request and returns its first attempt.
func (l *fakeLeader) request(id uint64, budget clock.Millis) *wire.Request {
	l.t.Helper()
	l.gateway.HandleRequest(Request{ID: id, Method: http.MethodGet, Path: "/v1/jobs", Budget: budget}, l.now)
	return mustForward(l.t, l.gateway.TakeOutput())
}

// respondStale responds to an attempt that it was checked against a stale table.
func (l *fakeLeader) respondStale(attempt *wire.Request, body []byte) {
	respond(l.gateway, attempt, wire.Response{Status: http.StatusConflict, Stale: true, Body: body}, l.now)
}

// stalePage returns the body of a stale response with the changes since the epoch of an
// attempt.
func (l *fakeLeader) stalePage(attempt *wire.Request) []byte {
	l.t.Helper()
	page := l.history.Page(attempt.Epoch, "")
	return encode(l.t, routing.StaleResponse{Page: &page})
}
