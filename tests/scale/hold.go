// A trial in virtual time of one agent whose core loses nothing and answers as
// the leader does: a poll that a later one replaces at once, any other once it
// has been held. No beat should go without a hold.
package main

import (
	"encoding/json"
	"fmt"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	holdSpan  clock.Monotonic = 100_000
	holdFrom  clock.Monotonic = 10_000
	holdGrant clock.Millis    = 6000
	holdOpen  clock.Millis    = 600
)

// stub is the core of the trial: the poll it holds, and since when.
type stub struct {
	mach  *agent.Agent
	open  uint64
	since clock.Monotonic
	polls int
}

func (s *stub) answer(id uint64, now clock.Monotonic) {
	text, err := json.Marshal(runnerapi.PollResponse{Lease: holdGrant, StartTimeout: 1000})
	if err != nil {
		panic(err)
	}
	s.mach.HandleMessage("k", wire.Message{Response: &wire.Response{ID: id, Status: 200, Body: text}}, now)
}

// step answers what is due and takes in what the agent sends.
func (s *stub) step(now clock.Monotonic) {
	if s.open != 0 && now.Since(s.since) >= holdOpen {
		id := s.open
		s.open = 0
		s.answer(id, now)
	}
	for list := s.mach.TakeOutput().Messages; len(list) > 0; list = s.mach.TakeOutput().Messages {
		for _, x := range list {
			if x.Message.Request == nil {
				continue
			}
			was := s.open
			s.open, s.since = x.Message.Request.ID, now
			s.polls++
			if was != 0 {
				s.answer(was, now)
			}
		}
	}
}

// holdTrial has so many tasks of about such a span run on, out of step, and
// counts the beats after the first ten seconds that were answered without a hold.
func holdTrial(tasks int, span clock.Millis) (polls, bare, beats int) {
	s := &standIn{inc: "a", domain: "n", rack: "r", until: 1 << 40}
	c := &stub{mach: agent.New(agent.Config{Name: "a", Addr: "x", Domain: "n", Seeds: []string{"k"}, Seed: 1, MaxLease: holdMost, HeartbeatInterval: beatGap}, 0)}
	for i := range tasks {
		s.runs = append(s.runs, &work{task: identifier.TaskRef{Job: "q/00000000000000a1.0", Num: i}, no: 1, span: span + clock.Millis(i)*span/97, at: clock.Monotonic(-217 * i)})
	}
	for now := clock.Monotonic(0); now < holdSpan; now += clock.Monotonic(agent.TickInterval) {
		c.mach.Tick(now)
		if s.due(now) {
			o := c.mach.HandleHeartbeat(s.beat(now), now)
			s.obey(o, now, now)
			if now > holdFrom {
				beats++
				if o.Lease == 0 {
					bare++
				}
			}
		}
		c.step(now)
	}
	return c.polls, bare, beats
}

func holdTrials() {
	for _, one := range []struct {
		tasks int
		span  clock.Millis
	}{{1, 117_000}, {5, 117_000}, {14, 117_000}, {14, 300_000}, {24, 3_000_000}, {14, 30_000}, {14, 1 << 40}} {
		polls, bare, beats := holdTrial(one.tasks, one.span)
		fmt.Printf("%d tasks of %d s: %.2f polls/s, %d of %d beats without a hold\n", one.tasks, one.span/1000, float64(polls)/float64(holdSpan)*1000, bare, beats)
	}
}
