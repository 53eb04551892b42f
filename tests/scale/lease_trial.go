package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	leaseTrialTime   clock.Monotonic = 100_000
	leaseTrialWarmUp clock.Monotonic = 10_000
	trialLease       clock.Millis    = 6000
	pollHoldTime     clock.Millis    = 600
)

// stubLeader responds to every poll as the leader does, and loses none: it responds to a
// poll when a later one replaces it, or else after pollHoldTime.
type stubLeader struct {
	agent    *agent.Agent
	openPoll uint64
	openedAt clock.Monotonic
	polls    int
}

func (s *stubLeader) answer(id uint64, now clock.Monotonic) {
	text, err := json.Marshal(runnerapi.PollResponse{Lease: trialLease, StartTimeout: 1000})
	if err != nil {
		panic("scale: encode response: " + err.Error())
	}
	s.agent.HandleMessage("k", wire.Message{Response: &wire.Response{ID: id, Status: http.StatusOK, Body: text}}, now)
}

// step responds to the open poll if that is due, and receives the polls that the agent sends.
func (s *stubLeader) step(now clock.Monotonic) {
	if s.openPoll != 0 && now.Since(s.openedAt) >= pollHoldTime {
		id := s.openPoll
		s.openPoll = 0
		s.answer(id, now)
	}
	for list := s.agent.TakeOutput().Messages; len(list) > 0; list = s.agent.TakeOutput().Messages {
		for _, x := range list {
			if x.Message.Request == nil {
				continue
			}
			replaced := s.openPoll
			s.openPoll = x.Message.Request.ID
			s.openedAt = now
			s.polls++
			if replaced != 0 {
				s.answer(replaced, now)
			}
		}
	}
}

// leaseTrial runs an agent in virtual time. Its runner runs the given number of tasks,
// whose spans differ slightly and whose starts are staggered. leaseTrial counts the polls,
// the heartbeats after the warm-up, and those of them whose response had no lease, of which
// there should be none.
func leaseTrial(tasks int, span clock.Millis) (polls, withoutLease, heartbeats int) {
	runner := &standInRunner{incarnation: "a", domain: "n", rack: "r", leaseEnd: 1 << 40}
	leader := &stubLeader{agent: agent.New(agent.Config{
		Name:              "a",
		Addr:              "x",
		Domain:            "n",
		Seeds:             []string{"k"},
		Seed:              1,
		MaxLease:          maxLease,
		HeartbeatInterval: heartbeatInterval,
	}, 0)}
	for i := range tasks {
		runner.runs = append(runner.runs, &taskRun{
			task:      identifier.TaskRef{Job: "q/00000000000000a1.0", Num: i},
			attempt:   1,
			span:      span + clock.Millis(i)*span/97,
			startedAt: clock.Monotonic(-217 * i),
		})
	}
	for now := clock.Monotonic(0); now < leaseTrialTime; now += clock.Monotonic(agent.TickInterval) {
		leader.agent.Tick(now)
		if runner.advance(now) {
			o := leader.agent.HandleHeartbeat(runner.heartbeat(now), now)
			runner.applyOrders(o, now, now)
			if now > leaseTrialWarmUp {
				heartbeats++
				if o.Lease == 0 {
					withoutLease++
				}
			}
		}
		leader.step(now)
	}
	return leader.polls, withoutLease, heartbeats
}

// runLeaseTrials prints the results of leaseTrial for several task counts and spans.
func runLeaseTrials() {
	for _, one := range []struct {
		tasks int
		span  clock.Millis
	}{
		{1, 117_000},
		{5, 117_000},
		{14, 117_000},
		{14, 300_000},
		{24, 3_000_000},
		{14, 30_000},
		{14, 1 << 40},
	} {
		polls, withoutLease, heartbeats := leaseTrial(one.tasks, one.span)
		pollsPerSecond := float64(polls) / float64(leaseTrialTime) * 1000
		fmt.Printf("%d tasks of %d s: %.2f polls/s, ", one.tasks, one.span/1000, pollsPerSecond)
		fmt.Printf("%d of %d heartbeats without a lease\n", withoutLease, heartbeats)
	}
}
