package state

import (
	"strconv"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// maxOccurrencesPerCommand bounds the occurrences that one command starts.
const maxOccurrencesPerCommand = 64

// nextOccurrence returns the scheduled time of the next occurrence of a repeated job.
func (j *Job) nextOccurrence() clock.ClusterTime { return j.Spec.Repeat.DueAt(j.Occurrences) }

// moreOccurrences reports whether a repeated job has occurrences that have not started.
func (j *Job) moreOccurrences() bool { return j.Occurrences < j.Spec.Repeat.Count }

// occurrencesDone reports whether no occurrence is open and no more will be started.
func (j *Job) occurrencesDone() bool {
	return j.openOccurrences == 0 && (j.Cancelled || !j.moreOccurrences())
}

// occurrenceKey returns the key of one occurrence of a repeated job, numbered from 0.
func occurrenceKey(parent identifier.JobKey, number int64) identifier.JobKey {
	return identifier.JobKey(string(parent) + "." + strconv.FormatInt(number, 10))
}

// startDueOccurrences creates a separate job for each occurrence that is due. Occurrences
// of one job may overlap.
func (s *Store) startDueOccurrences() {
	for range maxOccurrencesPerCommand {
		parent := s.jobIndex.nextRepeating()
		if parent == nil {
			return
		}
		dueAt := parent.nextOccurrence()
		if dueAt > s.Now {
			return
		}
		s.startOccurrence(parent, dueAt)
	}
}

func (s *Store) startOccurrence(parent *Job, dueAt clock.ClusterTime) {
	terms := *parent.Terms
	terms.DueAt = dueAt.Add(terms.Target)
	occurrence := &Job{
		Key:        occurrenceKey(parent.Key, parent.Occurrences),
		Seq:        s.NextJobSeq,
		AcceptedAt: dueAt,
		Spec:       parent.Spec,
		Terms:      &terms,
		Parent:     parent.Key,
	}
	occurrence.Spec.Repeat = nil
	s.NextJobSeq++

	s.jobIndex.repeating.Remove(parent)
	parent.Occurrences++
	parent.openOccurrences++
	if parent.moreOccurrences() {
		s.jobIndex.repeating.Add(parent)
	}
	s.addJob(occurrence)
	s.foldChecksum(occurrence.Seq)
}

// occurrenceEnded updates the repeated job after one of its occurrences has ended.
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

// abortOccurrences cancels the open occurrences of a repeated job and prevents further
// ones from starting.
func (s *Store) abortOccurrences(j *Job, reason string) {
	if j.Spec.Repeat == nil {
		return
	}
	s.jobIndex.repeating.Remove(j)
	for number := range j.Occurrences {
		occurrence := s.Jobs[occurrenceKey(j.Key, number)]
		if occurrence != nil && occurrence.EndState == "" {
			occurrence.Cancelled = true
			s.abortTasks(occurrence, reason)
		}
	}
	s.completeJob(j)
}

// indexQueueJobs counts the unfinished jobs of queues and the open occurrences of
// repeated jobs, and indexes the repeated jobs by their next occurrence.
func (s *Store) indexQueueJobs() {
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
		s.jobIndex.unfinishedByQueue[j.Terms.Queue]++
		if j.Spec.Repeat != nil && !j.Cancelled && j.moreOccurrences() {
			s.jobIndex.repeating.Add(j)
		}
	}
}

// addRepeatedJob adds the repeated job itself, which has no tasks; its occurrences are
// created when they are due.
func (s *Store) addRepeatedJob(j *Job) {
	s.Jobs[j.Key] = j
	s.jobIndex.add(j)
	s.jobIndex.repeating.Add(j)
}
