// A lane orders the jobs of one row that have something to place: by urgency
// and then by age, and once more by age alone, so that a stream of urgent work
// cannot starve the rest of its row.

package state

import (
	"cmp"

	"github.com/emirpasic/gods/sets/treeset"
)

type lane struct {
	urgent *treeset.Set
	aged   *treeset.Set
}

func byUrgency(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if x.Terms != nil && y.Terms != nil {
		return byTerms(x, y)
	}
	if x.Spec.Urgency != y.Spec.Urgency {
		if x.Spec.Urgency > y.Spec.Urgency {
			return -1
		}
		return 1
	}
	return byAge(a, b)
}

func byAge(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	switch {
	case x.Seq < y.Seq:
		return -1
	case x.Seq > y.Seq:
		return 1
	}
	return 0
}

func byStart(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if x.StartAt != y.StartAt {
		if x.StartAt < y.StartAt {
			return -1
		}
		return 1
	}
	return byAge(a, b)
}

func newLane() *lane {
	return &lane{urgent: treeset.NewWith(byUrgency), aged: treeset.NewWith(byAge)}
}

func (l *lane) add(j *Job) {
	l.urgent.Add(j)
	l.aged.Add(j)
}

func (l *lane) drop(j *Job) {
	l.urgent.Remove(j)
	l.aged.Remove(j)
}

// PendingIterator yields the row's jobs in the order they should bid, every fourth one
// taken by age alone.
type PendingIterator struct {
	urgent, aged treeset.Iterator
	seen         map[*Job]bool
	n            int
}

// Next returns the next job, each one once, or nil at the end.
func (w *PendingIterator) Next() *Job {
	for {
		it := &w.urgent
		if w.n++; w.n%4 == 0 {
			it = &w.aged
		}
		if !it.Next() {
			other := &w.aged
			if it == other {
				other = &w.urgent
			}
			if it = other; !it.Next() {
				return nil
			}
		}
		if j := it.Value().(*Job); !w.seen[j] {
			w.seen[j] = true
			return j
		}
	}
}

// byTerms orders jobs of queues by rank, then by when they are due.
func byTerms(x, y *Job) int {
	switch {
	case x.Terms.Priority != y.Terms.Priority:
		return cmp.Compare(x.Terms.Priority, y.Terms.Priority)
	case x.Terms.DueAt != y.Terms.DueAt:
		return cmp.Compare(x.Terms.DueAt, y.Terms.DueAt)
	}
	return byAge(x, y)
}
