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

// maxQueuedTasks bounds the tasks of queues that wait.
const maxQueuedTasks = 60_000

func (s *Store) changeCatalog(change *catalog.Change) Result {
	current := s.currentCatalog()
	if current.Has(change) {
		return Result{Status: 200, Body: map[string]uint64{"version": change.Version}}
	}
	if current.MayHaveForgotten(change) {
		return rejected(504, "outcome-unknown", "this change may have been taken, longer ago than is remembered")
	}
	if current.Version != change.Base {
		return Result{Status: 412, Code: "stale-base", Message: "another version is in force", Body: map[string]uint64{"version": current.Version}}
	}
	next, why := current.With(change)
	if why != "" {
		return rejected(422, "invalid", why)
	}
	s.Catalog = next
	s.Limits.Epoch++
	s.rules.Epoch = s.Limits.Epoch
	s.foldChecksum(next.Version, hashText(change.Checksum))
	return Result{Status: 200, Body: map[string]uint64{"version": change.Version}}
}

// currentCatalog is the catalogue in force, an empty one while there is none.
func (s *Store) currentCatalog() *catalog.Catalog {
	if s.Catalog != nil {
		return s.Catalog
	}
	empty := &catalog.Catalog{}
	if s.Level >= ResendLevel {
		empty = empty.Deduplicated()
	}
	return empty
}

// submitToQueue takes a job for a queue.
func (s *Store) submitToQueue(command *SubmitJob, checksum string) Result {
	if s.Catalog == nil {
		return Result{Status: 503, Code: "no-catalog", Message: "there is no catalogue yet", RetryAfter: 1000}
	}
	queue := s.Catalog.Queue(command.Spec.Queue)
	_, id := command.Key.Split()
	switch {
	case strings.Contains(string(id), "."):
		return rejected(422, "bad-id", "the id of a job for a queue has no dot: that is how its times are told apart")
	case queue == nil:
		return rejected(404, "no-queue", "no such queue")
	case s.jobIndex.waitingTasks[queueJobsRow]+command.Spec.TaskCount() > maxQueuedTasks:
		return Result{Status: 429, Code: "queue-full", Message: "too many tasks wait", RetryAfter: 2000}
	case len(s.Jobs)+s.Dedup.Len() >= MaxJobIDs:
		return Result{Status: 503, Code: "ids-full", Message: "no room to remember another job id", RetryAfter: 60000}
	}
	target := command.Spec.CriticalPath()*clock.Millis(queue.LatencyFactor)/1000 + queue.LatencyTarget
	j := &Job{Key: command.Key, Seq: s.NextJobSeq, AcceptedAt: s.Now, Checksum: checksum, Spec: command.Spec}
	j.Terms = &QueueTerms{Queue: queue.Name, Pool: queue.Pool, Priority: queue.Priority, MaxAttempts: max(1, queue.MaxAttempts), Target: target, DueAt: s.Now.Add(target)}
	s.NextJobSeq++
	s.jobIndex.unfinishedByQueue[queue.Name]++
	if command.Spec.Repeat == nil {
		j.StartAt = command.Spec.NotBefore
		if command.Spec.Delay > 0 {
			j.StartAt = s.Now.Add(command.Spec.Delay)
		}
		s.addJob(j)
	} else {
		s.Jobs[j.Key] = j
		s.jobIndex.add(j)
		s.jobIndex.repeating.Add(j)
	}
	return Result{Status: 201, Body: SubmitAck{j.Key, j.Checksum, FormatTime(j.AcceptedAt)}}
}

func (s *Store) leaveQueue(j *Job) {
	if j.Terms == nil {
		return
	}
	if j.Parent == "" {
		s.jobIndex.unfinishedByQueue[j.Terms.Queue]--
		s.jobIndex.repeating.Remove(j)
		return
	}
	s.occurrenceEnded(j)
}

// FindJob looks a job up by its key. The only time of a job that isn't repeated
// may be named as its time 0.
func (s *Store) FindJob(key identifier.JobKey) *Job {
	if j := s.Jobs[key]; j != nil {
		return j
	}
	if plain, ok := strings.CutSuffix(string(key), ".0"); ok {
		if j := s.Jobs[identifier.JobKey(plain)]; j != nil && j.Spec.Repeat == nil {
			return j
		}
	}
	return nil
}

// AgentTaskRef is the name that agents know a task by: it always tells the time.
func (s *Store) AgentTaskRef(ref identifier.TaskRef) identifier.TaskRef {
	if j := s.Jobs[ref.Job]; j != nil && j.Parent == "" {
		ref.Job = occurrenceKey(j.Key, 0)
	}
	return ref
}

// ResolveRun finds the grant that a run is held under, or was.
func (s *Store) ResolveRun(name identifier.Runner, incarnation identifier.Incarnation, ref identifier.TaskRef, attempt uint64) (id identifier.LeaseID, at identifier.TaskRef, ok bool) {
	j := s.FindJob(ref.Job)
	if j == nil {
		return 0, ref, false
	}
	ref.Job = j.Key
	task := j.Task(ref)
	if task == nil {
		return 0, ref, false
	}
	if lease := s.Leases[task.Lease]; lease != nil && lease.Attempt == attempt && lease.Runner == name && lease.Incarnation == incarnation {
		return lease.ID, ref, true
	}
	for i, lost := range task.LostAttempts {
		if lost == attempt && i < len(task.LostLeases) {
			return task.LostLeases[i], ref, true
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

// rootKey is the job that callers know.
func (j *Job) rootKey() identifier.JobKey {
	if j.Parent != "" {
		return j.Parent
	}
	return j.Key
}

// TasksBeside counts the tasks of a step that a runner holds, of all the job's times.
func (s *Store) TasksBeside(j *Job, step int, r *Runner) int64 {
	var n int64
	for _, lease := range r.leases {
		if lease.Task.Step == step && s.Jobs[lease.Task.Job].rootKey() == j.rootKey() {
			n++
		}
	}
	return n
}

// saveCheckpoint keeps the progress that a run has told; any member's serves its gang.
func (s *Store) saveCheckpoint(lease *Lease, data string) {
	j := s.Jobs[lease.Task.Job]
	if data == "" || j.Terms == nil || !j.Spec.Steps[lease.Task.Step].Checkpoints {
		return
	}
	if j.Spec.Steps[lease.Task.Step].Gang {
		for _, task := range j.Steps[lease.Task.Step] {
			task.Checkpoint = data
		}
		return
	}
	j.Task(lease.Task).Checkpoint = data
}

// saveCheckpoints keeps what was last told of runs about to be counted lost.
func (s *Store) saveCheckpoints(checkpoints []Checkpoint, runner *Runner) {
	for _, checkpoint := range checkpoints {
		if lease := s.Leases[checkpoint.Lease]; lease != nil && lease.Runner == runner.Name && lease.Incarnation == runner.Incarnation {
			s.saveCheckpoint(lease, checkpoint.Data)
		}
	}
}

// endQueuedAttempt decides what becomes of a task whose run has ended.
func (s *Store) endQueuedAttempt(j *Job, task *Task, lease *Lease, outcome Outcome) {
	step := j.Spec.Steps[lease.Task.Step]
	if task.Lease == lease.ID {
		task.Lease = 0
	}
	if task.State != Placed {
		return
	}
	if outcome == outcomeLost || outcome == OutcomeLeaseLapsed {
		task.recordLostLease(lease)
	}
	jobOver := j.Cancelled || j.Failure != ""
	switch {
	case outcome == OutcomeSuccess && !step.Service:
		s.succeedTasks(j, lease)
		return
	case jobOver:
		s.setTaskState(j, lease.Task, Cancelled)
		task.Reason = lease.RevokeReason
		return
	}
	s.setTaskState(j, lease.Task, Waiting)
	if lease.RevokeReason == RevokeStalled || lease.RevokeReason == RevokeSlow {
		task.AvoidRunner = lease.Runner
	}
	id, ok := strings.CutPrefix(lease.RevokeReason, RevokeDrainPrefix)
	if drain := s.Drains[id]; ok && drain != nil && drain.Stage.Cordons() {
		s.jobIndex.markDisplaced(j, task, id)
	}
	s.revokeGang(lease)
	if outcome == OutcomeDefect && !step.Service {
		s.countQueuedDefect(j, lease.Task, lease.Runner, lease.Attempt)
	}
}

// well marks the task done, and with it every member of its gang.
func (s *Store) succeedTasks(j *Job, lease *Lease) {
	s.setTaskState(j, lease.Task, Succeeded)
	if !j.Spec.Steps[lease.Task.Step].Gang {
		return
	}
	for n, task := range j.Steps[lease.Task.Step] {
		if task.State.Ended() {
			continue
		}
		s.setTaskState(j, identifier.TaskRef{Job: j.Key, Step: lease.Task.Step, Num: n}, Succeeded)
	}
}

// countQueuedDefect counts a failed run; a gang's counts once, whoever tells of it.
func (s *Store) countQueuedDefect(j *Job, ref identifier.TaskRef, runner identifier.Runner, attempt uint64) {
	task := j.Task(ref)
	task.AvoidRunner = runner
	if j.Spec.Steps[ref.Step].Service {
		return
	}
	counted := task
	if j.Spec.Steps[ref.Step].Gang {
		counted = j.Steps[ref.Step][0]
	}
	if attempt > 0 && counted.LastDefectiveAttempt >= attempt {
		return
	}
	counted.LastDefectiveAttempt = max(counted.LastDefectiveAttempt, attempt)
	counted.Defects++
	s.foldChecksum(j.Seq, uint64(counted.Defects))
	if counted.Defects < j.Terms.MaxAttempts || j.Cancelled || j.Failure != "" {
		return
	}
	if task.State == Placed {
		s.revokeLease(s.Leases[task.Lease], RevokeJobFailed)
	} else if !task.State.Ended() {
		s.setTaskState(j, ref, Failed)
		task.Reason = "allowed failures used up"
	}
	j.Failure = "task " + ref.String() + " used up its allowed failures"
	s.abortTasks(j, RevokeJobFailed)
}
