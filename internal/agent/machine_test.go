package agent

import (
	"encoding/json"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/transport/wire"
)

func begin() *Agent {
	return New(Config{Name: "m", Addr: "me", Domain: "d", Seeds: []string{"k1", "k2"}, Seed: 100, MaxLease: 6000, HeartbeatInterval: 100}, 0)
}

func beat(seq uint64, tasks ...string) Heartbeat {
	b := Heartbeat{Runner: "i-1", Seq: seq, Pool: "p", Domain: "d", Rack: "k", Capacity: job.Demand{MilliCores: 1000, Mem: 10}}
	for _, t := range tasks {
		b.Active = append(b.Active, runnerapi.RunState{Task: identifier.TaskRef{Job: identifier.JobKey(t)}, Attempt: 1})
	}
	return b
}

// asked is the one poll that went out.
func asked(t *testing.T, m *Agent) (to wire.Peer, a *wire.Request) {
	t.Helper()
	for _, s := range m.TakeOutput().Messages {
		if s.Message.Request != nil {
			to, a = s.To, s.Message.Request
		}
	}
	if a == nil {
		t.Fatal("no poll went out")
	}
	return to, a
}

func answer(id uint64, a runnerapi.PollResponse) wire.Message {
	a.Lease, a.StartTimeout = 5000, 1000
	text, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return wire.Message{Response: &wire.Response{ID: id, Status: 200, Body: text}}
}

// TestReplacedPoll: news replaces an open poll; the answer to the one replaced
// orders nothing, but the work is held from when that one was sent.
func TestReplacedPoll(t *testing.T) {
	m := begin()
	m.HandleHeartbeat(beat(1), 1000)
	_, first := asked(t, m)
	m.HandleHeartbeat(beat(2, "q/a.0"), 1100)
	_, second := asked(t, m)
	if first.ID == second.ID {
		t.Fatal("news did not replace the poll")
	}
	m.HandleMessage("k1", answer(first.ID, runnerapi.PollResponse{Starts: []runnerapi.Start{{Task: identifier.TaskRef{Job: "q/b.0"}, Attempt: 1}}}), 1200)
	o := m.HandleHeartbeat(beat(3, "q/a.0"), 1300)
	if o.Lease != 4700 || len(o.Start) > 0 {
		t.Errorf("held for %d, %d starts; want 4700 and none", o.Lease, len(o.Start))
	}
	m.HandleMessage("k1", answer(first.ID, runnerapi.PollResponse{}), 1400)
	if o = m.HandleHeartbeat(beat(4, "q/a.0"), 2300); o.Lease != 3700 {
		t.Errorf("an answer counted twice: held for %d", o.Lease)
	}
}

// TestStartExpires: a start that no heartbeat fetched within its time is never
// handed over, nor one for a runner that has begun to drain or another life.
func TestStartExpires(t *testing.T) {
	for name, next := range map[string]func(m *Agent) Orders{
		"late":     func(m *Agent) Orders { m.Tick(2001); return m.HandleHeartbeat(beat(2), 2002) },
		"draining": func(m *Agent) Orders { b := beat(2); b.Draining = true; return m.HandleHeartbeat(b, 1200) },
		"new life": func(m *Agent) Orders { b := beat(1); b.Runner = "i-2"; return m.HandleHeartbeat(b, 1200) },
		"":         func(m *Agent) Orders { return m.HandleHeartbeat(beat(2), 1200) },
	} {
		m := begin()
		m.HandleHeartbeat(beat(1), 1000)
		_, a := asked(t, m)
		m.HandleMessage("k1", answer(a.ID, runnerapi.PollResponse{Starts: []runnerapi.Start{{Task: identifier.TaskRef{Job: "q/b.0"}, Attempt: 1}}}), 1100)
		if o := next(m); (len(o.Start) == 1) != (name == "") {
			t.Errorf("%q: %d starts", name, len(o.Start))
		}
	}
}

// TestOldBeats: a heartbeat that comes late, or of a life that is over, changes
// nothing and is ordered nothing.
func TestOldBeats(t *testing.T) {
	m := begin()
	m.HandleHeartbeat(beat(5, "q/a.0"), 1000)
	_, a := asked(t, m)
	m.HandleMessage("k1", answer(a.ID, runnerapi.PollResponse{StopRuns: []runnerapi.RunStop{{Task: identifier.TaskRef{Job: "q/a.0"}, Attempt: 1}}}), 1010)
	if o := m.HandleHeartbeat(beat(4), 1100); len(o.Stop) > 0 || o.Lease > 0 {
		t.Errorf("a late heartbeat was answered %+v", o)
	}
	if o := m.HandleHeartbeat(beat(6, "q/a.0"), 1200); len(o.Stop) != 1 {
		t.Errorf("the stop is gone: %+v", o)
	}
	b := beat(1)
	b.Runner = "i-2"
	m.HandleHeartbeat(b, 1300)
	if o := m.HandleHeartbeat(beat(7, "q/a.0"), 1400); o.Lease > 0 || len(o.Start)+len(o.Stop) > 0 {
		t.Errorf("a life that is over was answered %+v", o)
	}
}

// TestNewLeader: a leader that says so is polled at once, whoever was before.
func TestNewLeader(t *testing.T) {
	m := begin()
	m.HandleHeartbeat(beat(1), 1000)
	if to, _ := asked(t, m); to == "k9" {
		t.Fatal("who told it of k9")
	}
	m.HandleMessage("k9", wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Node: 9, LeaderID: 9, Addr: "k9", Members: []raft.Member{{ID: 9, Addr: "k9"}, {ID: 2, Addr: "k2"}}}}, 1050)
	if to, _ := asked(t, m); to != "k9" {
		t.Errorf("polls %s", to)
	}
	m.HandleMessage("k2", wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Node: 2, LeaderID: 9, Addr: "k2"}}, 1060)
	if n := len(m.TakeOutput().Messages); n > 0 {
		t.Error("a keeper that only knows the leader was followed")
	}
}

// TestGreet: before there is a heartbeat the agent asks the core for its fence,
// one keeper after another, until one tells.
func TestGreet(t *testing.T) {
	m := begin()
	m.Tick(1000)
	to, a := asked(t, m)
	if a.Path != "/v1/fence" {
		t.Fatalf("asked for %s", a.Path)
	}
	m.HandleMessage(to, wire.Message{Response: &wire.Response{ID: a.ID, Status: 503, NotLeader: true}}, 1010)
	m.Tick(1400)
	next, a := asked(t, m)
	if next == to {
		t.Error("the same keeper was asked again")
	}
	m.HandleMessage(next, answer(a.ID, runnerapi.PollResponse{FencingToken: 9}), 1410)
	if m.FencingToken() != 9 {
		t.Errorf("fence %d", m.FencingToken())
	}
	m.Tick(1800)
	if n := len(m.TakeOutput().Messages); n > 0 {
		t.Error("asked on")
	}
}
