// Package invariants is the observer. It believes only what runners do and what
// callers and operators were told, and holds it against the promises. The
// simulator and the drill judge by the same one.
package invariants

import (
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/runner"
)

// RunnerView is a runner as it stands at this moment. Live is false for one that
// is dead or frozen: nothing runs there.
type RunnerView struct {
	Domain      string
	Incarnation int
	Live        bool
	Labels      []identifier.Label
	Capacity    job.Demand
}

// Cluster is what is watched. Quiet says that nothing has been wrong for a
// while, Calm that nothing is meant to go wrong at all.
type Cluster interface {
	Time() int64
	Runner(runner string) RunnerView
	Quiet() bool
	Undisturbed() bool
	Logf(text string, args ...any)
}

// Checker checks the invariants of a simulated cluster from outside: it is told
// what runners do and what clients are answered, and notes every breach. Counts
// are events by kind, "breach" and a kind for those that must not happen. Spans
// are durations by name, in milliseconds.
type Checker struct {
	w          Cluster
	Jobs       map[identifier.JobKey]*Job
	tasks      map[identifier.TaskRef]*taskSeen
	leaving    map[string]int64
	closed     map[string]int64
	ended      map[string]map[identifier.LeaseID]runner.Event
	used       map[string]job.Demand
	gangs      map[[2]any]int64
	Violations []string
	Counts     map[string]int
	kinds      map[string]bool
	bad        map[identifier.TaskRef]int
	heard      map[string]int64
	unseen     bool
	// Spans measured on the way, in ms.
	Spans map[string][]int64
}

// Job is what callers know of a job. Start is the true time of its appointed
// start, if it has one; Asked tells that a cancel was sent.
type Job struct {
	Spec        job.Spec
	SubmittedAt int64
	AckedAt     int64
	CancelledAt int64
	CancelSent  bool
	StartAt     int64
	EndState    string
	begun       bool
}

// taskSeen is what was seen of a task on runners.
type taskSeen struct {
	on      map[string]spot
	well    int64
	wellOn  string
	wellUp  int
	told    int64
	defects int
	lastBad int64
}

// spot is an attempt running somewhere.
type spot struct {
	grant identifier.LeaseID
	since int64
}

// New makes a checker that has seen nothing yet.
func New(w Cluster) *Checker {
	return &Checker{w: w, Jobs: map[identifier.JobKey]*Job{}, tasks: map[identifier.TaskRef]*taskSeen{}, leaving: map[string]int64{}, closed: map[string]int64{},
		ended: map[string]map[identifier.LeaseID]runner.Event{}, used: map[string]job.Demand{}, gangs: map[[2]any]int64{}, Counts: map[string]int{}, kinds: map[string]bool{}, bad: map[identifier.TaskRef]int{}, heard: map[string]int64{}, Spans: map[string][]int64{}}
}

// Violate notes a violated invariant. All are counted; only the first of a kind
// is written down, so that the list stays readable.
func (x *Checker) Violate(kind, text string, args ...any) {
	x.Counts["breach "+kind]++
	if x.kinds[kind] {
		return
	}
	x.kinds[kind] = true
	line := fmt.Sprintf("%s at %d: ", kind, x.w.Time()) + fmt.Sprintf(text, args...)
	x.Violations = append(x.Violations, line)
	x.w.Logf("BREACH %s", line)
}

// Span records a measured duration in milliseconds.
func (x *Checker) Span(name string, ms int64) { x.Spans[name] = append(x.Spans[name], ms) }

func (x *Checker) task(r identifier.TaskRef) *taskSeen {
	t := x.tasks[r]
	if t == nil {
		t = &taskSeen{on: map[string]spot{}}
		x.tasks[r] = t
	}
	return t
}

// RunnerStaying says that a runner no longer means to leave.
func (x *Checker) RunnerStaying(name string) { delete(x.leaving, name) }

// RunnerLeaving says that the core has answered a runner that it is leaving.
func (x *Checker) RunnerLeaving(name string) {
	if _, ok := x.leaving[name]; !ok {
		x.Counts["leaving"]++
		x.leaving[name] = x.w.Time()
	}
}

// DrainAcked says that a zone's closing was acknowledged, Opens that its reopening
// was asked for.
func (x *Checker) DrainAcked(zone string) {
	if _, ok := x.closed[zone]; !ok {
		x.Counts["closed"]++
		x.closed[zone] = x.w.Time()
	}
}

// DrainedSince tells since when a zone is known to be closed.
func (x *Checker) DrainedSince(zone string) (at int64, ok bool) {
	at, ok = x.closed[zone]
	return at, ok
}

// ReopenRequested hears that the reopening of a zone was asked for, which ends the checks
// of its drain.
func (x *Checker) ReopenRequested(zone string) { delete(x.closed, zone) }

// grace is how long an order already in flight may still arrive.
const grace = 1600

// RunnerEvent hears what happened to an attempt on a runner.
func (x *Checker) RunnerEvent(name string, e runner.Event) {
	x.Counts["event "+e.Kind]++
	x.w.Logf("%s %s grant %d %s", name, e.Kind, e.Lease, e.Task)
	switch e.Kind {
	case runner.EventStart:
		x.started(name, e)
		return
	case runner.EventAcked:
		x.acked(name, e.Lease)
		return
	}
	t := x.task(e.Task)
	delete(t.on, name)
	x.used[name] = x.used[name].Minus(e.Demand)
	if x.ended[name] == nil {
		x.ended[name] = map[identifier.LeaseID]runner.Event{}
	}
	x.ended[name][e.Lease] = e
	if e.Kind == "defect" {
		x.bad[e.Task]++
	}
	if e.Kind == "well" {
		t.well, t.wellOn, t.wellUp = x.w.Time(), name, x.w.Runner(name).Incarnation
	}
	if j := x.Jobs[e.Task.Job]; j != nil && j.CancelledAt > 0 && e.Kind == "stopped" {
		x.Span("cancelled lives on", x.w.Time()-j.CancelledAt)
		if x.w.Quiet() {
			x.Span("cancel to gone", x.w.Time()-j.CancelledAt)
		}
	}
}

func (x *Checker) started(name string, e runner.Event) {
	t, now, at := x.task(e.Task), x.w.Time(), x.w.Runner(name)
	j := x.Jobs[e.Task.Job]
	if j == nil {
		x.Violate("unknown", "%s started %s which nobody handed in", name, e.Task)
		return
	}
	st := j.Spec.Steps[e.Task.Step]
	if !j.begun && j.AckedAt > 0 && j.StartAt == 0 {
		x.Span("admission to start", now-j.AckedAt)
	}
	j.begun = true
	for _, other := range sortedKeys(t.on) {
		if x.w.Runner(other).Live {
			x.Violate("P3", "%s started on %s while it runs on %s", e.Task, name, other)
		}
	}
	if t.told > 0 && now > t.told+grace {
		x.Violate("P3", "%s started again %d ms after its end was acknowledged", e.Task, now-t.told)
	}
	if t.well > 0 && t.told == 0 {
		if now < x.heard[t.wellOn]+10000 && x.w.Runner(t.wellOn).Incarnation == t.wellUp {
			x.Violate("P3", "%s started again %d ms after ending well on %s, which is in touch", e.Task, now-t.well, t.wellOn)
		}
		x.Counts["undecided rerun"]++
	}
	x.order(j, e)
	if t.defects >= int(st.MaxDefects) && now > t.lastBad+grace {
		x.Violate("P5", "%s started after %d acknowledged defects of %d allowed", e.Task, t.defects, st.MaxDefects)
	}
	if j.CancelledAt > 0 {
		x.since("P6", "cancel", "its cancel was acknowledged", name, e, j.CancelledAt, 3000)
	}
	if since, ok := x.leaving[name]; ok {
		x.since("P1", "leaving", "its leaving was known", name, e, since, 2000)
	}
	if since, ok := x.closed[at.Domain]; ok {
		x.since("P2", "closing", "its zone's closing was acknowledged", name, e, since, 5000)
	}
	if !covers(at.Labels, st.Labels) {
		x.Violate("P7", "%s started on %s which lacks a label", e.Task, name)
	}
	x.used[name] = x.used[name].Plus(st.Demand)
	if u := x.used[name]; u.Cores > at.Capacity.Cores || u.Mem > at.Capacity.Mem {
		x.Violate("P7", "%s pushes %s past its room", e.Task, name)
	}
	t.on[name] = spot{e.Lease, now}
}

// since measures a start against the moment from which, a little later, there
// must be none.
func (x *Checker) since(kind, what, why, name string, e runner.Event, at, most int64) {
	gone := x.w.Time() - at
	x.Span("start after "+what, gone)
	if gone > most {
		x.Violate(kind, "%s started on %s %d ms after %s", e.Task, name, gone, why)
	}
}

// covers is the observer's own look at labels: it shares no judgement with
// what it judges.
func covers(have, need []identifier.Label) bool {
	set := map[identifier.Label]bool{}
	for _, l := range have {
		set[l] = true
	}
	for _, l := range need {
		if !set[l] {
			return false
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// order holds a start against the job's steps and its appointed time.
func (x *Checker) order(j *Job, e runner.Event) {
	for _, name := range j.Spec.Steps[e.Task.Step].After {
		for i, st := range j.Spec.Steps {
			for n := 0; st.Name == name && n < int(st.Tasks); n++ {
				if t := x.tasks[identifier.TaskRef{Job: e.Task.Job, Step: i, Num: n}]; t == nil || t.well == 0 {
					if x.unseen {
						x.Counts["unseen ends"]++
						continue
					}
					x.Violate("P4", "%s started before step %s ended well", e.Task, name)
				}
			}
		}
	}
	if x.w.Time() < j.StartAt-1000 {
		x.Violate("P4", "%s started %d ms before its appointed time", e.Task, j.StartAt-x.w.Time())
	}
}

// PollAnswered says that a poll of the runner was answered.
func (x *Checker) PollAnswered(name string) { x.heard[name] = x.w.Time() }

// acked hears that the core acknowledged an end.
func (x *Checker) acked(name string, id identifier.LeaseID) {
	e, ok := x.ended[name][id]
	if !ok {
		return
	}
	delete(x.ended[name], id)
	t := x.task(e.Task)
	switch e.Kind {
	case "well":
		t.told = x.w.Time()
	case "defect":
		t.defects++
		t.lastBad = x.w.Time()
	}
}

// RunnerLogLost says that a runner died with the last of its journal unread: from then
// on an end that was never seen is counted, and is no breach.
func (x *Checker) RunnerLogLost(name string) {
	x.unseen = true
	x.RunnerDead(name)
}

// RunnerDead forgets what ran on a runner that is no more.
func (x *Checker) RunnerDead(name string) {
	for _, t := range x.tasks {
		delete(t.on, name)
	}
	delete(x.ended, name)
	delete(x.leaving, name)
	x.used[name] = job.Demand{}
}

// running counts live attempts of a job.
func (x *Checker) running(key identifier.JobKey, j *Job) string {
	for i, st := range j.Spec.Steps {
		for n := 0; n < int(st.Tasks); n++ {
			t := x.tasks[identifier.TaskRef{Job: key, Step: i, Num: n}]
			if t == nil {
				continue
			}
			for _, on := range sortedKeys(t.on) {
				if x.w.Runner(on).Live {
					return on
				}
			}
		}
	}
	return ""
}

// JobStateReported hears a caller being told of a job's state.
func (x *Checker) JobStateReported(key identifier.JobKey, status int, word string) {
	j := x.Jobs[key]
	if status == 404 {
		x.Violate("P9", "accepted job %s is not known", key)
		return
	}
	if word != "well" && word != "failed" && word != "cancelled" {
		if j.EndState != "" {
			x.Violate("P9", "job %s was %s and is now %s", key, j.EndState, word)
		}
		return
	}
	if j.EndState != "" && j.EndState != word {
		x.Violate("P9", "job %s was %s and is now %s", key, j.EndState, word)
	}
	j.EndState = word
	if on := x.running(key, j); on != "" {
		x.Violate("P9", "job %s is said to be %s while a task of it runs on %s", key, word, on)
	}
	if word == "cancelled" && !j.CancelSent {
		x.Violate("P9", "job %s is cancelled and nobody asked", key)
	}
	if word == "failed" {
		x.cause(key, j)
	}
}

// cause wants a task that used up its defects for a job said to have failed.
func (x *Checker) cause(key identifier.JobKey, j *Job) {
	for i, st := range j.Spec.Steps {
		for n := 0; n < int(st.Tasks); n++ {
			if x.bad[identifier.TaskRef{Job: key, Step: i, Num: n}] >= int(st.MaxDefects) {
				return
			}
		}
	}
	if x.unseen {
		x.Counts["unseen ends"]++
		return
	}
	x.Violate("P9", "job %s failed without a task using up its defects", key)
}

// MaxCancelledRun is how long a cancelled task may live on whatever else fails: a
// runner out of reach ends it by its own clock when its grant is over.
const MaxCancelledRun = 10500

// Sweep looks at what lasts: gangs in part, cancelled tasks living on.
func (x *Checker) Sweep() {
	for key, j := range x.Jobs {
		if j.EndState != "" && x.w.Time()-j.CancelledAt > 2000 {
			continue
		}
		age := x.w.Time() - j.CancelledAt
		if j.CancelledAt > 0 && (age > MaxCancelledRun || x.w.Quiet() && age > 1000 && age < 1500) {
			if on := x.running(key, j); on != "" {
				x.Violate("P6", "%s still runs on %s %d ms after its cancel", key, on, age)
			}
		}
		for i, st := range j.Spec.Steps {
			if st.Gang && j.EndState == "" {
				x.gang(key, i, st)
			}
		}
	}
	for ref, t := range x.tasks {
		if len(t.on) < 2 {
			continue
		}
		n := 0
		for on := range t.on {
			if x.w.Runner(on).Live {
				n++
			}
		}
		if n > 1 {
			x.Violate("P3", "%s runs on %d runners at once", ref, n)
		}
	}
}

// MaxIncompleteGang is how long a gang may go on in part whatever else fails: seven
// tenths of a grant since a member last had word, a poll and a half by which
// that word may have been late, and the observer's own pace.
const MaxIncompleteGang = 8700

func (x *Checker) gang(key identifier.JobKey, step int, st job.Step) {
	run, rest := 0, 0
	for n := 0; n < int(st.Tasks); n++ {
		t := x.tasks[identifier.TaskRef{Job: key, Step: step, Num: n}]
		live := false
		if t != nil {
			for on := range t.on {
				live = live || x.w.Runner(on).Live
			}
		}
		switch {
		case live:
			run++
		case t == nil || t.well == 0:
			rest++
		}
	}
	at := [2]any{key, step}
	if run == 0 || rest == 0 {
		if since := x.gangs[at]; since != 0 {
			x.Span("gang in part", x.w.Time()-since)
		}
		delete(x.gangs, at)
		return
	}
	if x.gangs[at] == 0 {
		x.gangs[at] = x.w.Time()
	}
	limit := int64(MaxIncompleteGang)
	if x.w.Undisturbed() {
		limit = 4500
	}
	if x.w.Time()-x.gangs[at] > limit {
		x.Violate("P8", "%s step %d has run in part for %d ms: %d run, %d do not", key, step, x.w.Time()-x.gangs[at], run, rest)
	}
}

// Done tells whether every job handed in was accepted and is known to be over.
func (x *Checker) Done() bool {
	for _, j := range x.Jobs {
		if j.AckedAt == 0 || j.EndState == "" {
			return false
		}
	}
	return true
}

// Finish judges what must have come about by the end.
func (x *Checker) Finish() []identifier.JobKey {
	var stuck []identifier.JobKey
	keys := []identifier.JobKey{}
	for k := range x.Jobs {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	silent := 0
	for _, k := range keys {
		j := x.Jobs[k]
		switch {
		case j.AckedAt == 0:
			silent++
		case j.EndState == "":
			if stuck = append(stuck, k); len(stuck) == 1 {
				x.Violate("stuck", "job %s was accepted at %d and has not ended (cancelled at %d, start %d)", k, j.AckedAt, j.CancelledAt, j.StartAt)
			}
		default:
			x.Counts["ended "+j.EndState]++
		}
	}
	if silent > 0 {
		x.Violate("silent", "%d jobs were never accepted", silent)
	}
	x.Counts["stuck"] = len(stuck)
	return stuck
}
