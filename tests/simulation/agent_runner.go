package simulation

import (
	"fmt"
	"slices"
	"strings"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// AgentRunner is a runner of another protocol. It sends heartbeats to its agent, follows
// the orders in the responses, and ends its attempts once its lease has lapsed. A member
// of a gang waits until all others have started, and ends when one of them ends without
// success.
type AgentRunner struct {
	*Process
	Agent    *Agent
	Capacity job.Demand

	cluster *Cluster
	rack    identifier.Rack
	runs    []*AgentRun
	// ends are the ended attempts that the control plane has not acknowledged. A heartbeat
	// lists the first agentListedEnds of them.
	ends       []runnerapi.RunEnd
	lastEndSeq uint64
	// lapsedThrough is the sequence number of the last end before the runner's lease last
	// lapsed.
	lapsedThrough uint64
	// settled is the highest attempt of each task that has ended or was stopped here.
	settled map[identifier.TaskRef]uint64
	fence   uint64

	heartbeatSeq uint64
	// awaited is the number of the heartbeat that has no response yet, 0 for none, and
	// sentAt is when the last heartbeat was sent.
	awaited       uint64
	sentAt        clock.Monotonic
	nextHeartbeat clock.Monotonic
	leaseEnd      clock.Monotonic
}

// AgentRun is an attempt on an AgentRunner.
type AgentRun struct {
	runnerapi.Start
	startedAt clock.Monotonic
	// workingSince is when the work began, 0 while a gang waits for its members.
	workingSince clock.Monotonic
	// stopAt is when the attempt ends after a stop order, 0 without one.
	stopAt clock.Monotonic
}

// Intervals, delays and timeouts of an AgentRunner, in ms.
const (
	agentRunnerTick     clock.Millis = 10
	agentAnswerTimeout  clock.Millis = 1000
	agentStopDelay      clock.Millis = 150
	agentEndReportDelay clock.Millis = 50
	agentRetryDelay     clock.Millis = 100
	maxGangWait         clock.Millis = 3000
)

// agentListedEnds is how many ends a heartbeat lists at once: few, so that runs with few
// tasks have truncated lists too.
const agentListedEnds = 2

// completePercent is the progress of a completed attempt.
const completePercent = 100

// occurrenceSeparator separates the key of a job from the number of its occurrence, and
// firstOccurrence is the suffix of a job that does not repeat.
const (
	occurrenceSeparator = "."
	firstOccurrence     = ".0"
)

// Start starts the runner as a new incarnation that runs nothing.
func (r *AgentRunner) Start() {
	r.begin(r.cluster.Now)
	r.runs, r.ends = nil, nil
	r.settled = map[identifier.TaskRef]uint64{}
	r.lastEndSeq, r.lapsedThrough, r.heartbeatSeq, r.awaited, r.fence = 0, 0, 0, 0, 0
	r.sentAt, r.nextHeartbeat, r.leaseEnd = 0, 0, 0
	r.cluster.tickWhileUp(r.Process, agentRunnerTick, r.tick)
}

// repair resumes or restarts the processes of the agent and its runner.
func (a *Agent) repair() {
	a.cluster.Resume(a.Process)
	a.cluster.Resume(a.Runner.Process)
	if !a.Up {
		a.Start()
	}
	if !a.Runner.Up {
		a.Runner.Start()
	}
}

// Crash ends the runner and all its attempts at once.
func (r *AgentRunner) Crash() {
	r.cluster.Kill(r.Process)
	r.runs = nil
}

// Runs returns the attempts that are running.
func (r *AgentRunner) Runs() []*AgentRun { return r.runs }

func (r *AgentRunner) now() clock.Monotonic { return r.cluster.Monotonic(r.Process) }

func (r *AgentRunner) tick() {
	r.endRuns()
	now := r.now()
	if r.awaited != 0 && now.Since(r.sentAt) > agentAnswerTimeout {
		r.awaited = 0
		r.nextHeartbeat = now.Add(agentRetryDelay)
	}
	if r.awaited == 0 && now >= r.nextHeartbeat {
		r.sendHeartbeat()
	}
}

// endRuns ends the attempts that have an outcome.
func (r *AgentRunner) endRuns() {
	now := r.now()
	if now > r.leaseEnd {
		r.lapsedThrough = r.lastEndSeq
	}
	running := r.runs[:0:0]
	for _, run := range r.runs {
		outcome := r.outcome(run, now)
		if outcome == "" {
			running = append(running, run)
			continue
		}
		r.reportEnd(run.Task, run.Attempt, outcome)
		r.cluster.AgentRuns.ended(r, run, outcome)
	}
	r.runs = running
}

// outcome is the outcome with which an attempt ends now, empty if it continues.
func (r *AgentRunner) outcome(run *AgentRun, now clock.Monotonic) string {
	step := r.cluster.AgentRuns.step(run.Task)
	switch {
	case now > r.leaseEnd:
		return runnerapi.OutcomeLeaseLapsed
	case run.stopAt > 0 && now >= run.stopAt:
		return runnerapi.OutcomeStopped
	case run.worked(now) && r.cluster.AgentRuns.defective(run):
		return runnerapi.OutcomeDefect
	case step.Gang && r.cluster.AgentRuns.broken(run):
		return runnerapi.OutcomeGangBroken
	case run.workingSince == 0 && step.Gang && !r.cluster.AgentRuns.assembled(run, step):
		if now.Since(run.startedAt) > maxGangWait {
			return runnerapi.OutcomeGangIncomplete
		}
		return ""
	case run.workingSince == 0:
		run.workingSince = now
	case run.worked(now):
		return runnerapi.OutcomeSuccess
	}
	return ""
}

// worked reports whether the work of an attempt is complete.
func (run *AgentRun) worked(now clock.Monotonic) bool {
	return run.workingSince > 0 && now.Since(run.workingSince) >= run.ExpectedRun
}

func (r *AgentRunner) reportEnd(task identifier.TaskRef, attempt uint64, outcome string) {
	r.lastEndSeq++
	r.ends = append(r.ends, runnerapi.RunEnd{Seq: r.lastEndSeq, Task: task, Attempt: attempt, Outcome: outcome})
	r.settled[task] = max(r.settled[task], attempt)
	r.nextHeartbeat = min(r.nextHeartbeat, r.now().Add(agentEndReportDelay))
}

func (r *AgentRunner) sendHeartbeat() {
	r.heartbeatSeq++
	r.awaited = r.heartbeatSeq
	r.sentAt = r.now()
	heartbeat := r.heartbeat()
	r.cluster.transmit(r.Process, r.Agent.Process, func() { r.Agent.handleHeartbeat(heartbeat) })
}

func (r *AgentRunner) heartbeat() agent.Heartbeat {
	heartbeat := agent.Heartbeat{
		Runner:   identifier.Incarnation(fmt.Sprintf("%s-%d", r.Name, r.Incarnation)),
		Seq:      r.heartbeatSeq,
		Pool:     AgentPool,
		Domain:   identifier.Domain(r.Domain),
		Rack:     r.rack,
		Capacity: r.Capacity,
	}
	listed := min(len(r.ends), agentListedEnds)
	heartbeat.Finished = slices.Clone(r.ends[:listed])
	heartbeat.EndsTruncated = listed == agentListedEnds
	for _, run := range r.runs {
		heartbeat.Active = append(heartbeat.Active, runnerapi.RunState{Task: run.Task, Attempt: run.Attempt, ProgressPercent: run.percent(r.now())})
	}
	return heartbeat
}

// percent is the progress of an attempt.
func (run *AgentRun) percent(now clock.Monotonic) int64 {
	if run.workingSince == 0 {
		return 0
	}
	return min(completePercent, int64(now.Since(run.workingSince)*completePercent/max(1, run.ExpectedRun)))
}

// handleOrders follows the orders in the response to a heartbeat, unless the response is
// late or comes from a superseded agent process.
func (r *AgentRunner) handleOrders(seq uint64, orders agent.Orders) {
	now := r.now()
	if seq != r.awaited || now.Since(r.sentAt) > agentAnswerTimeout {
		return
	}
	r.awaited = 0
	r.nextHeartbeat = r.sentAt.Add(orders.NextHeartbeat)
	r.endRuns()
	if orders.FencingToken < r.fence {
		return
	}
	r.fence = orders.FencingToken
	r.forgetObservedEnds(orders.ObservedThrough)
	for _, stop := range orders.Stop {
		r.stop(withOccurrence(stop.Task), stop.Attempt)
	}
	if orders.Lease == 0 {
		return
	}
	r.leaseEnd = max(r.leaseEnd, r.sentAt.Add(orders.Lease))
	for _, start := range orders.Start {
		start.Task = withOccurrence(start.Task)
		r.startRun(start)
	}
}

// forgetObservedEnds drops the ends that the control plane has acknowledged.
func (r *AgentRunner) forgetObservedEnds(observedThrough uint64) {
	unobserved := r.ends[:0:0]
	for _, end := range r.ends {
		if end.Seq > observedThrough {
			unobserved = append(unobserved, end)
			continue
		}
		r.cluster.AgentRuns.observed(end, end.Seq <= r.lapsedThrough)
	}
	r.ends = unobserved
}

// Adopt makes the runner run an attempt that the control plane did not order, such as
// one that a previous control plane started.
func (r *AgentRunner) Adopt(start runnerapi.Start) {
	r.runs = append(r.runs, &AgentRun{Start: start, startedAt: r.now()})
}

// holds reports whether attempts may still run on the runner: it is up and its lease has
// not lapsed.
func (r *AgentRunner) holds() bool { return r.Up && r.now() <= r.leaseEnd }

// withOccurrence returns a task as runners name it: its job always has an occurrence.
func withOccurrence(task identifier.TaskRef) identifier.TaskRef {
	if !strings.Contains(string(task.Job), occurrenceSeparator) {
		task.Job += firstOccurrence
	}
	return task
}

func (r *AgentRunner) stop(task identifier.TaskRef, attempt uint64) {
	r.settled[task] = max(r.settled[task], attempt)
	for _, run := range r.runs {
		if run.Task == task && run.Attempt <= attempt && run.stopAt == 0 {
			run.stopAt = r.now().Add(agentStopDelay)
		}
	}
}

// startRun starts an attempt, unless it runs already. An attempt that is not above the
// task's highest ended or stopped attempt is rejected.
func (r *AgentRunner) startRun(start runnerapi.Start) {
	for _, run := range r.runs {
		if run.Task == start.Task && run.Attempt == start.Attempt {
			return
		}
	}
	if start.Attempt <= r.settled[start.Task] {
		r.reportEnd(start.Task, start.Attempt, runnerapi.OutcomeRejected)
		return
	}
	run := &AgentRun{Start: start, startedAt: r.now()}
	r.cluster.AgentRuns.started(r, run)
	r.runs = append(r.runs, run)
}
