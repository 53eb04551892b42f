// Jobs for the queues of the catalogue: they are accepted on the terms of their
// queue and keep them, their runs are numbered, and a gang's ends count as one.

package state

import (
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// QueueTerms are a queue's, as they stood when the job was accepted. Due is when the
// job is to be done by: its longest chain of work times the queue's stretch,
// and the set-point, from its acceptance or its appointed time.
type QueueTerms struct {
	Queue       string            `json:"queue"`
	Pool        string            `json:"pool"`
	Priority    int64             `json:"rank"`
	MaxAttempts int64             `json:"tries"`
	Target      clock.Millis      `json:"aimMs"`
	DueAt       clock.ClusterTime `json:"due"`
}

// mostWaiting bounds the tasks of queues that wait.
const mostWaiting = 60_000

func (b *Store) publish(c *catalog.Change) Result {
	was := b.catalogNow()
	if was.Has(c) {
		return Result{Status: 200, Body: map[string]uint64{"version": c.Version}}
	}
	if was.MayHaveForgotten(c) {
		return refuse(504, "outcome-unknown", "this change may have been taken, longer ago than is remembered")
	}
	if was.Version != c.Base {
		return Result{Status: 412, Code: "stale-base", Message: "another version is in force", Body: map[string]uint64{"version": was.Version}}
	}
	next, why := was.With(c)
	if why != "" {
		return refuse(422, "invalid", why)
	}
	b.Catalog = next
	b.Limits.Epoch++
	b.rules.Epoch = b.Limits.Epoch
	b.fold(next.Version, text(c.Checksum))
	return Result{Status: 200, Body: map[string]uint64{"version": c.Version}}
}

// catalogNow is the catalogue in force, an empty one while there is none.
func (b *Store) catalogNow() *catalog.Catalog {
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
func (b *Store) enqueue(s *SubmitJob, sum string) Result {
	if b.Catalog == nil {
		return Result{Status: 503, Code: "no-catalog", Message: "there is no catalogue yet", RetryAfter: 1000}
	}
	q := b.Catalog.Queue(s.Spec.Queue)
	_, id := s.Key.Split()
	switch {
	case strings.Contains(string(id), "."):
		return refuse(422, "bad-id", "the id of a job for a queue has no dot: that is how its times are told apart")
	case q == nil:
		return refuse(404, "no-queue", "no such queue")
	case b.waiting[""]+s.Spec.TaskCount() > mostWaiting:
		return Result{Status: 429, Code: "queue-full", Message: "too many tasks wait", RetryAfter: 2000}
	case len(b.Jobs)+b.Dedup.Len() >= MaxJobIDs:
		return Result{Status: 503, Code: "ids-full", Message: "no room to remember another job id", RetryAfter: 60000}
	}
	aim := s.Spec.CriticalPath()*clock.Millis(q.LatencyFactor)/1000 + q.LatencyTarget
	j := &Job{Key: s.Key, Seq: b.NextJobSeq, AcceptedAt: b.Now, Checksum: sum, Spec: s.Spec}
	j.Terms = &QueueTerms{Queue: q.Name, Pool: q.Pool, Priority: q.Priority, MaxAttempts: max(1, q.MaxAttempts), Target: aim, DueAt: b.Now.Add(aim)}
	b.NextJobSeq++
	b.queued[q.Name]++
	if s.Spec.Repeat == nil {
		j.StartAt = s.Spec.NotBefore
		if s.Spec.Delay > 0 {
			j.StartAt = b.Now.Add(s.Spec.Delay)
		}
		b.enter(j)
	} else {
		b.Jobs[j.Key] = j
		b.names.Put(j.Key, j)
		b.jobs[j.Spec.Row]++
		b.due.Add(j)
	}
	return Result{Status: 201, Body: SubmitAck{j.Key, j.Checksum, FormatTime(j.AcceptedAt)}}
}

func (b *Store) leaveQueue(j *Job) {
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

// QueuedJobs counts the unfinished jobs of a queue.
func (b *Store) QueuedJobs(name string) int64 { return b.queued[name] }

// FindJob looks a job up by its key. The only time of a job that isn't repeated
// may be named as its time 0.
func (b *Store) FindJob(key identifier.JobKey) *Job {
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

// AgentTaskRef is the name that agents know a task by: it always tells the time.
func (b *Store) AgentTaskRef(ref identifier.TaskRef) identifier.TaskRef {
	if j := b.Jobs[ref.Job]; j != nil && j.Parent == "" {
		ref.Job = timeKey(j.Key, 0)
	}
	return ref
}

// ResolveRun finds the grant that a run is held under, or was.
func (b *Store) ResolveRun(name identifier.Runner, inc identifier.Incarnation, ref identifier.TaskRef, no uint64) (id identifier.LeaseID, at identifier.TaskRef, ok bool) {
	j := b.FindJob(ref.Job)
	if j == nil {
		return 0, ref, false
	}
	ref.Job = j.Key
	t := j.Task(ref)
	if t == nil {
		return 0, ref, false
	}
	if g := b.Leases[t.Lease]; g != nil && g.Attempt == no && g.Runner == name && g.Incarnation == inc {
		return g.ID, ref, true
	}
	for i, n := range t.LostAttempts {
		if n == no && i < len(t.LostLeases) {
			return t.LostLeases[i], ref, true
		}
	}
	return 0, ref, false
}

// EligibleOn tells whether a runner belongs to the pool that the job's queue goes
// to; jobs of pending rows run on those that belong to none.
func (j *Job) EligibleOn(r *Runner) bool {
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

// TasksBeside counts the tasks of a step that a runner holds, of all the job's times.
func (b *Store) TasksBeside(j *Job, step int, r *Runner) int64 {
	var n int64
	for _, g := range r.grants {
		if g.Task.Step == step && b.Jobs[g.Task.Job].root() == j.root() {
			n++
		}
	}
	return n
}

// save keeps the progress that a run has told; any member's serves its gang.
func (b *Store) save(g *Lease, saved string) {
	j := b.Jobs[g.Task.Job]
	if saved == "" || j.Terms == nil || !j.Spec.Steps[g.Task.Step].Checkpoints {
		return
	}
	if j.Spec.Steps[g.Task.Step].Gang {
		for _, t := range j.Steps[g.Task.Step] {
			t.Checkpoint = saved
		}
		return
	}
	j.Task(g.Task).Checkpoint = saved
}

// saves keeps what was last told of runs about to be counted lost.
func (b *Store) saves(list []Checkpoint, r *Runner) {
	for _, s := range list {
		if g := b.Leases[s.Lease]; g != nil && g.Runner == r.Name && g.Incarnation == r.Incarnation {
			b.save(g, s.Data)
		}
	}
}

// endQueued decides what becomes of a task whose run has ended.
func (b *Store) endQueued(j *Job, t *Task, g *Lease, how Outcome) {
	st := j.Spec.Steps[g.Task.Step]
	if t.Lease == g.ID {
		t.Lease = 0
	}
	if t.State != Placed {
		return
	}
	if how == outcomeLost || how == OutcomeLeaseLapsed {
		t.lose(g)
	}
	over := j.Cancelled || j.Failure != ""
	switch {
	case how == OutcomeSuccess && !st.Service:
		b.well(j, g)
		return
	case over:
		b.set(j, g.Task, Cancelled)
		t.Reason = g.RevokeReason
		return
	}
	b.set(j, g.Task, Waiting)
	if g.RevokeReason == RevokeStalled || g.RevokeReason == RevokeSlow {
		t.AvoidRunner = g.Runner
	}
	id, ok := strings.CutPrefix(g.RevokeReason, RevokeDrainPrefix)
	if c := b.Drains[id]; ok && c != nil && c.Stage.Cordons() {
		b.tie(j, t, id)
	}
	b.partners(g)
	if how == OutcomeDefect && !st.Service {
		b.spendQueued(j, g.Task, g.Runner, g.Attempt)
	}
}

// well marks the task done, and with it every member of its gang.
func (b *Store) well(j *Job, g *Lease) {
	b.set(j, g.Task, Succeeded)
	if !j.Spec.Steps[g.Task.Step].Gang {
		return
	}
	for n, t := range j.Steps[g.Task.Step] {
		if t.State.Ended() {
			continue
		}
		b.set(j, identifier.TaskRef{Job: j.Key, Step: g.Task.Step, Num: n}, Succeeded)
	}
}

// spendQueued counts a failed run; a gang's counts once, whoever tells of it.
func (b *Store) spendQueued(j *Job, ref identifier.TaskRef, on identifier.Runner, no uint64) {
	t := j.Task(ref)
	t.AvoidRunner = on
	if j.Spec.Steps[ref.Step].Service {
		return
	}
	one := t
	if j.Spec.Steps[ref.Step].Gang {
		one = j.Steps[ref.Step][0]
	}
	if no > 0 && one.LastDefectiveAttempt >= no {
		return
	}
	one.LastDefectiveAttempt = max(one.LastDefectiveAttempt, no)
	one.Defects++
	b.fold(j.Seq, uint64(one.Defects))
	if one.Defects < j.Terms.MaxAttempts || j.Cancelled || j.Failure != "" {
		return
	}
	if t.State == Placed {
		b.stop(b.Leases[t.Lease], RevokeJobFailed)
	} else if !t.State.Ended() {
		b.set(j, ref, Failed)
		t.Reason = "allowed failures used up"
	}
	j.Failure = "task " + ref.String() + " used up its allowed failures"
	b.halt(j, RevokeJobFailed)
}

// EachQueueJob visits the jobs of queues that have something to place: by rank,
// and within one by when they are due.
func (b *Store) EachQueueJob(visit func(j *Job) (more bool)) {
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
