package simulation

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/invariants"
)

// Unasked is the invariant that runners are ordered to start only tasks that a client
// submitted, with the payload that the client submitted.
const Unasked = "unasked"

// AgentRuns checks from outside how runners of another protocol behave: it knows what
// clients submitted and what each runner runs.
type AgentRuns struct {
	// Starts counts the attempts that started, Ends those that ended, by outcome.
	Starts int
	Ends   map[string]int
	// LastFailure is when a member of a gang last ended without success on each runner.
	LastFailure map[*AgentRunner]int64

	cluster *Cluster
	jobs    map[identifier.JobKey]*agentJob
	// succeeded are the tasks whose success the control plane acknowledged.
	succeeded map[identifier.TaskRef]bool
	// lastAttempt is the highest attempt of each task that has started.
	lastAttempt map[identifier.TaskRef]uint64
	// gangSucceededAt is when the control plane acknowledged the first success of a member
	// of each gang.
	gangSucceededAt map[gangStep]int64
	// brokenGangs are the attempts of gangs of which a member ended without success.
	brokenGangs map[gangAttempt]bool
}

// agentJob is what clients know of a job for these runners. cancelledAt is 0 for a job
// that was not cancelled.
type agentJob struct {
	payload     string
	steps       []job.Step
	cancelledAt int64
	// defectiveAttempts is how many attempts of each task fail at the end of their work.
	defectiveAttempts uint64
	// failed are the attempts of each task, or of each gang, that have ended in a defect.
	failed map[identifier.TaskRef]map[uint64]bool
}

// gangStep identifies the gang of one occurrence of a job.
type gangStep struct {
	job  identifier.JobKey
	step int
}

// gangAttempt identifies one attempt of a gang.
type gangAttempt struct {
	job     identifier.JobKey
	step    int
	attempt uint64
}

func newAgentRuns(c *Cluster) *AgentRuns {
	return &AgentRuns{
		Ends:            map[string]int{},
		LastFailure:     map[*AgentRunner]int64{},
		cluster:         c,
		jobs:            map[identifier.JobKey]*agentJob{},
		succeeded:       map[identifier.TaskRef]bool{},
		lastAttempt:     map[identifier.TaskRef]uint64{},
		gangSucceededAt: map[gangStep]int64{},
		brokenGangs:     map[gangAttempt]bool{},
	}
}

// Submitted records that a client sends a job with this payload for the first time.
func (a *AgentRuns) Submitted(key identifier.JobKey, payload string, steps []job.Step) {
	a.jobs[key] = &agentJob{payload: payload, steps: steps, failed: map[identifier.TaskRef]map[uint64]bool{}}
}

// FailFirst makes the first attempts of each task of a job fail at the end of their work.
func (a *AgentRuns) FailFirst(key identifier.JobKey, attempts uint64) {
	a.jobs[key].defectiveAttempts = attempts
}

// defective reports whether an attempt fails at the end of its work.
func (a *AgentRuns) defective(run *AgentRun) bool {
	j := a.jobs[jobOf(run.Task)]
	return j != nil && run.Attempt <= j.defectiveAttempts
}

// recordDefect records that an attempt has ended in a defect. The members of a gang count
// together, as its first member.
func (a *AgentRuns) recordDefect(run *AgentRun) {
	ref := run.Task
	if a.step(ref).Gang {
		ref.Num = 0
	}
	failed := a.jobs[jobOf(ref)].failed
	if failed[ref] == nil {
		failed[ref] = map[uint64]bool{}
	}
	failed[ref][run.Attempt] = true
}

// ShownFailed records that a job is shown as failed: one of its tasks, or gangs, must have
// failed as often as its queue allows.
func (a *AgentRuns) ShownFailed(key identifier.JobKey, allowed int) {
	for _, attempts := range a.jobs[key].failed {
		if len(attempts) >= allowed {
			return
		}
	}
	a.violate(invariants.JobStateIsTrue, "%s is shown as failed, but no task has failed %d times", key, allowed)
}

// Cancelled records that the cancellation of a job was acknowledged.
func (a *AgentRuns) Cancelled(key identifier.JobKey) {
	a.jobs[key].cancelledAt = a.cluster.Now
}

// Succeeded counts the tasks of a job whose success was acknowledged to their runners.
func (a *AgentRuns) Succeeded(key identifier.JobKey) (count int) {
	for task := range a.succeeded {
		if jobOf(task) == key {
			count++
		}
	}
	return count
}

// jobOf is the job of a task, without the occurrence that runners add.
func jobOf(task identifier.TaskRef) identifier.JobKey {
	key, _, _ := strings.Cut(string(task.Job), occurrenceSeparator)
	return identifier.JobKey(key)
}

// step is the step of a task, empty for a task that no client submitted.
func (a *AgentRuns) step(task identifier.TaskRef) job.Step {
	j := a.jobs[jobOf(task)]
	if j == nil || task.Step >= len(j.steps) {
		return job.Step{}
	}
	return j.steps[task.Step]
}

func gangOf(run *AgentRun) gangAttempt {
	return gangAttempt{run.Task.Job, run.Task.Step, run.Attempt}
}

// running lists the attempts on live runners that satisfy a condition.
func (a *AgentRuns) running(matches func(run *AgentRun) bool) (list []*AgentRun) {
	for _, one := range a.cluster.Agents {
		if !one.Runner.holds() {
			continue
		}
		for _, run := range one.Runner.runs {
			if matches(run) {
				list = append(list, run)
			}
		}
	}
	return list
}

// assembled reports whether all members of an attempt's gang are running.
func (a *AgentRuns) assembled(run *AgentRun, step job.Step) bool {
	members := a.running(func(other *AgentRun) bool { return gangOf(other) == gangOf(run) })
	return int64(len(members)) >= step.Tasks
}

// broken reports whether a member of an attempt's gang ended without success.
func (a *AgentRuns) broken(run *AgentRun) bool { return a.brokenGangs[gangOf(run)] }

// started checks every invariant that a start can violate.
func (a *AgentRuns) started(r *AgentRunner, run *AgentRun) {
	a.Starts++
	a.cluster.Logf("%s start %s attempt %d", r.Name, run.Task, run.Attempt)
	a.checkSubmitted(r, run)
	if a.succeeded[run.Task] {
		a.violate(invariants.RunsOnce, "%s starts %s, whose success was acknowledged", r.Name, run.Task)
	}
	if others := a.running(func(other *AgentRun) bool { return other.Task == run.Task }); len(others) > 0 {
		a.violate(invariants.RunsOnce, "%s starts %s, which is already running", r.Name, run.Task)
	}
	a.checkDrain(r, run)
	a.checkCapacity(r, run)
	a.checkGangAttempt(r, run)
	a.checkGangSuccess(r, run)
	a.lastAttempt[run.Task] = max(a.lastAttempt[run.Task], run.Attempt)
}

// checkDrain detects a start in a domain whose drain was acknowledged.
func (a *AgentRuns) checkDrain(r *AgentRunner, run *AgentRun) {
	since, drained := a.cluster.Checker.DrainedSince(r.Domain)
	if drained && a.cluster.Now > since+maxAgentStartAfterDrain {
		a.violate(invariants.NoStartInDrainedDomain, "%s starts %s %d ms after its domain was drained", r.Name, run.Task, a.cluster.Now-since)
	}
}

// checkCapacity detects a start that exceeds the runner's capacity.
func (a *AgentRuns) checkCapacity(r *AgentRunner, run *AgentRun) {
	used := run.Demand
	for _, other := range r.runs {
		used = used.Plus(other.Demand)
	}
	if !used.Fits(r.Capacity) {
		a.violate(invariants.PlacementFits, "%s starts %s: %+v of %+v", r.Name, run.Task, used, r.Capacity)
	}
}

// checkGangAttempt detects the start of a gang member while a member of a later attempt
// is running.
func (a *AgentRuns) checkGangAttempt(r *AgentRunner, run *AgentRun) {
	mixed := a.running(func(other *AgentRun) bool {
		return a.step(run.Task).Gang && other.Task.Job == run.Task.Job && other.Task.Step == run.Task.Step && other.Attempt > run.Attempt
	})
	if len(mixed) > 0 {
		a.violate(invariants.GangRunsTogether, "%s starts %s attempt %d while a later attempt is running", r.Name, run.Task, run.Attempt)
	}
}

// checkGangSuccess detects the start of a gang member after the success of any member was
// acknowledged, which counts for the whole gang.
func (a *AgentRuns) checkGangSuccess(r *AgentRunner, run *AgentRun) {
	ackedAt := a.gangSucceededAt[gangStep{run.Task.Job, run.Task.Step}]
	if ackedAt > 0 && a.cluster.Now > ackedAt+agentStartInFlight {
		a.violate(invariants.GangRunsTogether, "%s starts %s %d ms after the success of its gang was acknowledged", r.Name, run.Task, a.cluster.Now-ackedAt)
	}
}

// checkSubmitted detects the start of a task that no client submitted, that has another
// payload, or whose job was cancelled.
func (a *AgentRuns) checkSubmitted(r *AgentRunner, run *AgentRun) {
	j := a.jobs[jobOf(run.Task)]
	if j == nil || run.Task.Step >= len(j.steps) || int64(run.Task.Num) >= j.steps[run.Task.Step].Tasks {
		a.violate(Unasked, "%s starts %s, which no client submitted", r.Name, run.Task)
		return
	}
	if run.Payload != j.payload {
		a.violate(Unasked, "%s starts %s with payload %q, want %q", r.Name, run.Task, run.Payload, j.payload)
	}
	if j.cancelledAt > 0 && a.cluster.Now > j.cancelledAt+maxAgentStartAfterCancel {
		a.violate(Unasked, "%s starts %s %d ms after its cancellation", r.Name, run.Task, a.cluster.Now-j.cancelledAt)
	}
}

// How long after the cancellation of its job, and after the drain of its domain, a task
// may still start, and how long a start may be in flight, in ms.
const (
	maxAgentStartAfterCancel = 3000
	maxAgentStartAfterDrain  = 5000
	agentStartInFlight       = 1600
)

func (a *AgentRuns) ended(r *AgentRunner, run *AgentRun, outcome string) {
	a.Ends[outcome]++
	a.cluster.Logf("%s end %s attempt %d %s", r.Name, run.Task, run.Attempt, outcome)
	if outcome == runnerapi.OutcomeDefect {
		a.recordDefect(run)
	}
	if outcome == runnerapi.OutcomeSuccess || !a.step(run.Task).Gang {
		return
	}
	a.brokenGangs[gangOf(run)] = true
	a.LastFailure[r] = a.cluster.Now
	undisturbed := a.cluster.Undisturbed() && a.jobs[jobOf(run.Task)].cancelledAt == 0
	if outcome == runnerapi.OutcomeGangIncomplete && undisturbed {
		a.violate(invariants.GangRunsTogether, "%s timed out waiting for the gang of %s", r.Name, run.Task)
	}
}

// observed records that the control plane acknowledged the end of an attempt. No later
// attempt may have started, unless the runner's lease lapsed since the end.
func (a *AgentRuns) observed(end runnerapi.RunEnd, lapsed bool) {
	if end.Outcome != runnerapi.OutcomeSuccess {
		return
	}
	if later := a.lastAttempt[end.Task]; later > end.Attempt && !lapsed {
		a.violate(invariants.RunsOnce, "%s attempt %d started before the success of attempt %d was acknowledged", end.Task, later, end.Attempt)
	}
	a.succeeded[end.Task] = true
	gang := gangStep{end.Task.Job, end.Task.Step}
	if a.step(end.Task).Gang && a.gangSucceededAt[gang] == 0 {
		a.gangSucceededAt[gang] = a.cluster.Now
	}
}

func (a *AgentRuns) violate(invariant, text string, args ...any) {
	a.cluster.Checker.Violate(invariant, text, args...)
}
