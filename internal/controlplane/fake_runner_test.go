package controlplane_test

import (
	"fmt"
	"strings"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

const (
	// maxLease is the longest lease that a fake runner takes.
	maxLease          clock.Millis = 6000
	heartbeatInterval clock.Millis = 100
	// stopDelay is how long a fake runner takes to stop an attempt.
	stopDelay clock.Monotonic = 150
	// endReportDelay is how soon after an end the next heartbeat comes.
	endReportDelay clock.Monotonic = 50
	// departsIn is how long a draining runner says it has left.
	departsIn clock.Millis = 60000
	// departureNotice is how long a runner goes on at least after an unannounced farewell.
	departureNotice clock.Millis = 2000
)

// fakeRunner is a runner and the agent that speaks for it. The fields from capacity on are
// set by tests.
type fakeRunner struct {
	name          string
	agent         *agent.Agent
	incarnation   int
	heartbeatSeq  uint64
	nextHeartbeat clock.Monotonic
	leaseEnd      clock.Monotonic
	runs          []*fakeRun
	// ends are those whose report is not acknowledged.
	ends       []runnerapi.RunEnd
	lastEndSeq uint64

	capacity job.Demand
	// usualLease is the lease that the agent gives, 0 for the longest.
	usualLease clock.Millis
	draining   bool
	// leaving runners have said farewell without notice: nothing new may start there.
	leaving bool
	// crashed runners do nothing, stalled ones send heartbeats but make no progress.
	crashed bool
	stalled bool
	// frozenUntil is until when the runner does nothing.
	frozenUntil clock.Monotonic
	// isolated cuts the agent off from the server.
	isolated bool
	// slowdown is how many times as long as expected all work takes, 0 for once.
	slowdown clock.Monotonic
}

// fakeRun is an attempt on a fake runner. stopAt is 0 until a stop is ordered.
type fakeRun struct {
	runnerapi.Start
	endsAt clock.Monotonic
	stopAt clock.Monotonic
}

// progressPercent is how far the attempt has come.
func (r *fakeRun) progressPercent(now clock.Monotonic) int64 {
	return 100 - int64(r.endsAt-now)*100/int64(r.ExpectedRun)
}

// newAgent starts the agent of a runner.
func (c *testCluster) newAgent(runner *fakeRunner) *agent.Agent {
	return agent.New(agent.Config{
		Name:              identifier.Runner(runner.name),
		Addr:              runner.name,
		Domain:            "a",
		Seeds:             []string{serverAddr},
		Seed:              int64(c.now) * 1000,
		MaxLease:          maxLease,
		UsualLease:        runner.usualLease,
		DepartureNotice:   departureNotice,
		HeartbeatInterval: heartbeatInterval,
	}, c.now)
}

// restart makes a crashed runner come back as a new incarnation.
func (r *fakeRunner) restart() {
	r.crashed = false
	r.incarnation++
	r.runs = nil
	r.ends = nil
	r.lastEndSeq = 0
	r.heartbeatSeq = 0
	r.leaseEnd = 0
}

// stopHeartbeats makes a runner go on with its work without sending heartbeats.
func (r *fakeRunner) stopHeartbeats() { r.nextHeartbeat = 1 << 40 }

// stepRunner lets a runner do what is due: attempts end, and heartbeats are sent.
func (c *testCluster) stepRunner(runner *fakeRunner) {
	if runner.crashed || c.now < runner.frozenUntil {
		return
	}
	running := runner.runs[:0]
	anyEnded := false
	for _, run := range runner.runs {
		if runner.slowdown > 0 && c.now%runner.slowdown != 0 {
			run.endsAt++
		}
		outcome := runner.outcome(run, c.now)
		if outcome == "" {
			running = append(running, run)
			continue
		}
		anyEnded = true
		if outcome == runnerapi.OutcomeLeaseLapsed {
			c.lapsedRuns++
		}
		runner.reportEnd(run, outcome)
	}
	runner.runs = running
	if anyEnded {
		runner.nextHeartbeat = min(runner.nextHeartbeat, c.now+endReportDelay)
	}
	if c.now >= runner.nextHeartbeat {
		c.sendHeartbeat(runner)
	}
}

// outcome is how an attempt ends now, empty while it runs.
func (r *fakeRunner) outcome(run *fakeRun, now clock.Monotonic) string {
	switch {
	case now > r.leaseEnd:
		return runnerapi.OutcomeLeaseLapsed
	case run.stopAt > 0 && now >= run.stopAt:
		return runnerapi.OutcomeStopped
	case !r.stalled && now >= run.endsAt:
		return runnerapi.OutcomeSuccess
	}
	return ""
}

func (r *fakeRunner) reportEnd(run *fakeRun, outcome string) {
	r.lastEndSeq++
	r.ends = append(r.ends, runnerapi.RunEnd{Seq: r.lastEndSeq, Task: run.Task, Attempt: run.Attempt, Outcome: outcome})
}

// heartbeat is the next heartbeat of the runner.
func (r *fakeRunner) heartbeat(now clock.Monotonic) agent.Heartbeat {
	r.heartbeatSeq++
	heartbeat := agent.Heartbeat{
		Runner:    identifier.Incarnation(fmt.Sprintf("%s-%d", r.name, r.incarnation)),
		Seq:       r.heartbeatSeq,
		Pool:      "x",
		Domain:    "a",
		Rack:      "r1",
		Capacity:  r.capacity,
		Draining:  r.draining,
		DepartsIn: departsIn,
		Finished:  append([]runnerapi.RunEnd(nil), r.ends...),
	}
	for _, run := range r.runs {
		progress := run.progressPercent(now)
		if r.stalled {
			progress = 0
		}
		heartbeat.Active = append(heartbeat.Active, runnerapi.RunState{Task: run.Task, Attempt: run.Attempt, ProgressPercent: progress})
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat to the runner's agent and carries out the answer.
func (c *testCluster) sendHeartbeat(runner *fakeRunner) {
	orders := runner.agent.HandleHeartbeat(runner.heartbeat(c.now), c.now)
	c.sendAgentOutput(runner)
	runner.nextHeartbeat = c.now + clock.Monotonic(orders.NextHeartbeat)
	if orders.Lease > 0 {
		runner.leaseEnd = max(runner.leaseEnd, c.now.Add(orders.Lease))
	}
	c.forgetObservedEnds(runner, orders.ObservedThrough)
	for _, stop := range orders.Stop {
		runner.stop(withOccurrence(stop.Task), stop.Attempt, c.now+stopDelay)
	}
	for _, start := range orders.Start {
		start.Task = withOccurrence(start.Task)
		c.startRun(runner, start)
	}
}

// forgetObservedEnds drops the ends that are committed, and remembers the successes among
// them.
func (c *testCluster) forgetObservedEnds(runner *fakeRunner, observedThrough uint64) {
	unobserved := runner.ends[:0]
	for _, end := range runner.ends {
		if end.Seq > observedThrough {
			unobserved = append(unobserved, end)
			continue
		}
		if end.Outcome == runnerapi.OutcomeSuccess {
			c.succeeded[end.Task.String()] = true
		}
	}
	runner.ends = unobserved
}

// withOccurrence is a task as runners name it, always with the occurrence of its job.
func withOccurrence(task identifier.TaskRef) identifier.TaskRef {
	if !strings.Contains(string(task.Job), ".") {
		task.Job += ".0"
	}
	return task
}

// stop orders an attempt to stop at a time, unless it was ordered already.
func (r *fakeRunner) stop(task identifier.TaskRef, attempt uint64, at clock.Monotonic) {
	if run := r.find(task, attempt); run != nil && run.stopAt == 0 {
		run.stopAt = at
	}
}

func (r *fakeRunner) find(task identifier.TaskRef, attempt uint64) *fakeRun {
	for _, run := range r.runs {
		if run.Task == task && run.Attempt == attempt {
			return run
		}
	}
	return nil
}

// startRun starts an attempt, unless it runs already, and checks that it may start.
func (c *testCluster) startRun(runner *fakeRunner, start runnerapi.Start) {
	c.t.Helper()
	if runner.find(start.Task, start.Attempt) != nil {
		return
	}
	c.checkStart(runner, start)
	runner.runs = append(runner.runs, &fakeRun{Start: start, endsAt: c.now + clock.Monotonic(start.ExpectedRun)})
}

// checkStart reports a start that breaks a guarantee: beyond the runner's capacity, of a
// task that has succeeded or runs elsewhere, or on a draining runner.
func (c *testCluster) checkStart(runner *fakeRunner, start runnerapi.Start) {
	c.t.Helper()
	used := start.Demand
	for _, run := range runner.runs {
		used = used.Plus(run.Demand)
	}
	task := start.Task.String()
	if !used.Fits(runner.capacity) {
		c.t.Errorf("%d: LIMIT: %s on %s: %+v of %+v", c.now, task, runner.name, used, runner.capacity)
	}
	if c.succeeded[task] {
		c.t.Errorf("%d: TWICE: %s started after its success was observed", c.now, task)
	}
	for _, other := range c.runners {
		for _, run := range other.runs {
			if run.Task == start.Task && !other.crashed {
				c.t.Errorf("%d: TWICE: %s runs on %s and started on %s", c.now, task, other.name, runner.name)
			}
		}
	}
	if runner.draining || runner.leaving {
		c.t.Errorf("%d: DRAIN: %s started on %s", c.now, task, runner.name)
	}
}
