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
func touched(t *testing.T) *Machine {
	t.Helper()
	m := New(Boot{Addr: "g", HTTP: "g", Domain: "north", Seeds: []string{"k"}}, 0)
	m.Frame("k", wire.Msg{Tell: &wire.Tell{Role: "keeper", Founded: true, Lead: 7, Members: []raft.Member{{ID: 7, Addr: "k", Voter: true}}}}, 900)
	m.Tick(950)
	first := limits.First()
	text, err := json.Marshal(controlplane.Sync{Epoch: 1, Table: &controlplane.Sheet{Epoch: 1, Rows: first.Rows}, Lead: identifier.Node(7).String(), Members: m.members})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range m.Take().Sends {
		if s.Msg.Ask != nil && s.Msg.Ask.Verb == "SYNC" {
			m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: s.Msg.Ask.ID, Status: 200, Body: text}}, 1000)
		}
	}
	m.Take()
	if !m.Ready(1000) {
		t.Fatal("not in touch")
	}
	return m
}

func passed(o Out) *wire.Ask {
	var a *wire.Ask
	for _, s := range o.Sends {
		if s.Msg.Ask != nil && s.Msg.Ask.Verb != "SYNC" {
			a = s.Msg.Ask
		}
	}
	return a
}

// TestGivenUpAtOnce: what a gate cannot pass on, or no longer expects an answer
// to, is answered then and there, and never held until its budget is over.
func TestGivenUpAtOnce(t *testing.T) {
	m := touched(t)
	m.Request(Request{ID: 1, Verb: "GET", Path: "/v1/table", Budget: 30000}, 1100)
	if passed(m.Take()) == nil {
		t.Fatal("not passed on")
	}
	m.Tick(2000)
	if o := m.Take(); len(o.Answers) != 1 || o.Answers[0].Status != 503 || o.Answers[0].Retry == 0 {
		t.Errorf("out of touch, with 29 s of budget left: %+v", o.Answers)
	}
	m.Request(Request{ID: 2, Verb: "GET", Path: "/v1/table", Budget: 30000}, 2100)
	if o := m.Take(); len(o.Answers) != 1 || o.Answers[0].Status != 503 {
		t.Errorf("asked while out of touch: %+v", o.Answers)
	}
}

// TestOutcomeUnknown: 503 says that nothing was taken. What a keeper may have
// taken is given up on with 504, also when a later try of it was refused.
func TestOutcomeUnknown(t *testing.T) {
	put := Request{ID: 1, Verb: "PUT", Path: "/v1/jobs/a/b", Body: []byte(`{"pending":"default","steps":[{"name":"s"}]}`), Budget: 30000}
	m := touched(t)
	m.Request(put, 1100)
	if passed(m.Take()) == nil {
		t.Fatal("not passed on")
	}
	m.Tick(2000)
	if o := m.Take(); len(o.Answers) != 1 || o.Answers[0].Status != 504 || o.Answers[0].Retry == 0 {
		t.Errorf("passed on, then out of touch: %+v", o.Answers)
	}
	m = touched(t)
	m.Request(put, 1100)
	first := passed(m.Take())
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: first.ID, Status: 503, Moved: true}}, 1120)
	m.Tick(1220)
	again := passed(m.Take())
	if again == nil {
		t.Fatal("not passed on again")
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: again.ID, Status: 503, Retry: 1000}}, 1240)
	if o := m.Take(); len(o.Answers) != 1 || o.Answers[0].Status != 503 {
		t.Errorf("moved, then refused: %+v", o.Answers)
	}
}

// TestBudget: an answer that does not come leaves the outcome unknown, and the
// gate says that it is.
func TestBudget(t *testing.T) {
	m := touched(t)
	m.Request(Request{ID: 1, Verb: "PATCH", Path: "/v1/table", Body: []byte(`{"base":1,"cells":{"a.weight":2}}`), Budget: 300}, 1100)
	m.Take()
	m.Tick(1390)
	if o := m.Take(); len(o.Answers) > 0 {
		t.Errorf("before its time: %+v", o.Answers)
	}
	m.Tick(1400)
	if o := m.Take(); len(o.Answers) != 1 || o.Answers[0].Status != 504 {
		t.Errorf("after its time: %+v", o.Answers)
	}
}

// TestStaleTable: a request that met a newer table is checked and passed again
// by that table; an older one that comes late never replaces it.
func TestStaleTable(t *testing.T) {
	m := touched(t)
	job := []byte(`{"pending":"default","steps":[{"name":"s","tasks":3}]}`)
	m.Request(Request{ID: 1, Verb: "PUT", Path: "/v1/jobs/a/b", Body: job, Budget: 3000}, 1100)
	a := passed(m.Take())
	if a == nil || a.Epoch != 1 {
		t.Fatalf("passed on as %+v", a)
	}
	sheet := func(epoch identifier.Epoch, most string) []byte {
		now := limits.First()
		now.Rows["default"]["maxTasks"] = most
		text, err := json.Marshal(controlplane.Sheet{Epoch: epoch, Rows: now.Rows})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 409, Stale: true, Body: sheet(5, "10")}}, 1150)
	o := m.Take()
	if b := passed(o); b == nil || b.Epoch != 5 || len(o.Answers) > 0 {
		t.Fatalf("after the newer table: %+v, %+v", b, o.Answers)
	} else {
		a = b
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 409, Stale: true, Body: sheet(4, "1")}}, 1160)
	if m.Epoch() != 5 {
		t.Errorf("the table slid back to %d", m.Epoch())
	}
	a = passed(m.Take())
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 409, Stale: true, Body: sheet(6, "2")}}, 1170)
	if o = m.Take(); len(o.Answers) != 1 || o.Answers[0].Status != 422 {
		t.Errorf("by a table that forbids it: %+v", o.Answers)
	}
}

// TestFullGate: bodies in hand are bounded by their bytes.
func TestFullGate(t *testing.T) {
	m := touched(t)
	body := append([]byte(`{"pending":"default","steps":[{"name":"s"}]}`), bytes.Repeat([]byte(" "), 1<<20)...)
	full := 0
	for i := uint64(1); i <= 80; i++ {
		m.Request(Request{ID: i, Verb: "PUT", Path: "/v1/jobs/a/b", Body: body, Budget: 3000}, 1100)
		for _, a := range m.Take().Answers {
			if a.Status == 503 && a.Retry > 0 {
				full++
			}
		}
	}
	if full < 10 || full > 20 || m.bytes > mostBytes {
		t.Errorf("%d of 80 MiB refused, %d bytes in hand", full, m.bytes)
	}
	for i := uint64(1); i <= 80; i++ {
		m.Drop(i)
	}
	if m.bytes != 0 || m.Waiting() != 0 {
		t.Errorf("all gone, and %d bytes are counted", m.bytes)
	}
}

// TestReplyFromAnother: a reply counts only from the one that was asked, and
// only the reply to the last try.
func TestReplyFromAnother(t *testing.T) {
	m := touched(t)
	m.Request(Request{ID: 1, Verb: "GET", Path: "/v1/table", Budget: 3000}, 1100)
	a := passed(m.Take())
	m.Frame("k2", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 200}}, 1110)
	if o := m.Take(); len(o.Answers) != 0 {
		t.Errorf("took the reply of one that was not asked: %+v", o.Answers)
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 503, Moved: true}}, 1120)
	m.Tick(1250)
	again := passed(m.Take())
	if again == nil || again.ID == a.ID {
		t.Fatalf("tried again as %+v", again)
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 200, Body: []byte("first")}}, 1260)
	if o := m.Take(); len(o.Answers) != 0 {
		t.Errorf("took the reply to a try that is over: %+v", o.Answers)
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: again.ID, Status: 200, Body: []byte("second")}}, 1270)
	if o := m.Take(); len(o.Answers) != 1 || string(o.Answers[0].Body) != "second" {
		t.Errorf("answered %+v", o.Answers)
	}
}

// TestExpiredTry: an order that the leader could not tell the age of goes out
// again at once with the reading that came back, and not after its budget.
func TestExpiredTry(t *testing.T) {
	order := Request{ID: 1, Verb: "PUT", Path: "/v1/closings/east", Budget: 900}
	m := touched(t)
	m.Request(order, 1100)
	a := passed(m.Take())
	if !a.Dated || a.Known != (wire.LeaderTime{}) || a.Budget != 900 {
		t.Fatalf("first sent as %+v", a)
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 503, Expired: true, Leader: wire.LeaderTime{Term: 4, At: 70}}}, 1110)
	b := passed(m.Take())
	if b == nil || b.Known != (wire.LeaderTime{Term: 4, At: 70}) || b.Budget != 890 {
		t.Fatalf("sent again as %+v", b)
	}
	m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: b.ID, Status: 503, Expired: true, Retry: 200}}, 2000)
	o := m.Take()
	if passed(o) != nil || len(o.Answers) != 1 || o.Answers[0].Status != 503 || o.Answers[0].Retry == 0 {
		t.Errorf("past its budget: %+v, %+v", passed(o), o.Answers)
	}
}

// TestLeaderChanged: what a deposed leader does not know the outcome of is sent
// to the next one if it may be, and told as unknown to its caller otherwise.
func TestLeaderChanged(t *testing.T) {
	job := []byte(`{"pending":"default","steps":[{"name":"s"}]}`)
	for path, again := range map[string]bool{"/v1/jobs/a/b": true, "/v1/closings/east": false} {
		m := touched(t)
		m.Request(Request{ID: 1, Verb: "PUT", Path: path, Body: job, Budget: 3000}, 1100)
		a := passed(m.Take())
		m.Frame("k", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 504, Retry: 200}}, 1110)
		o := m.Take()
		m.Tick(1250)
		b := passed(m.Take())
		if again && (len(o.Answers) != 0 || b == nil) {
			t.Errorf("%s: answered %+v, sent again %+v", path, o.Answers, b)
		}
		if !again && (len(o.Answers) != 1 || o.Answers[0].Status != 504 || b != nil) {
			t.Errorf("%s: answered %+v, sent again %+v", path, o.Answers, b)
		}
	}
}
