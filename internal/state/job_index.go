package state

import (
	"cmp"

	"github.com/emirpasic/gods/sets/treeset"
	"github.com/emirpasic/gods/trees/redblacktree"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// jobIndex holds the indexes derived from the jobs. A job must be removed from an ordered
// set before any field that determines its order changes.
type jobIndex struct {
	byKey *redblacktree.Tree
	// pending holds the jobs of each row that have a task to place now. The jobs of all
	// queues are under the empty row.
	pending map[identifier.Row]*jobQueue
	// delayed holds the jobs whose earliest start is in the future.
	delayed *treeset.Set
	// displaced holds the jobs with tasks displaced by a drain.
	displaced *treeset.Set
	// repeating holds the repeated jobs that have occurrences to come, ordered by the
	// next one.
	repeating *treeset.Set

	waitingTasks      map[identifier.Row]int64
	unfinishedByRow   map[identifier.Row]int
	unfinishedByQueue map[string]int64
	// ended holds the jobs that ended since the last call of TakeEndedJobs.
	ended []*Job
}

func newJobIndex() *jobIndex {
	return &jobIndex{
		byKey:             redblacktree.NewWith(compareKeys),
		pending:           map[identifier.Row]*jobQueue{},
		delayed:           treeset.NewWith(compareStart),
		displaced:         treeset.NewWith(compareAge),
		repeating:         treeset.NewWith(compareNextOccurrence),
		waitingTasks:      map[identifier.Row]int64{},
		unfinishedByRow:   map[identifier.Row]int{},
		unfinishedByQueue: map[string]int64{},
	}
}

func compareKeys(x, y any) int {
	return cmp.Compare(x.(identifier.JobKey), y.(identifier.JobKey))
}

// add indexes a new job by its key and counts it if it is unfinished. Its tasks are
// counted by countTasks.
func (x *jobIndex) add(j *Job) {
	x.byKey.Put(j.Key, j)
	if j.EndState == "" {
		x.unfinishedByRow[j.Spec.Row]++
	}
}

// remove removes an ended job from the index.
func (x *jobIndex) remove(key identifier.JobKey) { x.byKey.Remove(key) }

// countAllTasks counts the tasks of a job read from a snapshot.
func (x *jobIndex) countAllTasks(j *Job) {
	for step, tasks := range j.Steps {
		for _, task := range tasks {
			x.countTasks(j, step, task.State, 1)
			if task.DisplacedBy != "" {
				j.displacedTasks++
				x.displaced.Add(j)
			}
		}
	}
}

// countTasks adds delta to the counts of tasks in the given state.
func (x *jobIndex) countTasks(j *Job, step int, taskState TaskState, delta int) {
	j.stepCounts[step].add(taskState, delta)
	if taskState.Unplaced() {
		x.waitingTasks[j.Spec.Row] += int64(delta)
	}
}

// update moves the job to the set that matches its tasks and its start time: pending,
// delayed or none.
func (x *jobIndex) update(j *Job, now clock.ClusterTime) {
	ready := j.anyStepReady()
	startable := ready && j.StartAt <= now
	if ready && !startable {
		x.delayed.Add(j)
	} else {
		x.delayed.Remove(j)
	}
	switch {
	case startable && j.queue == nil:
		j.queue = x.rowQueue(j.Spec.Row)
		j.queue.add(j)
	case !startable && j.queue != nil:
		j.queue.remove(j)
		j.queue = nil
	}
}

// rowQueue returns the row's queue of pending jobs, creating it if needed.
func (x *jobIndex) rowQueue(row identifier.Row) *jobQueue {
	queue := x.pending[row]
	if queue == nil {
		queue = newJobQueue()
		x.pending[row] = queue
	}
	return queue
}

// maxEndedKept bounds the ended jobs held for TakeEndedJobs.
const maxEndedKept = 4096

func (x *jobIndex) markEnded(j *Job) {
	if len(x.ended) < maxEndedKept {
		x.ended = append(x.ended, j)
	}
}

// TakeEndedJobs visits the jobs that have ended since the last call, in the order in
// which they ended, and clears the list.
func (s *Store) TakeEndedJobs(visit func(j *Job)) {
	for _, j := range s.jobIndex.ended {
		visit(j)
	}
	s.jobIndex.ended = s.jobIndex.ended[:0]
}

// nextDelayed returns the delayed job with the earliest start, or nil if there is none.
func (x *jobIndex) nextDelayed() *Job { return firstJob(x.delayed) }

// nextRepeating returns the repeated job whose next occurrence is the earliest, or nil if
// there is none.
func (x *jobIndex) nextRepeating() *Job { return firstJob(x.repeating) }

func firstJob(set *treeset.Set) *Job {
	it := set.Iterator()
	if !it.Next() {
		return nil
	}
	return it.Value().(*Job)
}

// markDisplaced records that a drain displaced the task.
func (x *jobIndex) markDisplaced(j *Job, task *Task, drainID string) {
	if task.DisplacedBy == "" {
		j.displacedTasks++
		x.displaced.Add(j)
	}
	task.DisplacedBy = drainID
}

// clearDisplaced undoes markDisplaced.
func (x *jobIndex) clearDisplaced(j *Job, task *Task) {
	if task.DisplacedBy == "" {
		return
	}
	task.DisplacedBy = ""
	j.displacedTasks--
	if j.displacedTasks == 0 {
		x.displaced.Remove(j)
	}
}

// WaitingTasks returns the number of unplaced tasks in a row, as counted against the
// limit of the row.
func (s *Store) WaitingTasks(row identifier.Row) int64 { return s.jobIndex.waitingTasks[row] }

// QueuedJobs returns the number of unfinished jobs of a queue.
func (s *Store) QueuedJobs(name string) int64 { return s.jobIndex.unfinishedByQueue[name] }

// DisplacedJobs returns the jobs with displaced tasks, oldest first.
func (s *Store) DisplacedJobs() []*Job {
	var jobs []*Job
	for _, value := range s.jobIndex.displaced.Values() {
		jobs = append(jobs, value.(*Job))
	}
	return jobs
}

// HasPending reports whether any job has tasks to place or displaced tasks.
func (s *Store) HasPending() bool {
	if !s.jobIndex.displaced.Empty() {
		return true
	}
	for _, queue := range s.jobIndex.pending {
		if queue.len() > 0 {
			return true
		}
	}
	return false
}

// NextScheduledStart returns the earliest start in the future, of a delayed job or of an
// occurrence of a repeated job.
func (s *Store) NextScheduledStart() (start clock.ClusterTime, ok bool) {
	if j := s.jobIndex.nextDelayed(); j != nil {
		start = j.StartAt
		ok = true
	}
	if j := s.jobIndex.nextRepeating(); j != nil && (!ok || j.nextOccurrence() < start) {
		start = j.nextOccurrence()
		ok = true
	}
	return start, ok
}

// JobsAfter visits the jobs in key order, starting after the given key, until visit
// returns false.
func (s *Store) JobsAfter(after identifier.JobKey, visit func(j *Job) (more bool)) {
	node, ok := s.jobIndex.byKey.Ceiling(after)
	if !ok {
		return
	}
	it := s.jobIndex.byKey.IteratorAt(node)
	for more := true; more; more = it.Next() {
		j := it.Value().(*Job)
		if j.Key != after && !visit(j) {
			return
		}
	}
}

// eachUnfinishedTask visits the tasks of every unfinished job, in the order of job keys,
// and then completes each job whose tasks have all ended.
func (s *Store) eachUnfinishedTask(visit func(j *Job, ref identifier.TaskRef, task *Task)) {
	for _, key := range s.jobIndex.byKey.Keys() {
		j := s.Jobs[key.(identifier.JobKey)]
		if j.EndState != "" {
			continue
		}
		for step, tasks := range j.Steps {
			for num, task := range tasks {
				visit(j, identifier.TaskRef{Job: j.Key, Step: step, Num: num}, task)
			}
		}
		s.completeJob(j)
	}
}
