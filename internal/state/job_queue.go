package state

import (
	"cmp"

	"github.com/emirpasic/gods/sets/treeset"

	"orchidward/internal/api/identifier"
)

// jobQueue orders the jobs of one row that have tasks to place: by priority and then age,
// and separately by age alone, so that a stream of urgent jobs cannot starve the rest of
// the row.
type jobQueue struct {
	byPriority *treeset.Set
	byAge      *treeset.Set
}

func newJobQueue() *jobQueue {
	return &jobQueue{
		byPriority: treeset.NewWith(comparePriority),
		byAge:      treeset.NewWith(compareAge),
	}
}

func (q *jobQueue) add(j *Job) {
	q.byPriority.Add(j)
	q.byAge.Add(j)
}

func (q *jobQueue) remove(j *Job) {
	q.byPriority.Remove(j)
	q.byAge.Remove(j)
}

func (q *jobQueue) len() int { return q.byAge.Size() }

// comparePriority orders jobs by placement priority, the job to place first coming first.
func comparePriority(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if x.Terms != nil && y.Terms != nil {
		return compareQueueTerms(x, y)
	}
	return cmp.Or(cmp.Compare(y.Spec.Urgency, x.Spec.Urgency), compareAge(a, b))
}

// compareQueueTerms orders jobs of queues by priority, where 0 is the highest, then by
// due time.
func compareQueueTerms(x, y *Job) int {
	return cmp.Or(
		cmp.Compare(x.Terms.Priority, y.Terms.Priority),
		cmp.Compare(x.Terms.DueAt, y.Terms.DueAt),
		compareAge(x, y),
	)
}

func compareAge(a, b any) int {
	return cmp.Compare(a.(*Job).Seq, b.(*Job).Seq)
}

func compareStart(a, b any) int {
	return cmp.Or(cmp.Compare(a.(*Job).StartAt, b.(*Job).StartAt), compareAge(a, b))
}

func compareNextOccurrence(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	return cmp.Or(cmp.Compare(x.nextOccurrence(), y.nextOccurrence()), compareAge(a, b))
}

// agedJobInterval is the interval at which a PendingIterator takes a job by age alone:
// every fourth job.
const agedJobInterval = 4

// PendingIterator yields a row's jobs in placement order, every fourth one taken by age
// alone.
type PendingIterator struct {
	byPriority treeset.Iterator
	byAge      treeset.Iterator
	seen       map[*Job]bool
	steps      int
}

// Next returns the next job, or nil at the end. Each job is returned once.
func (p *PendingIterator) Next() *Job {
	for {
		first, second := &p.byPriority, &p.byAge
		p.steps++
		if p.steps%agedJobInterval == 0 {
			first, second = second, first
		}
		it := first
		if !it.Next() {
			it = second
			if !it.Next() {
				return nil
			}
		}
		if j := it.Value().(*Job); !p.seen[j] {
			p.seen[j] = true
			return j
		}
	}
}

// PendingJobs returns an iterator over the row's jobs that have tasks to place.
func (s *Store) PendingJobs(row identifier.Row) *PendingIterator {
	queue := s.jobIndex.pending[row]
	if queue == nil {
		queue = newJobQueue()
	}
	return &PendingIterator{
		byPriority: queue.byPriority.Iterator(),
		byAge:      queue.byAge.Iterator(),
		seen:       map[*Job]bool{},
	}
}

// Backlog returns the number of the row's jobs that have tasks to place.
func (s *Store) Backlog(row identifier.Row) int {
	queue := s.jobIndex.pending[row]
	if queue == nil {
		return 0
	}
	return queue.len()
}

// queueJobsRow is the row that the jobs of all queues are counted under.
const queueJobsRow identifier.Row = ""

// EachQueueJob visits the jobs of queues that have tasks to place, by priority and then
// by due time, until visit returns false.
func (s *Store) EachQueueJob(visit func(j *Job) (more bool)) {
	queue := s.jobIndex.pending[queueJobsRow]
	if queue == nil {
		return
	}
	for it := queue.byPriority.Iterator(); it.Next(); {
		if !visit(it.Value().(*Job)) {
			return
		}
	}
}
