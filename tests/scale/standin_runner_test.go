package main

import (
	"testing"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

func newStart(num int, span clock.Millis) runnerapi.Start {
	return runnerapi.Start{Task: identifier.TaskRef{Job: "q/00000000000000a1.0", Num: num}, Attempt: 1, Payload: encodePayload(span, 40)}
}

// TestStandIn checks that a run starts only once, reports its progress, succeeds after its
// span, and that its end is reported until the agent has observed it.
func TestStandIn(t *testing.T) {
	var submitted, began clock.Monotonic
	count := 0
	s := &standInRunner{incarnation: "a", onStart: func(h, at clock.Monotonic) { submitted, began, count = h, at, count+1 }}
	if !s.advance(0) {
		t.Fatal("no first heartbeat")
	}
	if b := s.heartbeat(0); b.Seq != 1 || b.Runner != "a" || b.Pool != pool || len(b.Active) > 0 {
		t.Errorf("first heartbeat %+v", b)
	}
	o := agent.Orders{Lease: 6000, NextHeartbeat: 100, Start: []runnerapi.Start{newStart(0, 1000)}}
	s.applyOrders(o, 0, 50)
	s.applyOrders(o, 0, 60)
	if count != 1 || submitted != 40 || began != 50 {
		t.Errorf("%d starts, submitted at %d, started at %d", count, submitted, began)
	}
	if s.advance(99) || !s.advance(100) {
		t.Error("the next heartbeat is not due after exactly 100 ms")
	}
	if b := s.heartbeat(550); len(b.Active) != 1 || b.Active[0].ProgressPercent != 50 || b.Active[0].Attempt != 1 {
		t.Errorf("halfway through the span: %+v", b.Active)
	}
	s.advance(1049)
	if len(s.runs) != 1 {
		t.Error("the run ended before its span was over")
	}
	s.advance(1050)
	for range 2 {
		b := s.heartbeat(1100)
		if len(b.Active) != 0 || len(b.Finished) != 1 || b.Finished[0].Outcome != runnerapi.OutcomeSuccess || b.Finished[0].Seq != 1 {
			t.Fatalf("after its span: %+v", b)
		}
		s.applyOrders(agent.Orders{Lease: 6000, NextHeartbeat: 100}, 1100, 1100)
	}
	s.applyOrders(agent.Orders{Lease: 6000, NextHeartbeat: 100, ObservedThrough: 1}, 1200, 1200)
	if b := s.heartbeat(1300); len(b.Finished) != 0 {
		t.Errorf("an observed end was reported again: %+v", b.Finished)
	}
}

// TestStandInEnds checks that a run ends after a stop order and when the lease expires, and
// that a start with an invalid payload is rejected.
func TestStandInEnds(t *testing.T) {
	s := &standInRunner{}
	bad := newStart(2, 1000)
	bad.Payload = "x"
	s.applyOrders(agent.Orders{Lease: 1000, Start: []runnerapi.Start{newStart(0, 9000), newStart(1, 9000), bad}}, 0, 0)
	s.applyOrders(agent.Orders{Lease: 1000, Stop: []runnerapi.RunStop{{Task: newStart(0, 1).Task, Attempt: 1}}}, 100, 100)
	s.advance(249)
	if len(s.runs) != 2 {
		t.Errorf("%d runs before the stop delay was over, want 2", len(s.runs))
	}
	s.advance(250)
	s.advance(1100)
	if len(s.runs) != 1 {
		t.Errorf("%d runs before the lease expired, want 1", len(s.runs))
	}
	s.advance(1101)
	if s.lapses != 1 {
		t.Errorf("%d lapses counted, want 1", s.lapses)
	}
	want := []string{runnerapi.OutcomeRejected, runnerapi.OutcomeStopped, runnerapi.OutcomeLeaseLapsed}
	b := s.heartbeat(1101)
	if len(b.Finished) != len(want) || len(b.Active) != 0 {
		t.Fatalf("ends %+v", b.Finished)
	}
	for i, e := range b.Finished {
		if e.Outcome != want[i] || e.Seq != uint64(i+1) {
			t.Errorf("end %d: %+v, want %s", i, e, want[i])
		}
	}
}

// TestStandInVaries checks that progress and end follow the actual duration of a run.
func TestStandInVaries(t *testing.T) {
	s := &standInRunner{vary: func(span clock.Millis) clock.Millis { return span * 2 }}
	s.applyOrders(agent.Orders{Lease: 6000, Start: []runnerapi.Start{newStart(0, 1000)}}, 0, 0)
	s.advance(1999)
	if b := s.heartbeat(1000); len(b.Active) != 1 || b.Active[0].ProgressPercent != 50 {
		t.Errorf("%+v", b.Active)
	}
	if s.advance(2000); len(s.runs) != 0 {
		t.Error("the run did not end after its actual duration")
	}
}

// TestAgentAndStandIn checks that an agent that never reached a server grants its runner no
// lease, so that the runner starts nothing.
func TestAgentAndStandIn(t *testing.T) {
	s := &standInRunner{incarnation: "a", domain: "n", rack: "r"}
	m := agent.New(agent.Config{Name: "a", Addr: "x", Domain: "n", Seeds: []string{"k"}, Seed: 1, MaxLease: 6000, HeartbeatInterval: 100}, 0)
	o := m.HandleHeartbeat(s.heartbeat(0), 0)
	s.applyOrders(o, 0, 0)
	if o.Lease != 0 || s.leaseEnd != 0 || s.nextHeartbeat != 100 || len(m.TakeOutput().Messages) != 1 {
		t.Errorf("orders %+v, until %d, next %d", o, s.leaseEnd, s.nextHeartbeat)
	}
}
