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
func forwarder(t *testing.T) *controlplane.Machine {
	t.Helper()
	m := controlplane.New(controlplane.Boot{Addr: "p", Domain: "north", Seeds: []string{"k7"}, Timing: raft.Usual(), Diskless: true}, 0)
	hear(m, "k7", relayLeader, wire.LeaderTime{Term: 3, At: 40}, 100)
	m.Take()
	return m
}

// hear has a keeper say that it leads.
func hear(m *controlplane.Machine, addr string, id identifier.Node, reading wire.LeaderTime, now clock.Monotonic) {
	members := []raft.Member{{ID: relayLeader, Addr: "k7", Voter: true}, {ID: 8, Addr: "k8", Voter: true}}
	m.Frame(wire.Peer(addr), wire.Msg{Tell: &wire.Tell{Role: "keeper", Node: id, Addr: addr, Founded: true, Lead: id, Members: members, Leader: reading}}, now, 0)
}

// forwarded is the request that was passed on, and to whom.
func forwarded(o controlplane.Out) (to wire.Peer, a *wire.Ask) {
	for _, s := range o.Sends {
		if s.Msg.Ask != nil {
			return s.To, s.Msg.Ask
		}
	}
	return "", nil
}

// replies lists the replies in an output.
func replies(o controlplane.Out) []wire.Send {
	var list []wire.Send
	for _, s := range o.Sends {
		if s.Msg.Reply != nil {
			list = append(list, s)
		}
	}
	return list
}

// TestReplyFromAnother: the reply to a request that was passed on counts only
// from the one it was passed to, and only once.
func TestReplyFromAnother(t *testing.T) {
	m := forwarder(t)
	m.Frame("#1", wire.Msg{Ask: &wire.Ask{ID: 5, Verb: "GET", Path: "/v1/table", Budget: 1000}}, 110, 0)
	to, a := forwarded(m.Take())
	if to != "k7" || a.Hops != 1 || a.ID == 5 {
		t.Fatalf("passed to %s: %+v", to, a)
	}
	m.Frame("k8", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 200, Body: []byte("another's")}}, 120, 0)
	if list := replies(m.Take()); len(list) != 0 {
		t.Errorf("took the reply of one that was not asked: %+v", list)
	}
	m.Frame("k7", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 200, Body: []byte("own")}}, 130, 0)
	if list := replies(m.Take()); len(list) != 1 || list[0].To != "#1" || list[0].Msg.Reply.ID != 5 || string(list[0].Msg.Reply.Body) != "own" {
		t.Errorf("the reply came back as %+v", list)
	}
	m.Frame("k7", wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 500}}, 140, 0)
	if list := replies(m.Take()); len(list) != 0 {
		t.Errorf("a second reply was passed back: %+v", list)
	}
}

// TestDated: an order made at a keeper goes to the leader with the latest
// reading of that leader's clock; one that came from elsewhere keeps its own.
func TestDated(t *testing.T) {
	m := forwarder(t)
	order := &wire.Ask{ID: 5, Verb: "PUT", Path: "/v1/closings/east", Budget: 900}
	m.Frame("@1", wire.Msg{Ask: order}, 110, 0)
	if _, a := forwarded(m.Take()); !a.Dated || a.Known != (wire.LeaderTime{Term: 3, At: 40}) {
		t.Errorf("an order made here goes as %+v", a)
	}
	hear(m, "k7", relayLeader, wire.LeaderTime{Term: 3, At: 400}, 500)
	hear(m, "k7", relayLeader, wire.LeaderTime{Term: 3, At: 90}, 510)
	m.Take()
	m.Frame("@2", wire.Msg{Ask: order}, 520, 0)
	if _, a := forwarded(m.Take()); a.Known.At != 400 {
		t.Errorf("after a later reading it goes as %+v", a)
	}
	sent := &wire.Ask{ID: 6, Verb: "PUT", Path: "/v1/closings/east", Budget: 900, Dated: true, Known: wire.LeaderTime{Term: 2, At: 9}}
	m.Frame("#1", wire.Msg{Ask: sent}, 530, 0)
	if _, a := forwarded(m.Take()); !a.Dated || a.Known != sent.Known {
		t.Errorf("an order from elsewhere goes as %+v", a)
	}
}

// TestAbandoned: when another leads, whoever waits on the one before is told at
// once that the outcome is not known.
func TestAbandoned(t *testing.T) {
	m := forwarder(t)
	m.Tick(120, 0)
	m.Frame("#1", wire.Msg{Ask: &wire.Ask{ID: 5, Verb: "PUT", Path: "/v1/closings/east", Budget: 3000}}, 130, 0)
	if to, _ := forwarded(m.Take()); to != "k7" {
		t.Fatalf("passed to %s", to)
	}
	hear(m, "k8", 8, wire.LeaderTime{Term: 4, At: 10}, 1100)
	m.Tick(1120, 0)
	list := replies(m.Take())
	if len(list) != 1 || list[0].Msg.Reply.ID != 5 || list[0].Msg.Reply.Status != 504 || list[0].Msg.Reply.Retry == 0 {
		t.Errorf("with a new leader, 2 s before its time: %+v", list)
	}
}

// TestExpiredOrder: a leader takes an order only while no more has passed on its
// own clock since the reading that came with it than the sender waits; one of
// another term, or without a reading, it does not take. Reads are not judged.
func TestExpiredOrder(t *testing.T) {
	s := newSite(t, 1, 0)
	term := s.keep.Raft().Term()
	ask := func(verb string, dated bool, known wire.LeaderTime, budget clock.Millis) *wire.Reply {
		var r *wire.Reply
		s.ask++
		order := &wire.Ask{ID: s.ask, Verb: verb, Path: "/v1/closings/nowhere", Budget: budget, Dated: dated, Known: known}
		s.posts = append(s.posts, post{s.now, "k", "op", wire.Msg{Ask: order}})
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
		if r.Leader.Term != term || s.now.Since(r.Leader.At) > 100 {
			t.Errorf("%s: the reply's reading is %+v at %d", one.name, r.Leader, s.now)
		}
	}
}

// TestUndecidedIsBounded: while nothing can be decided, the bodies of what waits
// stay under 8 MiB, which the log on disk has room for; more is turned away.
func TestUndecidedIsBounded(t *testing.T) {
	s := newSite(t, 1, 0)
	s.keep.Take()
	body := append([]byte(`{"pending":"default","steps":[{"name":"s"}]}`), bytes.Repeat([]byte(" "), 300<<10)...)
	taken, refused := 0, 0
	for i := uint64(1); i <= 64; i++ {
		s.keep.Frame("op", wire.Msg{Ask: &wire.Ask{ID: i, Verb: "PUT", Path: fmt.Sprintf("/v1/jobs/a/j%d", i), Body: body, Budget: 900}}, s.now, 0)
		taken++
		for _, one := range replies(s.keep.Take()) {
			if one.Msg.Reply.Status == 503 && one.Msg.Reply.Retry > 0 {
				refused++
				taken--
			}
		}
	}
	if bytes := taken * len(body); bytes > 8<<20 || taken < 20 || taken+refused != 64 {
		t.Errorf("%d of %d bytes each were taken, %d turned away", taken, len(body), refused)
	}
}
