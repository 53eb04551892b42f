// Jobs for the queues of the catalogue: they are accepted on the terms of their
// queue and keep them, their runs are numbered, and a gang's ends count as one.

package state

import (
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// Terms are a queue's, as they stood when the job was accepted. Due is when the
// job is to be done by: its longest chain of work times the queue's stretch,
// and the set-point, from its acceptance or its appointed time.
type Terms struct {
	Queue string            `json:"queue"`
	Pool  string            `json:"pool"`
	Rank  int64             `json:"rank"`
	Tries int64             `json:"tries"`
	Aim   clock.Millis      `json:"aimMs"`
	Due   clock.ClusterTime `json:"due"`
}

// mostWaiting bounds the tasks of queues that wait.
const mostWaiting = 60_000

func (b *Book) publish(c *catalog.Change) Result {
	was := b.catalogNow()
	if was.Has(c) {
		return Result{Status: 200, Doc: map[string]uint64{"version": c.Version}}
	}
	if was.MayHaveForgotten(c) {
		return refuse(504, "outcome-unknown", "this change may have been taken, longer ago than is remembered")
	}
	if was.Version != c.Base {
		return Result{Status: 412, Code: "stale-base", Why: "another version is in force", Doc: map[string]uint64{"version": was.Version}}
	}
	next, why := was.With(c)
	if why != "" {
		return refuse(422, "invalid", why)
	}
	b.Catalog = next
	b.Table.Epoch++
	b.rules.Epoch = b.Table.Epoch
	b.fold(next.Version, text(c.Sum))
	return Result{Status: 200, Doc: map[string]uint64{"version": c.Version}}
}

// catalogNow is the catalogue in force, an empty one while there is none.
func (b *Book) catalogNow() *catalog.Catalog {
	if b.Catalog != nil {
		return b.Catalog
	}
	c := &catalog.Catalog{}
	if b.Level >= ResendLevel {
		c = c.Deduplicated()
	}
	return c
}

// enqueue takes a job for a queue.
func (b *Book) enqueue(s *Submit, sum string) Result {
	if b.Catalog == nil {
		return Result{Status: 503, Code: "no-catalog", Why: "there is no catalogue yet", Retry: 1000}
	}
	q := b.Catalog.Queue(s.Spec.Queue)
	_, id := s.Key.Split()
	switch {
	case strings.Contains(string(id), "."):
		return refuse(422, "bad-id", "the id of a job for a queue has no dot: that is how its times are told apart")
	case q == nil:
		return refuse(404, "no-queue", "no such queue")
	case b.waiting[""]+s.Spec.Tasks() > mostWaiting:
		return Result{Status: 429, Code: "queue-full", Why: "too many tasks wait", Retry: 2000}
	case len(b.Jobs)+b.Known.Len() >= MaxIDs:
		return Result{Status: 503, Code: "ids-full", Why: "no room to remember another job id", Retry: 60000}
	}
	aim := s.Spec.Chain()*clock.Millis(q.Stretch)/1000 + q.SetPoint
	j := &Job{Key: s.Key, Seq: b.NextSeq, At: b.Now, Sum: sum, Spec: s.Spec}
	j.Terms = &Terms{Queue: q.Name, Pool: q.Pool, Rank: q.Rank, Tries: max(1, q.Tries), Aim: aim, Due: b.Now.Add(aim)}
	b.NextSeq++
	b.queued[q.Name]++
	if s.Spec.Repeat == nil {
		j.Start = s.Spec.NotBefore
		if s.Spec.Delay > 0 {
			j.Start = b.Now.Add(s.Spec.Delay)
		}
		b.enter(j)
	} else {
		b.Jobs[j.Key] = j
		b.names.Put(j.Key, j)
		b.jobs[j.Spec.Pending]++
		b.due.Add(j)
	}
	return Result{Status: 201, Doc: Ack{j.Key, j.Sum, Stamp(j.At)}}
}

func (b *Book) leaveQueue(j *Job) {
	if j.Terms == nil {
		return
	}
	if j.Parent == "" {
		b.queued[j.Terms.Queue]--
		b.due.Remove(j)
		return
	}
	b.timeOver(j)
}

// Queued counts the unfinished jobs of a queue.
func (b *Book) Queued(name string) int64 { return b.queued[name] }

// Find looks a job up by its key. The only time of a job that isn't repeated
// may be named as its time 0.
func (b *Book) Find(key identifier.JobKey) *Job {
	if j := b.Jobs[key]; j != nil {
		return j
	}
	if plain, ok := strings.CutSuffix(string(key), ".0"); ok {
		if j := b.Jobs[identifier.JobKey(plain)]; j != nil && j.Spec.Repeat == nil {
			return j
		}
	}
	return nil
}

// Named is the name that agents know a task by: it always tells the time.
func (b *Book) Named(ref identifier.TaskRef) identifier.TaskRef {
	if j := b.Jobs[ref.Job]; j != nil && j.Parent == "" {
		ref.Job = timeKey(j.Key, 0)
	}
	return ref
}

// Resolve finds the grant that a run is held under, or was.
func (b *Book) Resolve(name identifier.Runner, inc identifier.Incarnation, ref identifier.TaskRef, no uint64) (id identifier.LeaseID, at identifier.TaskRef, ok bool) {
	j := b.Find(ref.Job)
	if j == nil {
		return 0, ref, false
	}
	ref.Job = j.Key
	t := j.Task(ref)
	if t == nil {
		return 0, ref, false
	}
	if g := b.Grants[t.Grant]; g != nil && g.No == no && g.Runner == name && g.Inc == inc {
		return g.ID, ref, true
	}
	for i, n := range t.PastNo {
		if n == no && i < len(t.Past) {
			return t.Past[i], ref, true
		}
	}
	return 0, ref, false
}

// Serves tells whether a runner belongs to the pool that the job's queue goes
// to; jobs of pending rows run on those that belong to none.
func (j *Job) Serves(r *Runner) bool {
	if j.Terms == nil {
		return r.Pool == ""
	}
	return r.Pool == j.Terms.Pool
}

// root is the job that callers know.
func (j *Job) root() identifier.JobKey {
	if j.Parent != "" {
		return j.Parent
	}
	return j.Key
}

// Beside counts the tasks of a step that a runner holds, of all the job's times.
func (b *Book) Beside(j *Job, step int, r *Runner) int64 {
	var n int64
	for _, g := range r.grants {
		if g.Ref.Step == step && b.Jobs[g.Ref.Job].root() == j.root() {
			n++
		}
	}
	return n
}

// save keeps the progress that a run has told; any member's serves its gang.
func (b *Book) save(g *Grant, saved string) {
	j := b.Jobs[g.Ref.Job]
	if saved == "" || j.Terms == nil || !j.Spec.Steps[g.Ref.Step].Saves {
		return
	}
	if j.Spec.Steps[g.Ref.Step].Gang {
		for _, t := range j.Steps[g.Ref.Step] {
			t.Saved = saved
		}
		return
	}
	j.Task(g.Ref).Saved = saved
}

// saves keeps what was last told of runs about to be counted lost.
func (b *Book) saves(list []Save, r *Runner) {
	for _, s := range list {
		if g := b.Grants[s.Grant]; g != nil && g.Runner == r.Name && g.Inc == r.Inc {
			b.save(g, s.Saved)
		}
	}
}

// endQueued decides what becomes of a task whose run has ended.
func (b *Book) endQueued(j *Job, t *Task, g *Grant, how How) {
	st := j.Spec.Steps[g.Ref.Step]
	if t.Grant == g.ID {
		t.Grant = 0
	}
	if t.State != Placed {
		return
	}
	if how == endLost || how == EndLapsed {
		t.lose(g)
	}
	over := j.Cancel || j.Fail != ""
	switch {
	case how == EndWell && !st.Lasting:
		b.well(j, g)
		return
	case over:
		b.set(j, g.Ref, Cancelled)
		t.Why = g.Stop
		return
	}
	b.set(j, g.Ref, Waiting)
	if g.Stop == StopStill || g.Stop == StopSlow {
		t.Shun = g.Runner
	}
	id, ok := strings.CutPrefix(g.Stop, StopClosing)
	if c := b.Closings[id]; ok && c != nil && c.Stage.Down() {
		b.tie(j, t, id)
	}
	b.partners(g)
	if how == EndDefect && !st.Lasting {
		b.spendQueued(j, g.Ref, g.Runner, g.No)
	}
}

// well marks the task done, and with it every member of its gang.
func (b *Book) well(j *Job, g *Grant) {
	b.set(j, g.Ref, Well)
	if !j.Spec.Steps[g.Ref.Step].Gang {
		return
	}
	for n, t := range j.Steps[g.Ref.Step] {
		if t.State.Ended() {
			continue
		}
		b.set(j, identifier.TaskRef{Job: j.Key, Step: g.Ref.Step, Num: n}, Well)
	}
}

// spendQueued counts a failed run; a gang's counts once, whoever tells of it.
func (b *Book) spendQueued(j *Job, ref identifier.TaskRef, on identifier.Runner, no uint64) {
	t := j.Task(ref)
	t.Shun = on
	if j.Spec.Steps[ref.Step].Lasting {
		return
	}
	one := t
	if j.Spec.Steps[ref.Step].Gang {
		one = j.Steps[ref.Step][0]
	}
	if no > 0 && one.Bad >= no {
		return
	}
	one.Bad = max(one.Bad, no)
	one.Defects++
	b.fold(j.Seq, uint64(one.Defects))
	if one.Defects < j.Terms.Tries || j.Cancel || j.Fail != "" {
		return
	}
	if t.State == Placed {
		b.stop(b.Grants[t.Grant], StopFail)
	} else if !t.State.Ended() {
		b.set(j, ref, Failed)
		t.Why = "allowed failures used up"
	}
	j.Fail = "task " + ref.String() + " used up its allowed failures"
	b.halt(j, StopFail)
}

// QueueJobs visits the jobs of queues that have something to place: by rank,
// and within one by when they are due.
func (b *Book) QueueJobs(visit func(j *Job) (more bool)) {
	l := b.lanes[""]
	if l == nil {
		return
	}
	for it := l.urgent.Iterator(); it.Next(); {
		if !visit(it.Value().(*Job)) {
			return
		}
	}
}
