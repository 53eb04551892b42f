// A lane orders the jobs of one row that have something to place: by urgency
// and then by age, and once more by age alone, so that a stream of urgent work
// cannot starve the rest of its row.

package state

import (
	"cmp"

	"github.com/emirpasic/gods/sets/treeset"
)

type jobQueue struct {
	byPriority *treeset.Set
	byAge      *treeset.Set
}

func comparePriority(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if x.Terms != nil && y.Terms != nil {
		return compareQueueTerms(x, y)
	}
	if x.Spec.Urgency != y.Spec.Urgency {
		if x.Spec.Urgency > y.Spec.Urgency {
			return -1
		}
		return 1
	}
	return compareAge(a, b)
}

func compareAge(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	switch {
	case x.Seq < y.Seq:
		return -1
	case x.Seq > y.Seq:
		return 1
	}
	return 0
}

func compareStart(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if x.StartAt != y.StartAt {
		if x.StartAt < y.StartAt {
			return -1
		}
		return 1
	}
	return compareAge(a, b)
}

func newJobQueue() *jobQueue {
	return &jobQueue{byPriority: treeset.NewWith(comparePriority), byAge: treeset.NewWith(compareAge)}
}

func (q *jobQueue) add(j *Job) {
	q.byPriority.Add(j)
	q.byAge.Add(j)
}

func (q *jobQueue) remove(j *Job) {
	q.byPriority.Remove(j)
	q.byAge.Remove(j)
}

// PendingIterator yields the row's jobs in the order they should bid, every fourth one
// taken by age alone.
type PendingIterator struct {
	byPriority, byAge treeset.Iterator
	seen              map[*Job]bool
	steps             int
}

// Next returns the next job, each one once, or nil at the end.
func (p *PendingIterator) Next() *Job {
	for {
		it := &p.byPriority
		if p.steps++; p.steps%4 == 0 {
			it = &p.byAge
		}
		if !it.Next() {
			other := &p.byAge
			if it == other {
				other = &p.byPriority
			}
			if it = other; !it.Next() {
				return nil
			}
		}
		if j := it.Value().(*Job); !p.seen[j] {
			p.seen[j] = true
			return j
		}
	}
}

// compareQueueTerms orders jobs of queues by rank, then by when they are due.
func compareQueueTerms(x, y *Job) int {
	switch {
	case x.Terms.Priority != y.Terms.Priority:
		return cmp.Compare(x.Terms.Priority, y.Terms.Priority)
	case x.Terms.DueAt != y.Terms.DueAt:
		return cmp.Compare(x.Terms.DueAt, y.Terms.DueAt)
	}
	return compareAge(x, y)
}
