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

func newAgent() *Agent {
	return New(Config{Name: "m", Addr: "me", Domain: "d", Seeds: []string{"k1", "k2"}, Seed: 100, MaxLease: 6000, HeartbeatInterval: 100}, 0)
}

func heartbeat(seq uint64, tasks ...string) Heartbeat {
	b := Heartbeat{Runner: "i-1", Seq: seq, Pool: "p", Domain: "d", Rack: "k", Capacity: job.Demand{MilliCores: 1000, Mem: 10}}
	for _, t := range tasks {
		b.Active = append(b.Active, runnerapi.RunState{Task: identifier.TaskRef{Job: identifier.JobKey(t)}, Attempt: 1})
	}
	return b
}

// takePoll is the one poll that went out.
func takePoll(t *testing.T, agent *Agent) (to wire.Peer, a *wire.Request) {
	t.Helper()
	for _, s := range agent.TakeOutput().Messages {
		if s.Message.Request != nil {
			to, a = s.To, s.Message.Request
		}
	}
	if a == nil {
		t.Fatal("no poll went out")
	}
	return to, a
}

func pollAnswer(id uint64, a runnerapi.PollResponse) wire.Message {
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
	a := newAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	_, first := takePoll(t, a)
	a.HandleHeartbeat(heartbeat(2, "q/a.0"), 1100)
	_, second := takePoll(t, a)
	if first.ID == second.ID {
		t.Fatal("news did not replace the poll")
	}
	a.HandleMessage("k1", pollAnswer(first.ID, runnerapi.PollResponse{Starts: []runnerapi.Start{{Task: identifier.TaskRef{Job: "q/b.0"}, Attempt: 1}}}), 1200)
	o := a.HandleHeartbeat(heartbeat(3, "q/a.0"), 1300)
	if o.Lease != 4700 || len(o.Start) > 0 {
		t.Errorf("held for %d, %d starts; want 4700 and none", o.Lease, len(o.Start))
	}
	a.HandleMessage("k1", pollAnswer(first.ID, runnerapi.PollResponse{}), 1400)
	if o = a.HandleHeartbeat(heartbeat(4, "q/a.0"), 2300); o.Lease != 3700 {
		t.Errorf("an answer counted twice: held for %d", o.Lease)
	}
}

// TestStartExpires: a start that no heartbeat fetched within its time is never
// handed over, nor one for a runner that has begun to drain or to another incarnation.
func TestStartExpires(t *testing.T) {
	for name, next := range map[string]func(agent *Agent) Orders{
		"late":            func(agent *Agent) Orders { agent.Tick(2001); return agent.HandleHeartbeat(heartbeat(2), 2002) },
		"draining":        func(agent *Agent) Orders { b := heartbeat(2); b.Draining = true; return agent.HandleHeartbeat(b, 1200) },
		"new incarnation": func(agent *Agent) Orders { b := heartbeat(1); b.Runner = "i-2"; return agent.HandleHeartbeat(b, 1200) },
		"":                func(agent *Agent) Orders { return agent.HandleHeartbeat(heartbeat(2), 1200) },
	} {
		agent := newAgent()
		agent.HandleHeartbeat(heartbeat(1), 1000)
		_, a := takePoll(t, agent)
		agent.HandleMessage("k1", pollAnswer(a.ID, runnerapi.PollResponse{Starts: []runnerapi.Start{{Task: identifier.TaskRef{Job: "q/b.0"}, Attempt: 1}}}), 1100)
		if o := next(agent); (len(o.Start) == 1) != (name == "") {
			t.Errorf("%q: %d starts", name, len(o.Start))
		}
	}
}

// TestOldHeartbeats: a heartbeat that comes late, or of an incarnation that was replaced, changes
// nothing and is ordered nothing.
func TestOldHeartbeats(t *testing.T) {
	agent := newAgent()
	agent.HandleHeartbeat(heartbeat(5, "q/a.0"), 1000)
	_, a := takePoll(t, agent)
	agent.HandleMessage("k1", pollAnswer(a.ID, runnerapi.PollResponse{StopRuns: []runnerapi.RunStop{{Task: identifier.TaskRef{Job: "q/a.0"}, Attempt: 1}}}), 1010)
	if o := agent.HandleHeartbeat(heartbeat(4), 1100); len(o.Stop) > 0 || o.Lease > 0 {
		t.Errorf("a late heartbeat was answered %+v", o)
	}
	if o := agent.HandleHeartbeat(heartbeat(6, "q/a.0"), 1200); len(o.Stop) != 1 {
		t.Errorf("the stop is gone: %+v", o)
	}
	b := heartbeat(1)
	b.Runner = "i-2"
	agent.HandleHeartbeat(b, 1300)
	if o := agent.HandleHeartbeat(heartbeat(7, "q/a.0"), 1400); o.Lease > 0 || len(o.Start)+len(o.Stop) > 0 {
		t.Errorf("an incarnation that was replaced was answered %+v", o)
	}
}

// TestNewLeader: a leader that says so is polled at once, whoever was before.
func TestNewLeader(t *testing.T) {
	a := newAgent()
	a.HandleHeartbeat(heartbeat(1), 1000)
	if to, _ := takePoll(t, a); to == "k9" {
		t.Fatal("who told it of k9")
	}
	a.HandleMessage("k9", wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Node: 9, LeaderID: 9, Addr: "k9", Members: []raft.Member{{ID: 9, Addr: "k9"}, {ID: 2, Addr: "k2"}}}}, 1050)
	if to, _ := takePoll(t, a); to != "k9" {
		t.Errorf("polls %s", to)
	}
	a.HandleMessage("k2", wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Node: 2, LeaderID: 9, Addr: "k2"}}, 1060)
	if n := len(a.TakeOutput().Messages); n > 0 {
		t.Error("a server that only knows the leader was followed")
	}
}

// TestFencingTokenRequested: before there is a heartbeat the agent asks the control plane for its fencing token,
// one server after another, until one tells.
func TestFencingTokenRequested(t *testing.T) {
	agent := newAgent()
	agent.Tick(1000)
	to, a := takePoll(t, agent)
	if a.Path != "/v1/fence" {
		t.Fatalf("asked for %s", a.Path)
	}
	agent.HandleMessage(to, wire.Message{Response: &wire.Response{ID: a.ID, Status: 503, NotLeader: true}}, 1010)
	agent.Tick(1400)
	next, a := takePoll(t, agent)
	if next == to {
		t.Error("the same server was asked again")
	}
	agent.HandleMessage(next, pollAnswer(a.ID, runnerapi.PollResponse{FencingToken: 9}), 1410)
	if agent.FencingToken() != 9 {
		t.Errorf("fencing token %d", agent.FencingToken())
	}
	agent.Tick(1800)
	if n := len(agent.TakeOutput().Messages); n > 0 {
		t.Error("asked on")
	}
}
