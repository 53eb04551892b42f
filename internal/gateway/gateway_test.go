package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

// touched is a gate in touch with a leader, at 1000 ms.
func touched(t *testing.T) *Gateway {
	t.Helper()
	g := New(Config{Addr: "g", HTTP: "g", Domain: "north", Seeds: []string{"k"}}, 0)
	g.HandleMessage("k", wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Founded: true, LeaderID: 7, Members: []raft.Member{{ID: 7, Addr: "k", Voter: true}}}}, 900)
	g.Tick(950)
	first := limits.Default()
	text, err := json.Marshal(controlplane.SyncResponse{Epoch: 1, Table: &controlplane.RoutingTable{Epoch: 1, Rows: first.Rows}, Leader: identifier.Node(7).String(), Members: g.servers.members})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range g.TakeOutput().Messages {
		if s.Message.Request != nil && s.Message.Request.Method == "SYNC" {
			g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: s.Message.Request.ID, Status: 200, Body: text}}, 1000)
		}
	}
	g.TakeOutput()
	if !g.Ready(1000) {
		t.Fatal("not in touch")
	}
	return g
}

func passed(o Output) *wire.Request {
	var a *wire.Request
	for _, s := range o.Messages {
		if s.Message.Request != nil && s.Message.Request.Method != "SYNC" {
			a = s.Message.Request
		}
	}
	return a
}

// TestGivenUpAtOnce: what a gate cannot pass on, or no longer expects an answer
// to, is answered then and there, and never held until its budget is over.
func TestGivenUpAtOnce(t *testing.T) {
	g := touched(t)
	g.HandleRequest(Request{ID: 1, Method: "GET", Path: "/v1/table", Budget: 30000}, 1100)
	if passed(g.TakeOutput()) == nil {
		t.Fatal("not passed on")
	}
	g.Tick(2000)
	if o := g.TakeOutput(); len(o.Responses) != 1 || o.Responses[0].Status != 503 || o.Responses[0].RetryAfter == 0 {
		t.Errorf("out of touch, with 29 s of budget left: %+v", o.Responses)
	}
	g.HandleRequest(Request{ID: 2, Method: "GET", Path: "/v1/table", Budget: 30000}, 2100)
	if o := g.TakeOutput(); len(o.Responses) != 1 || o.Responses[0].Status != 503 {
		t.Errorf("asked while out of touch: %+v", o.Responses)
	}
}

// TestOutcomeUnknown: 503 says that nothing was taken. What a keeper may have
// taken is given up on with 504, also when a later try of it was refused.
func TestOutcomeUnknown(t *testing.T) {
	put := Request{ID: 1, Method: "PUT", Path: "/v1/jobs/a/b", Body: []byte(`{"pending":"default","steps":[{"name":"s"}]}`), Budget: 30000}
	g := touched(t)
	g.HandleRequest(put, 1100)
	if passed(g.TakeOutput()) == nil {
		t.Fatal("not passed on")
	}
	g.Tick(2000)
	if o := g.TakeOutput(); len(o.Responses) != 1 || o.Responses[0].Status != 504 || o.Responses[0].RetryAfter == 0 {
		t.Errorf("passed on, then out of touch: %+v", o.Responses)
	}
	g = touched(t)
	g.HandleRequest(put, 1100)
	first := passed(g.TakeOutput())
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: first.ID, Status: 503, NotLeader: true}}, 1120)
	g.Tick(1220)
	again := passed(g.TakeOutput())
	if again == nil {
		t.Fatal("not passed on again")
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: again.ID, Status: 503, RetryAfter: 1000}}, 1240)
	if o := g.TakeOutput(); len(o.Responses) != 1 || o.Responses[0].Status != 503 {
		t.Errorf("moved, then refused: %+v", o.Responses)
	}
}

// TestBudget: an answer that does not come leaves the outcome unknown, and the
// gate says that it is.
func TestBudget(t *testing.T) {
	g := touched(t)
	g.HandleRequest(Request{ID: 1, Method: "PATCH", Path: "/v1/table", Body: []byte(`{"base":1,"cells":{"a.weight":2}}`), Budget: 300}, 1100)
	g.TakeOutput()
	g.Tick(1390)
	if o := g.TakeOutput(); len(o.Responses) > 0 {
		t.Errorf("before its time: %+v", o.Responses)
	}
	g.Tick(1400)
	if o := g.TakeOutput(); len(o.Responses) != 1 || o.Responses[0].Status != 504 {
		t.Errorf("after its time: %+v", o.Responses)
	}
}

// TestStaleTable: a request that met a newer table is checked and passed again
// by that table; an older one that comes late never replaces it.
func TestStaleTable(t *testing.T) {
	g := touched(t)
	job := []byte(`{"pending":"default","steps":[{"name":"s","tasks":3}]}`)
	g.HandleRequest(Request{ID: 1, Method: "PUT", Path: "/v1/jobs/a/b", Body: job, Budget: 3000}, 1100)
	a := passed(g.TakeOutput())
	if a == nil || a.Epoch != 1 {
		t.Fatalf("passed on as %+v", a)
	}
	sheet := func(epoch identifier.Epoch, most string) []byte {
		now := limits.Default()
		now.Rows["default"]["maxTasks"] = most
		text, err := json.Marshal(controlplane.RoutingTable{Epoch: epoch, Rows: now.Rows})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true, Body: sheet(5, "10")}}, 1150)
	o := g.TakeOutput()
	if b := passed(o); b == nil || b.Epoch != 5 || len(o.Responses) > 0 {
		t.Fatalf("after the newer table: %+v, %+v", b, o.Responses)
	} else {
		a = b
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true, Body: sheet(4, "1")}}, 1160)
	if g.Epoch() != 5 {
		t.Errorf("the table slid back to %d", g.Epoch())
	}
	a = passed(g.TakeOutput())
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true, Body: sheet(6, "2")}}, 1170)
	if o = g.TakeOutput(); len(o.Responses) != 1 || o.Responses[0].Status != 422 {
		t.Errorf("by a table that forbids it: %+v", o.Responses)
	}
}

// TestFullGate: bodies in hand are bounded by their bytes.
func TestFullGate(t *testing.T) {
	g := touched(t)
	body := append([]byte(`{"pending":"default","steps":[{"name":"s"}]}`), bytes.Repeat([]byte(" "), 1<<20)...)
	full := 0
	for i := uint64(1); i <= 80; i++ {
		g.HandleRequest(Request{ID: i, Method: "PUT", Path: "/v1/jobs/a/b", Body: body, Budget: 3000}, 1100)
		for _, a := range g.TakeOutput().Responses {
			if a.Status == 503 && a.RetryAfter > 0 {
				full++
			}
		}
	}
	if full < 10 || full > 20 || g.requests.bytes > maxInFlightBytes {
		t.Errorf("%d of 80 MiB refused, %d bytes in hand", full, g.requests.bytes)
	}
	for i := uint64(1); i <= 80; i++ {
		g.Forget(i)
	}
	if g.requests.bytes != 0 || g.InFlight() != 0 {
		t.Errorf("all gone, and %d bytes are counted", g.requests.bytes)
	}
}

// TestReplyFromAnother: a reply counts only from the one that was asked, and
// only the reply to the last try.
func TestReplyFromAnother(t *testing.T) {
	g := touched(t)
	g.HandleRequest(Request{ID: 1, Method: "GET", Path: "/v1/table", Budget: 3000}, 1100)
	a := passed(g.TakeOutput())
	g.HandleMessage("k2", wire.Message{Response: &wire.Response{ID: a.ID, Status: 200}}, 1110)
	if o := g.TakeOutput(); len(o.Responses) != 0 {
		t.Errorf("took the reply of one that was not asked: %+v", o.Responses)
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 503, NotLeader: true}}, 1120)
	g.Tick(1250)
	again := passed(g.TakeOutput())
	if again == nil || again.ID == a.ID {
		t.Fatalf("tried again as %+v", again)
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 200, Body: []byte("first")}}, 1260)
	if o := g.TakeOutput(); len(o.Responses) != 0 {
		t.Errorf("took the reply to a try that is over: %+v", o.Responses)
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: again.ID, Status: 200, Body: []byte("second")}}, 1270)
	if o := g.TakeOutput(); len(o.Responses) != 1 || string(o.Responses[0].Body) != "second" {
		t.Errorf("answered %+v", o.Responses)
	}
}

// TestExpiredTry: an order that the leader could not tell the age of goes out
// again at once with the reading that came back, and not after its budget.
func TestExpiredTry(t *testing.T) {
	order := Request{ID: 1, Method: "PUT", Path: "/v1/closings/east", Budget: 900}
	g := touched(t)
	g.HandleRequest(order, 1100)
	a := passed(g.TakeOutput())
	if !a.HasLeaderTime || a.LeaderTime != (wire.LeaderTime{}) || a.Budget != 900 {
		t.Fatalf("first sent as %+v", a)
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 503, Expired: true, LeaderTime: wire.LeaderTime{Term: 4, At: 70}}}, 1110)
	b := passed(g.TakeOutput())
	if b == nil || b.LeaderTime != (wire.LeaderTime{Term: 4, At: 70}) || b.Budget != 890 {
		t.Fatalf("sent again as %+v", b)
	}
	g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: b.ID, Status: 503, Expired: true, RetryAfter: 200}}, 2000)
	o := g.TakeOutput()
	if passed(o) != nil || len(o.Responses) != 1 || o.Responses[0].Status != 503 || o.Responses[0].RetryAfter == 0 {
		t.Errorf("past its budget: %+v, %+v", passed(o), o.Responses)
	}
}

// TestLeaderChanged: what a deposed leader does not know the outcome of is sent
// to the next one if it may be, and told as unknown to its caller otherwise.
func TestLeaderChanged(t *testing.T) {
	job := []byte(`{"pending":"default","steps":[{"name":"s"}]}`)
	for path, again := range map[string]bool{"/v1/jobs/a/b": true, "/v1/closings/east": false} {
		g := touched(t)
		g.HandleRequest(Request{ID: 1, Method: "PUT", Path: path, Body: job, Budget: 3000}, 1100)
		a := passed(g.TakeOutput())
		g.HandleMessage("k", wire.Message{Response: &wire.Response{ID: a.ID, Status: 504, RetryAfter: 200}}, 1110)
		o := g.TakeOutput()
		g.Tick(1250)
		b := passed(g.TakeOutput())
		if again && (len(o.Responses) != 0 || b == nil) {
			t.Errorf("%s: answered %+v, sent again %+v", path, o.Responses, b)
		}
		if !again && (len(o.Responses) != 1 || o.Responses[0].Status != 504 || b != nil) {
			t.Errorf("%s: answered %+v, sent again %+v", path, o.Responses, b)
		}
	}
}
