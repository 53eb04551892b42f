package state

import (
	"net/http"

	"orchidward/internal/api/identifier"
)

// cancelAck is the response to a cancel.
type cancelAck struct {
	Job   identifier.JobKey `json:"job"`
	State string            `json:"state"`
}

// cancelJob ends a job. Cancelling a job that has ended has no effect.
func (s *Store) cancelJob(command *CancelJob) Result {
	j := s.Jobs[command.Key]
	if j == nil {
		if record, ok := s.Dedup.lookup(command.Key); ok {
			return accepted(http.StatusOK, cancelAck{Job: command.Key, State: string(record.endState())})
		}
		return s.rejectUnknownCancel(command.Key)
	}
	if j.EndState == "" && !j.Cancelled {
		j.Cancelled = true
		s.abortTasks(j, RevokeCancelled)
		s.abortOccurrences(j, RevokeCancelled)
	}
	return accepted(http.StatusOK, cancelAck{Job: command.Key, State: j.State()})
}

// abortTasks cancels every unplaced task of a cancelled or failing job and revokes
// the leases of the placed ones.
func (s *Store) abortTasks(j *Job, reason string) {
	for step, tasks := range j.Steps {
		for num, task := range tasks {
			switch {
			case task.State.Unplaced():
				s.setTaskState(j, identifier.TaskRef{Job: j.Key, Step: step, Num: num}, Cancelled)
				task.Reason = reason
			case task.State == Placed:
				s.revokeLease(s.Leases[task.Lease], reason)
			}
		}
	}
	s.completeJob(j)
}

// completeJob ends the job when all its tasks have ended and none of its leases and
// occurrences is open. It must be called after every change of the job's tasks.
func (s *Store) completeJob(j *Job) {
	s.jobIndex.update(j, s.Now)
	if j.EndState != "" || j.openLeases > 0 || j.Spec.Repeat != nil && !j.occurrencesDone() {
		return
	}
	if !j.allTasksEnded() {
		return
	}
	j.EndState = j.finalState()
	j.EndedAt = s.Now
	j.dropTaskTimings()
	s.jobIndex.markEnded(j)
	s.EndedJobs = append(s.EndedJobs, j.Key)
	s.jobIndex.unfinishedByRow[j.Spec.Row]--
	s.leaveQueue(j)
}

func (j *Job) allTasksEnded() bool {
	for step, tasks := range j.Steps {
		if j.stepCounts[step].ended < len(tasks) {
			return false
		}
	}
	return true
}

// finalState returns the final state of a job whose tasks have all ended.
func (j *Job) finalState() TaskState {
	if j.Failure != "" {
		return Failed
	}
	if j.Spec.Repeat != nil && j.Cancelled {
		return Cancelled
	}
	for step, tasks := range j.Steps {
		if j.stepCounts[step].succeeded < len(tasks) {
			return Cancelled
		}
	}
	return Succeeded
}
