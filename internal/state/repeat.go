// Repeated jobs. Only the job itself is kept until a time comes; then that time
// becomes a job of its own, due from its appointed moment. Times may overlap.

package state

import (
	"strconv"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// maxOccurrencesPerCommand bounds the times that one entry begins.
const maxOccurrencesPerCommand = 64

func (j *Job) nextOccurrence() clock.ClusterTime { return j.Spec.Repeat.DueAt(j.Occurrences) }

// occurrencesDone tells whether every time has come and ended, or none is to come.
func (j *Job) occurrencesDone() bool {
	return j.openOccurrences == 0 && (j.Cancelled || j.Occurrences >= j.Spec.Repeat.Count)
}

func compareNextOccurrence(a, b any) int {
	x, y := a.(*Job), b.(*Job)
	if m, n := x.nextOccurrence(), y.nextOccurrence(); m != n {
		if m < n {
			return -1
		}
		return 1
	}
	return compareAge(a, b)
}

// occurrenceKey names one time of a repeated job.
func occurrenceKey(parent identifier.JobKey, k int64) identifier.JobKey {
	return identifier.JobKey(string(parent) + "." + strconv.FormatInt(k, 10))
}

// startDueOccurrences begins the times that have come.
func (s *Store) startDueOccurrences() {
	for n := 0; n < maxOccurrencesPerCommand; n++ {
		it := s.repeating.Iterator()
		if !it.Next() {
			return
		}
		parent := it.Value().(*Job)
		dueAt := parent.nextOccurrence()
		if dueAt > s.Now {
			return
		}
		s.repeating.Remove(parent)
		occurrence := &Job{Key: occurrenceKey(parent.Key, parent.Occurrences), Seq: s.NextJobSeq, AcceptedAt: dueAt, Spec: parent.Spec, Parent: parent.Key}
		occurrence.Spec.Repeat = nil
		terms := *parent.Terms
		terms.DueAt = dueAt.Add(terms.Target)
		occurrence.Terms = &terms
		s.NextJobSeq++
		parent.Occurrences++
		parent.openOccurrences++
		if parent.Occurrences < parent.Spec.Repeat.Count {
			s.repeating.Add(parent)
		}
		s.addJob(occurrence)
		s.foldChecksum(occurrence.Seq)
	}
}

// occurrenceEnded hears that one time has ended.
func (s *Store) occurrenceEnded(occurrence *Job) {
	parent := s.Jobs[occurrence.Parent]
	if parent == nil {
		return
	}
	parent.openOccurrences--
	if occurrence.EndState == Failed && parent.Failure == "" {
		parent.Failure = occurrence.Failure
	}
	s.completeJob(parent)
}

// abortOccurrences cancels the times under way; no further one comes.
func (s *Store) abortOccurrences(j *Job, reason string) {
	if j.Spec.Repeat == nil {
		return
	}
	s.repeating.Remove(j)
	for number := int64(0); number < j.Occurrences; number++ {
		if occurrence := s.Jobs[occurrenceKey(j.Key, number)]; occurrence != nil && occurrence.EndState == "" {
			occurrence.Cancelled = true
			s.abortTasks(occurrence, reason)
		}
	}
	s.completeJob(j)
}

// rebuildQueueIndexes derives what is known of queues and times from the jobs alone.
func (s *Store) rebuildQueueIndexes() {
	for _, j := range s.Jobs {
		if j.Terms == nil || j.EndState != "" {
			continue
		}
		if j.Parent != "" {
			if parent := s.Jobs[j.Parent]; parent != nil {
				parent.openOccurrences++
			}
			continue
		}
		s.queuedJobs[j.Terms.Queue]++
		if j.Spec.Repeat != nil && !j.Cancelled && j.Occurrences < j.Spec.Repeat.Count {
			s.repeating.Add(j)
		}
	}
}
