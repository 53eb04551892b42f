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
	// maxLease is the longest lease that a fake runner accepts.
	maxLease          clock.Millis = 6000
	heartbeatInterval clock.Millis = 100
	// stopDelay is how long a fake runner takes to stop an attempt.
	stopDelay clock.Monotonic = 150
	// endReportDelay is the maximum time from an end to the next heartbeat.
	endReportDelay clock.Monotonic = 50
	// departsIn is the time until departure that a draining runner reports.
	departsIn clock.Millis = 60000
	// departureNotice is the minimum time that a runner keeps running after it leaves
	// unannounced.
	departureNotice clock.Millis = 2000
)

// fakeRunner is a runner together with its agent. Tests set the fields from capacity on.
type fakeRunner struct {
	name          string
	agent         *agent.Agent
	incarnation   int
	heartbeatSeq  uint64
	nextHeartbeat clock.Monotonic
	leaseEnd      clock.Monotonic
	runs          []*fakeRun
	// ends are the ends whose report has not been acknowledged.
	ends       []runnerapi.RunEnd
	lastEndSeq uint64

	capacity job.Demand
	// usualLease is the lease that the agent grants, 0 for maxLease.
	usualLease clock.Millis
	draining   bool
	// leaving marks a runner that has left unannounced: nothing new may start on it.
	leaving bool
	// crashed runners do nothing; stalled ones send heartbeats but make no progress.
	crashed bool
	stalled bool
	// frozenUntil is when a suspended runner resumes.
	frozenUntil clock.Monotonic
	// isolated disconnects the agent from the server.
	isolated bool
	// slowdown is the factor by which all work takes longer than expected, 0 for none.
	slowdown clock.Monotonic
}

// fakeRun is an attempt on a fake runner. stopAt is 0 until a stop is ordered.
type fakeRun struct {
	runnerapi.Start
	endsAt clock.Monotonic
	stopAt clock.Monotonic
}

// progressPercent returns the progress of the attempt.
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

// restart restarts a crashed runner as a new incarnation.
func (r *fakeRunner) restart() {
	r.crashed = false
	r.incarnation++
	r.runs = nil
	r.ends = nil
	r.lastEndSeq = 0
	r.heartbeatSeq = 0
	r.leaseEnd = 0
}

// stopHeartbeats stops the heartbeats of a runner that otherwise keeps working.
func (r *fakeRunner) stopHeartbeats() { r.nextHeartbeat = 1 << 40 }

// stepRunner performs a runner's due work: it ends attempts and sends heartbeats.
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

// outcome returns the outcome of an attempt that ends now, empty if it keeps running.
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

// heartbeat returns the runner's next heartbeat.
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

// sendHeartbeat sends a heartbeat to the runner's agent and carries out the orders in the
// response.
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

// forgetObservedEnds drops the ends that are committed, and records the successes among
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

// withOccurrence returns a task as runners name it, always with the occurrence of its
// job.
func withOccurrence(task identifier.TaskRef) identifier.TaskRef {
	if !strings.Contains(string(task.Job), ".") {
		task.Job += ".0"
	}
	return task
}

// stop orders an attempt to stop at the given time, unless a stop was already ordered.
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

// startRun starts an attempt, unless it is already running, and checks that it may start.
func (c *testCluster) startRun(runner *fakeRunner, start runnerapi.Start) {
	c.t.Helper()
	if runner.find(start.Task, start.Attempt) != nil {
		return
	}
	c.checkStart(runner, start)
	runner.runs = append(runner.runs, &fakeRun{Start: start, endsAt: c.now + clock.Monotonic(start.ExpectedRun)})
}

// checkStart reports a start that violates a guarantee: one beyond the runner's capacity,
// of a task that has succeeded or runs elsewhere, or on a draining runner.
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
