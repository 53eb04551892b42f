package controlplane

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"orchidward/internal/api/identifier"
	"orchidward/internal/state"
)

// JobDoc is a job as the API returns it. Times are RFC 3339 in UTC; Steps is omitted from
// lists. Reason is why the job failed, if it did.
type JobDoc struct {
	Job       identifier.JobKey `json:"job"`
	State     string            `json:"state"`
	Row       identifier.Row    `json:"pending"`
	Urgency   int64             `json:"urgency"`
	Accepted  string            `json:"accepted"`
	NotBefore string            `json:"notBefore,omitempty"`
	Ended     string            `json:"ended,omitempty"`
	Reason    string            `json:"why,omitempty"`
	Steps     []StepDoc         `json:"steps,omitempty"`
	// Timing is how time was spent on the job's critical path. A server that has not
	// followed the job from its acceptance omits it.
	Timing *TimingDoc `json:"timing,omitempty"`
}

// StepDoc is one step of a job. Reason is what its waiting tasks wait for.
type StepDoc struct {
	Name   string    `json:"name"`
	Reason string    `json:"why,omitempty"`
	Tasks  []TaskDoc `json:"tasks"`
	// Timing is set once all tasks of the step have succeeded.
	Timing *StepTimingDoc `json:"timing,omitempty"`
}

// TaskDoc is one task. State is "running" only after the runner has confirmed the start,
// and "stopping" while its lease is revoked but not closed; Reason is then why it was
// revoked.
type TaskDoc struct {
	State   string             `json:"state"`
	Runner  identifier.Runner  `json:"runner,omitempty"`
	Lease   identifier.LeaseID `json:"grant,omitempty"`
	Defects int64              `json:"defects"`
	Reason  string             `json:"why,omitempty"`
}

// States of a task with an open lease, in addition to those of the replicated state.
const (
	taskRunning  = "running"
	taskStopping = "stopping"
)

// JobStateDoc is the state of a job without further details.
type JobStateDoc struct {
	State string `json:"state"`
}

// JobListDoc is a page of jobs. Next is the key to request the next page with, empty on
// the last page.
type JobListDoc struct {
	Jobs []JobDoc `json:"jobs"`
	Next string   `json:"next,omitempty"`
}

// Bounds of a page of jobs, and of the jobs scanned for one.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
	maxPageScan     = 20000
)

// jobSummary returns a job without its steps.
func (s *Server) jobSummary(j *state.Job) JobDoc {
	doc := JobDoc{
		Job:      j.Key,
		State:    j.State(),
		Row:      j.Spec.Row,
		Urgency:  j.Spec.Urgency,
		Accepted: state.FormatTime(j.AcceptedAt),
		Reason:   j.Failure,
	}
	if j.StartAt > 0 {
		doc.NotBefore = state.FormatTime(j.StartAt)
	}
	if j.EndState != "" {
		doc.Ended = state.FormatTime(j.EndedAt)
	}
	return doc
}

// jobDoc returns a job with its steps and tasks.
func (s *Server) jobDoc(j *state.Job) JobDoc {
	doc := s.jobSummary(j)
	for i, tasks := range j.Steps {
		stepDoc := StepDoc{Name: j.Spec.Steps[i].Name, Tasks: []TaskDoc{}}
		if len(j.WaitingTasks(i)) > 0 {
			stepDoc.Reason = s.waitReason(j, i)
		}
		for _, task := range tasks {
			stepDoc.Tasks = append(stepDoc.Tasks, s.taskDoc(task))
		}
		doc.Steps = append(doc.Steps, stepDoc)
	}
	doc.addTiming(j)
	return doc
}

func (s *Server) taskDoc(task *state.Task) TaskDoc {
	doc := TaskDoc{State: string(task.State), Runner: task.LastRunner, Defects: task.Defects, Reason: task.Reason}
	lease := s.state.Leases[task.Lease]
	if lease == nil || task.State != state.Placed {
		return doc
	}
	doc.Lease = lease.ID
	doc.Reason = lease.RevokeReason
	switch {
	case lease.RevokeReason != "":
		doc.State = taskStopping
	case s.leader.leases.confirmed[lease.ID]:
		doc.State = taskRunning
	}
	return doc
}

// waitReason returns what the step's waiting tasks wait for.
func (s *Server) waitReason(j *state.Job, step int) string {
	switch {
	case j.StartAt > s.leader.clock.timeAt(s.now):
		return "not before " + state.FormatTime(j.StartAt)
	case !j.DependenciesMet(step):
		return fmt.Sprintf("after %v", j.Spec.Steps[step].After)
	case !j.Ready(step):
		return "gang waits for its members to be free"
	}
	if reason := s.waitReasons[j.Key][step]; reason != "" {
		return reason
	}
	return "behind other work of row " + string(j.Spec.Row)
}

func (s *Server) replyJob(r *apiRequest, key identifier.JobKey) {
	if j := s.state.Jobs[key]; j != nil {
		s.replyJSON(r.peer, r.ID, http.StatusOK, s.jobDoc(j))
		return
	}
	if acceptedAt, end, ok := s.state.RememberedJob(key); ok {
		doc := JobDoc{Job: key, State: string(end), Accepted: state.FormatTime(acceptedAt), Reason: "details no longer kept"}
		s.replyJSON(r.peer, r.ID, http.StatusOK, doc)
		return
	}
	s.replyError(r.peer, r.ID, errNoJob)
}

func (s *Server) replyJobState(r *apiRequest, key identifier.JobKey) {
	if j := s.state.Jobs[key]; j != nil {
		s.replyJSON(r.peer, r.ID, http.StatusOK, JobStateDoc{j.State()})
		return
	}
	if _, end, ok := s.state.RememberedJob(key); ok {
		s.replyJSON(r.peer, r.ID, http.StatusOK, JobStateDoc{string(end)})
		return
	}
	s.replyError(r.peer, r.ID, errNoJob)
}

// replyJobList answers with a page of the jobs that match the query.
func (s *Server) replyJobList(r *apiRequest) {
	query, err := url.ParseQuery(r.Query)
	limit := defaultPageSize
	if text := query.Get("limit"); text != "" && err == nil {
		limit, err = strconv.Atoi(text)
	}
	if err != nil || limit < 1 || limit > maxPageSize {
		s.replyError(r.peer, r.ID, errPageSize)
		return
	}
	page := JobListDoc{Jobs: []JobDoc{}}
	scanned := 0
	s.state.JobsAfter(identifier.JobKey(query.Get("after")), func(j *state.Job) (more bool) {
		scanned++
		if matchesQuery(query, j) {
			page.Jobs = append(page.Jobs, s.jobSummary(j))
		}
		if len(page.Jobs) >= limit || scanned >= maxPageScan {
			page.Next = string(j.Key)
			return false
		}
		return true
	})
	s.replyJSON(r.peer, r.ID, http.StatusOK, page)
}

// matchesQuery reports whether a job matches a query.
func matchesQuery(query url.Values, j *state.Job) bool {
	client, _ := j.Key.Split()
	return matchesFilter(query, "agent", string(client)) &&
		matchesFilter(query, "pending", string(j.Spec.Row)) &&
		matchesFilter(query, "state", j.State())
}

func matchesFilter(query url.Values, key, have string) bool {
	want := query.Get(key)
	return want == "" || want == have
}
