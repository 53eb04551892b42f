// Repeated jobs. Only the job itself is kept until a time comes; then that time
// becomes a job of its own, due from its appointed moment. Times may overlap.

package state

import (
	"strconv"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// mostSpawn bounds the times that one entry begins.
const mostSpawn = 64

func (j *Job) nextTime() clock.ClusterTime { return j.Spec.Repeat.DueAt(j.Occurrences) }

// timesOver tells whether every time has come and ended, or none is to come.
func (j *Job) timesOver() bool {
	return j.kids == 0 && (j.Cancelled || j.Occurrences >= j.Spec.Repeat.Count)
}

func byDue(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if m, n := x.nextTime(), y.nextTime(); m != n {
		if m < n {
			return -1
		}
		return 1
	}
	return byAge(a, b)
}

// timeKey names one time of a repeated job.
func timeKey(parent identifier.JobKey, k int64) identifier.JobKey {
	return identifier.JobKey(string(parent) + "." + strconv.FormatInt(k, 10))
}

// spawn begins the times that have come.
func (b *Store) spawn() {
	for n := 0; n < mostSpawn; n++ {
		it := b.due.Iterator()
		if !it.Next() {
			return
		}
		j := it.Value().(*Job)
		at := j.nextTime()
		if at > b.Now {
			return
		}
		b.due.Remove(j)
		kid := &Job{Key: timeKey(j.Key, j.Occurrences), Seq: b.NextJobSeq, AcceptedAt: at, Spec: j.Spec, Parent: j.Key}
		kid.Spec.Repeat = nil
		terms := *j.Terms
		terms.DueAt = at.Add(terms.Target)
		kid.Terms = &terms
		b.NextJobSeq++
		j.Occurrences++
		j.kids++
		if j.Occurrences < j.Spec.Repeat.Count {
			b.due.Add(j)
		}
		b.enter(kid)
		b.fold(kid.Seq)
	}
}

// timeOver hears that one time has ended.
func (b *Store) timeOver(kid *Job) {
	j := b.Jobs[kid.Parent]
	if j == nil {
		return
	}
	j.kids--
	if kid.EndState == Failed && j.Failure == "" {
		j.Failure = kid.Failure
	}
	b.settle(j)
}

// haltTimes cancels the times under way; no further one comes.
func (b *Store) haltTimes(j *Job, why string) {
	if j.Spec.Repeat == nil {
		return
	}
	b.due.Remove(j)
	for k := int64(0); k < j.Occurrences; k++ {
		if kid := b.Jobs[timeKey(j.Key, k)]; kid != nil && kid.EndState == "" {
			kid.Cancelled = true
			b.halt(kid, why)
		}
	}
	b.settle(j)
}

// recount derives what is known of queues and times from the jobs alone.
func (b *Store) recount() {
	for _, j := range b.Jobs {
		if j.Terms == nil || j.EndState != "" {
			continue
		}
		if j.Parent != "" {
			if p := b.Jobs[j.Parent]; p != nil {
				p.kids++
			}
			continue
		}
		b.queued[j.Terms.Queue]++
		if j.Spec.Repeat != nil && !j.Cancelled && j.Occurrences < j.Spec.Repeat.Count {
			b.due.Add(j)
		}
	}
}
