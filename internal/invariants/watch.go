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

// Place is a runner as it stands at this moment. Live is false for one that
// is dead or frozen: nothing runs there.
type Place struct {
	Zone   string
	Life   int
	Live   bool
	Labels []identifier.Label
	Cap    job.Demand
}

// World is what is watched. Quiet says that nothing has been wrong for a
// while, Calm that nothing is meant to go wrong at all.
type World interface {
	Time() int64
	Place(runner string) Place
	Quiet() bool
	Calm() bool
	Note(text string, args ...any)
}

// Watch checks the invariants of a simulated cluster from outside: it is told
// what runners do and what clients are answered, and notes every breach. Counts
// are events by kind, "breach" and a kind for those that must not happen. Spans
// are durations by name, in milliseconds.
type Watch struct {
	w        World
	Jobs     map[identifier.JobKey]*Job
	tasks    map[identifier.TaskRef]*taskSeen
	leaving  map[string]int64
	closed   map[string]int64
	ended    map[string]map[identifier.LeaseID]runner.Event
	used     map[string]job.Demand
	gangs    map[[2]any]int64
	Breaches []string
	Counts   map[string]int
	kinds    map[string]bool
	bad      map[identifier.TaskRef]int
	heard    map[string]int64
	unseen   bool
	// Spans measured on the way, in ms.
	Spans map[string][]int64
}

// Job is what callers know of a job. Start is the true time of its appointed
// start, if it has one; Asked tells that a cancel was sent.
type Job struct {
	Spec      job.Spec
	Handed    int64
	Acked     int64
	Cancelled int64
	Asked     bool
	Start     int64
	Over      string
	begun     bool
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
func New(w World) *Watch {
	return &Watch{w: w, Jobs: map[identifier.JobKey]*Job{}, tasks: map[identifier.TaskRef]*taskSeen{}, leaving: map[string]int64{}, closed: map[string]int64{},
		ended: map[string]map[identifier.LeaseID]runner.Event{}, used: map[string]job.Demand{}, gangs: map[[2]any]int64{}, Counts: map[string]int{}, kinds: map[string]bool{}, bad: map[identifier.TaskRef]int{}, heard: map[string]int64{}, Spans: map[string][]int64{}}
}

// Breach notes a violated invariant. All are counted; only the first of a kind
// is written down, so that the list stays readable.
func (x *Watch) Breach(kind, text string, args ...any) {
	x.Counts["breach "+kind]++
	if x.kinds[kind] {
		return
	}
	x.kinds[kind] = true
	line := fmt.Sprintf("%s at %d: ", kind, x.w.Time()) + fmt.Sprintf(text, args...)
	x.Breaches = append(x.Breaches, line)
	x.w.Note("BREACH %s", line)
}

// Span records a measured duration in milliseconds.
func (x *Watch) Span(name string, ms int64) { x.Spans[name] = append(x.Spans[name], ms) }

func (x *Watch) task(r identifier.TaskRef) *taskSeen {
	t := x.tasks[r]
	if t == nil {
		t = &taskSeen{on: map[string]spot{}}
		x.tasks[r] = t
	}
	return t
}

// Stays says that a runner no longer means to leave.
func (x *Watch) Stays(name string) { delete(x.leaving, name) }

// Leaves says that the core has answered a runner that it is leaving.
func (x *Watch) Leaves(name string) {
	if _, ok := x.leaving[name]; !ok {
		x.Counts["leaving"]++
		x.leaving[name] = x.w.Time()
	}
}

// Shut says that a zone's closing was acknowledged, Opens that its reopening
// was asked for.
func (x *Watch) Shut(zone string) {
	if _, ok := x.closed[zone]; !ok {
		x.Counts["closed"]++
		x.closed[zone] = x.w.Time()
	}
}

// Closed tells since when a zone is known to be closed.
func (x *Watch) Closed(zone string) (at int64, ok bool) {
	at, ok = x.closed[zone]
	return at, ok
}

// Opens hears that the reopening of a zone was asked for, which ends the checks
// of its drain.
func (x *Watch) Opens(zone string) { delete(x.closed, zone) }

// grace is how long an order already in flight may still arrive.
const grace = 1600

// Runner hears what happened to an attempt on a runner.
func (x *Watch) Runner(name string, e runner.Event) {
	x.Counts["event "+e.What]++
	x.w.Note("%s %s grant %d %s", name, e.What, e.Grant, e.Task)
	switch e.What {
	case "start":
		x.started(name, e)
		return
	case "acked":
		x.acked(name, e.Grant)
		return
	}
	t := x.task(e.Task)
	delete(t.on, name)
	x.used[name] = x.used[name].Minus(e.Cost)
	if x.ended[name] == nil {
		x.ended[name] = map[identifier.LeaseID]runner.Event{}
	}
	x.ended[name][e.Grant] = e
	if e.What == "defect" {
		x.bad[e.Task]++
	}
	if e.What == "well" {
		t.well, t.wellOn, t.wellUp = x.w.Time(), name, x.w.Place(name).Life
	}
	if j := x.Jobs[e.Task.Job]; j != nil && j.Cancelled > 0 && e.What == "stopped" {
		x.Span("cancelled lives on", x.w.Time()-j.Cancelled)
		if x.w.Quiet() {
			x.Span("cancel to gone", x.w.Time()-j.Cancelled)
		}
	}
}

func (x *Watch) started(name string, e runner.Event) {
	t, now, at := x.task(e.Task), x.w.Time(), x.w.Place(name)
	j := x.Jobs[e.Task.Job]
	if j == nil {
		x.Breach("unknown", "%s started %s which nobody handed in", name, e.Task)
		return
	}
	st := j.Spec.Steps[e.Task.Step]
	if !j.begun && j.Acked > 0 && j.Start == 0 {
		x.Span("admission to start", now-j.Acked)
	}
	j.begun = true
	for _, other := range sortedKeys(t.on) {
		if x.w.Place(other).Live {
			x.Breach("P3", "%s started on %s while it runs on %s", e.Task, name, other)
		}
	}
	if t.told > 0 && now > t.told+grace {
		x.Breach("P3", "%s started again %d ms after its end was acknowledged", e.Task, now-t.told)
	}
	if t.well > 0 && t.told == 0 {
		if now < x.heard[t.wellOn]+10000 && x.w.Place(t.wellOn).Life == t.wellUp {
			x.Breach("P3", "%s started again %d ms after ending well on %s, which is in touch", e.Task, now-t.well, t.wellOn)
		}
		x.Counts["undecided rerun"]++
	}
	x.order(j, e)
	if t.defects >= int(st.Defects) && now > t.lastBad+grace {
		x.Breach("P5", "%s started after %d acknowledged defects of %d allowed", e.Task, t.defects, st.Defects)
	}
	if j.Cancelled > 0 {
		x.since("P6", "cancel", "its cancel was acknowledged", name, e, j.Cancelled, 3000)
	}
	if since, ok := x.leaving[name]; ok {
		x.since("P1", "leaving", "its leaving was known", name, e, since, 2000)
	}
	if since, ok := x.closed[at.Zone]; ok {
		x.since("P2", "closing", "its zone's closing was acknowledged", name, e, since, 5000)
	}
	if !covers(at.Labels, st.Labels) {
		x.Breach("P7", "%s started on %s which lacks a label", e.Task, name)
	}
	x.used[name] = x.used[name].Plus(st.Demand)
	if u := x.used[name]; u.Cores > at.Cap.Cores || u.Mem > at.Cap.Mem {
		x.Breach("P7", "%s pushes %s past its room", e.Task, name)
	}
	t.on[name] = spot{e.Grant, now}
}

// since measures a start against the moment from which, a little later, there
// must be none.
func (x *Watch) since(kind, what, why, name string, e runner.Event, at, most int64) {
	gone := x.w.Time() - at
	x.Span("start after "+what, gone)
	if gone > most {
		x.Breach(kind, "%s started on %s %d ms after %s", e.Task, name, gone, why)
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
func (x *Watch) order(j *Job, e runner.Event) {
	for _, name := range j.Spec.Steps[e.Task.Step].After {
		for i, st := range j.Spec.Steps {
			for n := 0; st.Name == name && n < int(st.Tasks); n++ {
				if t := x.tasks[identifier.TaskRef{Job: e.Task.Job, Step: i, Num: n}]; t == nil || t.well == 0 {
					if x.unseen {
						x.Counts["unseen ends"]++
						continue
					}
					x.Breach("P4", "%s started before step %s ended well", e.Task, name)
				}
			}
		}
	}
	if x.w.Time() < j.Start-1000 {
		x.Breach("P4", "%s started %d ms before its appointed time", e.Task, j.Start-x.w.Time())
	}
}

// Touch says that a poll of the runner was answered.
func (x *Watch) Touch(name string) { x.heard[name] = x.w.Time() }

// acked hears that the core acknowledged an end.
func (x *Watch) acked(name string, id identifier.LeaseID) {
	e, ok := x.ended[name][id]
	if !ok {
		return
	}
	delete(x.ended[name], id)
	t := x.task(e.Task)
	switch e.What {
	case "well":
		t.told = x.w.Time()
	case "defect":
		t.defects++
		t.lastBad = x.w.Time()
	}
}

// Lost says that a runner died with the last of its journal unread: from then
// on an end that was never seen is counted, and is no breach.
func (x *Watch) Lost(name string) {
	x.unseen = true
	x.Dead(name)
}

// Dead forgets what ran on a runner that is no more.
func (x *Watch) Dead(name string) {
	for _, t := range x.tasks {
		delete(t.on, name)
	}
	delete(x.ended, name)
	delete(x.leaving, name)
	x.used[name] = job.Demand{}
}

// running counts live attempts of a job.
func (x *Watch) running(key identifier.JobKey, j *Job) string {
	for i, st := range j.Spec.Steps {
		for n := 0; n < int(st.Tasks); n++ {
			t := x.tasks[identifier.TaskRef{Job: key, Step: i, Num: n}]
			if t == nil {
				continue
			}
			for _, on := range sortedKeys(t.on) {
				if x.w.Place(on).Live {
					return on
				}
			}
		}
	}
	return ""
}

// State hears a caller being told of a job's state.
func (x *Watch) State(key identifier.JobKey, status int, word string) {
	j := x.Jobs[key]
	if status == 404 {
		x.Breach("P9", "accepted job %s is not known", key)
		return
	}
	if word != "well" && word != "failed" && word != "cancelled" {
		if j.Over != "" {
			x.Breach("P9", "job %s was %s and is now %s", key, j.Over, word)
		}
		return
	}
	if j.Over != "" && j.Over != word {
		x.Breach("P9", "job %s was %s and is now %s", key, j.Over, word)
	}
	j.Over = word
	if on := x.running(key, j); on != "" {
		x.Breach("P9", "job %s is said to be %s while a task of it runs on %s", key, word, on)
	}
	if word == "cancelled" && !j.Asked {
		x.Breach("P9", "job %s is cancelled and nobody asked", key)
	}
	if word == "failed" {
		x.cause(key, j)
	}
}

// cause wants a task that used up its defects for a job said to have failed.
func (x *Watch) cause(key identifier.JobKey, j *Job) {
	for i, st := range j.Spec.Steps {
		for n := 0; n < int(st.Tasks); n++ {
			if x.bad[identifier.TaskRef{Job: key, Step: i, Num: n}] >= int(st.Defects) {
				return
			}
		}
	}
	if x.unseen {
		x.Counts["unseen ends"]++
		return
	}
	x.Breach("P9", "job %s failed without a task using up its defects", key)
}

// GoneMost is how long a cancelled task may live on whatever else fails: a
// runner out of reach ends it by its own clock when its grant is over.
const GoneMost = 10500

// Sweep looks at what lasts: gangs in part, cancelled tasks living on.
func (x *Watch) Sweep() {
	for key, j := range x.Jobs {
		if j.Over != "" && x.w.Time()-j.Cancelled > 2000 {
			continue
		}
		age := x.w.Time() - j.Cancelled
		if j.Cancelled > 0 && (age > GoneMost || x.w.Quiet() && age > 1000 && age < 1500) {
			if on := x.running(key, j); on != "" {
				x.Breach("P6", "%s still runs on %s %d ms after its cancel", key, on, age)
			}
		}
		for i, st := range j.Spec.Steps {
			if st.Gang && j.Over == "" {
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
			if x.w.Place(on).Live {
				n++
			}
		}
		if n > 1 {
			x.Breach("P3", "%s runs on %d runners at once", ref, n)
		}
	}
}

// PartMost is how long a gang may go on in part whatever else fails: seven
// tenths of a grant since a member last had word, a poll and a half by which
// that word may have been late, and the observer's own pace.
const PartMost = 8700

func (x *Watch) gang(key identifier.JobKey, step int, st job.Step) {
	run, rest := 0, 0
	for n := 0; n < int(st.Tasks); n++ {
		t := x.tasks[identifier.TaskRef{Job: key, Step: step, Num: n}]
		live := false
		if t != nil {
			for on := range t.on {
				live = live || x.w.Place(on).Live
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
	limit := int64(PartMost)
	if x.w.Calm() {
		limit = 4500
	}
	if x.w.Time()-x.gangs[at] > limit {
		x.Breach("P8", "%s step %d has run in part for %d ms: %d run, %d do not", key, step, x.w.Time()-x.gangs[at], run, rest)
	}
}

// Done tells whether every job handed in was accepted and is known to be over.
func (x *Watch) Done() bool {
	for _, j := range x.Jobs {
		if j.Acked == 0 || j.Over == "" {
			return false
		}
	}
	return true
}

// Close judges what must have come about by the end.
func (x *Watch) Close() []identifier.JobKey {
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
		case j.Acked == 0:
			silent++
		case j.Over == "":
			if stuck = append(stuck, k); len(stuck) == 1 {
				x.Breach("stuck", "job %s was accepted at %d and has not ended (cancelled at %d, start %d)", k, j.Acked, j.Cancelled, j.Start)
			}
		default:
			x.Counts["ended "+j.Over]++
		}
	}
	if silent > 0 {
		x.Breach("silent", "%d jobs were never accepted", silent)
	}
	x.Counts["stuck"] = len(stuck)
	return stuck
}
