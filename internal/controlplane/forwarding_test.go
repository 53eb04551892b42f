package controlplane_test

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

const relayLeader identifier.Node = 7

// forwarder is a keeper without a disk that knows of a leader at "k7".
func forwarder(t *testing.T) *controlplane.Server {
	t.Helper()
	s := controlplane.New(controlplane.Config{Addr: "p", Domain: "north", Seeds: []string{"k7"}, Timing: raft.DefaultTiming(), Diskless: true}, 0)
	hear(s, "k7", relayLeader, wire.LeaderTime{Term: 3, At: 40}, 100)
	s.TakeOutput()
	return s
}

// hear has a keeper say that it leads.
func hear(s *controlplane.Server, addr string, id identifier.Node, reading wire.LeaderTime, now clock.Monotonic) {
	members := []raft.Member{{ID: relayLeader, Addr: "k7", Voter: true}, {ID: 8, Addr: "k8", Voter: true}}
	s.HandleMessage(wire.Peer(addr), wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Node: id, Addr: addr, Founded: true, LeaderID: id, Members: members, LeaderTime: reading}}, now, 0)
}

// forwarded is the request that was passed on, and to whom.
func forwarded(o controlplane.Output) (to wire.Peer, a *wire.Request) {
	for _, s := range o.Messages {
		if s.Message.Request != nil {
			return s.To, s.Message.Request
		}
	}
	return "", nil
}

// replies lists the replies in an output.
func replies(o controlplane.Output) []wire.Envelope {
	var list []wire.Envelope
	for _, s := range o.Messages {
		if s.Message.Response != nil {
			list = append(list, s)
		}
	}
	return list
}

// TestReplyFromAnother: the reply to a request that was passed on counts only
// from the one it was passed to, and only once.
func TestReplyFromAnother(t *testing.T) {
	s := forwarder(t)
	s.HandleMessage("#1", wire.Message{Request: &wire.Request{ID: 5, Method: "GET", Path: "/v1/table", Budget: 1000}}, 110, 0)
	to, a := forwarded(s.TakeOutput())
	if to != "k7" || a.Hops != 1 || a.ID == 5 {
		t.Fatalf("passed to %s: %+v", to, a)
	}
	s.HandleMessage("k8", wire.Message{Response: &wire.Response{ID: a.ID, Status: 200, Body: []byte("another's")}}, 120, 0)
	if list := replies(s.TakeOutput()); len(list) != 0 {
		t.Errorf("took the reply of one that was not asked: %+v", list)
	}
	s.HandleMessage("k7", wire.Message{Response: &wire.Response{ID: a.ID, Status: 200, Body: []byte("own")}}, 130, 0)
	if list := replies(s.TakeOutput()); len(list) != 1 || list[0].To != "#1" || list[0].Message.Response.ID != 5 || string(list[0].Message.Response.Body) != "own" {
		t.Errorf("the reply came back as %+v", list)
	}
	s.HandleMessage("k7", wire.Message{Response: &wire.Response{ID: a.ID, Status: 500}}, 140, 0)
	if list := replies(s.TakeOutput()); len(list) != 0 {
		t.Errorf("a second reply was passed back: %+v", list)
	}
}

// TestDated: an order made at a keeper goes to the leader with the latest
// reading of that leader's clock; one that came from elsewhere keeps its own.
func TestDated(t *testing.T) {
	s := forwarder(t)
	order := &wire.Request{ID: 5, Method: "PUT", Path: "/v1/closings/east", Budget: 900}
	s.HandleMessage("@1", wire.Message{Request: order}, 110, 0)
	if _, a := forwarded(s.TakeOutput()); !a.HasLeaderTime || a.LeaderTime != (wire.LeaderTime{Term: 3, At: 40}) {
		t.Errorf("an order made here goes as %+v", a)
	}
	hear(s, "k7", relayLeader, wire.LeaderTime{Term: 3, At: 400}, 500)
	hear(s, "k7", relayLeader, wire.LeaderTime{Term: 3, At: 90}, 510)
	s.TakeOutput()
	s.HandleMessage("@2", wire.Message{Request: order}, 520, 0)
	if _, a := forwarded(s.TakeOutput()); a.LeaderTime.At != 400 {
		t.Errorf("after a later reading it goes as %+v", a)
	}
	sent := &wire.Request{ID: 6, Method: "PUT", Path: "/v1/closings/east", Budget: 900, HasLeaderTime: true, LeaderTime: wire.LeaderTime{Term: 2, At: 9}}
	s.HandleMessage("#1", wire.Message{Request: sent}, 530, 0)
	if _, a := forwarded(s.TakeOutput()); !a.HasLeaderTime || a.LeaderTime != sent.LeaderTime {
		t.Errorf("an order from elsewhere goes as %+v", a)
	}
}

// TestAbandoned: when another leads, whoever waits on the one before is told at
// once that the outcome is not known.
func TestAbandoned(t *testing.T) {
	s := forwarder(t)
	s.Tick(120, 0)
	s.HandleMessage("#1", wire.Message{Request: &wire.Request{ID: 5, Method: "PUT", Path: "/v1/closings/east", Budget: 3000}}, 130, 0)
	if to, _ := forwarded(s.TakeOutput()); to != "k7" {
		t.Fatalf("passed to %s", to)
	}
	hear(s, "k8", 8, wire.LeaderTime{Term: 4, At: 10}, 1100)
	s.Tick(1120, 0)
	list := replies(s.TakeOutput())
	if len(list) != 1 || list[0].Message.Response.ID != 5 || list[0].Message.Response.Status != 504 || list[0].Message.Response.RetryAfter == 0 {
		t.Errorf("with a new leader, 2 s before its time: %+v", list)
	}
}

// TestExpiredOrder: a leader takes an order only while no more has passed on its
// own clock since the reading that came with it than the sender waits; one of
// another term, or without a reading, it does not take. Reads are not judged.
func TestExpiredOrder(t *testing.T) {
	s := newSite(t, 1, 0)
	term := s.keep.Raft().Term()
	ask := func(verb string, dated bool, known wire.LeaderTime, budget clock.Millis) *wire.Response {
		var r *wire.Response
		s.ask++
		order := &wire.Request{ID: s.ask, Method: verb, Path: "/v1/closings/nowhere", Budget: budget, HasLeaderTime: dated, LeaderTime: known}
		s.posts = append(s.posts, post{s.now, "k", "op", wire.Message{Request: order}})
		for i := 0; i < 50 && r == nil; i++ {
			s.run(1)
			r = s.got[order.ID]
		}
		return r
	}
	for _, one := range []struct {
		name   string
		verb   string
		dated  bool
		term   identifier.Term
		age    clock.Millis
		budget clock.Millis
		taken  bool
	}{
		{"fresh", "PUT", true, term, 100, 900, true},
		{"at its end", "PUT", true, term, 870, 900, true},
		{"past it by a slow clock", "PUT", true, term, 890, 900, false},
		{"old", "DELETE", true, term, 20000, 900, false},
		{"of a former term", "PUT", true, term - 1, 0, 900, false},
		{"no reading", "PUT", true, 0, 0, 900, false},
		{"a former version's", "PUT", false, 0, 0, 900, true},
		{"a read", "GET", true, term - 1, 20000, 900, true},
	} {
		r := ask(one.verb, one.dated, wire.LeaderTime{Term: one.term, At: s.now.Add(-one.age)}, one.budget)
		if r == nil || r.Expired == one.taken {
			t.Errorf("%s: %+v, want it taken: %v", one.name, r, one.taken)
			continue
		}
		if r.LeaderTime.Term != term || s.now.Since(r.LeaderTime.At) > 100 {
			t.Errorf("%s: the reply's reading is %+v at %d", one.name, r.LeaderTime, s.now)
		}
	}
}

// TestUndecidedIsBounded: while nothing can be decided, the bodies of what waits
// stay under 8 MiB, which the log on disk has room for; more is turned away.
func TestUndecidedIsBounded(t *testing.T) {
	s := newSite(t, 1, 0)
	s.keep.TakeOutput()
	body := append([]byte(`{"pending":"default","steps":[{"name":"s"}]}`), bytes.Repeat([]byte(" "), 300<<10)...)
	taken, refused := 0, 0
	for i := uint64(1); i <= 64; i++ {
		s.keep.HandleMessage("op", wire.Message{Request: &wire.Request{ID: i, Method: "PUT", Path: fmt.Sprintf("/v1/jobs/a/j%d", i), Body: body, Budget: 900}}, s.now, 0)
		taken++
		for _, one := range replies(s.keep.TakeOutput()) {
			if one.Message.Response.Status == 503 && one.Message.Response.RetryAfter > 0 {
				refused++
				taken--
			}
		}
	}
	if bytes := taken * len(body); bytes > 8<<20 || taken < 20 || taken+refused != 64 {
		t.Errorf("%d of %d bytes each were taken, %d turned away", taken, len(body), refused)
	}
}
