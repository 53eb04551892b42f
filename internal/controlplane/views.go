// What callers and operators read: jobs step by step with the reason a task
// waits, runners with their standing, closings stage by stage.

package controlplane

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
)

// JobDoc is a job as the API returns it. Times are RFC 3339 in UTC; Steps is
// left out of lists. Why says why the job failed, if it did.
type JobDoc struct {
	Job       identifier.JobKey `json:"job"`
	State     string            `json:"state"`
	Pending   identifier.Row    `json:"pending"`
	Urgency   int64             `json:"urgency"`
	Accepted  string            `json:"accepted"`
	NotBefore string            `json:"notBefore,omitempty"`
	Ended     string            `json:"ended,omitempty"`
	Reason    string            `json:"why,omitempty"`
	Steps     []StepDoc         `json:"steps,omitempty"`
}

// StepDoc is one step of a job; Why says what its waiting tasks wait for.
type StepDoc struct {
	Name   string    `json:"name"`
	Reason string    `json:"why,omitempty"`
	Tasks  []TaskDoc `json:"tasks"`
}

// TaskDoc is one task. State is "running" only when the runner has confirmed the
// start, and "stopping" while its lease is being revoked; Why then is the
// reason.
type TaskDoc struct {
	State   string             `json:"state"`
	Runner  identifier.Runner  `json:"runner,omitempty"`
	Lease   identifier.LeaseID `json:"grant,omitempty"`
	Defects int64              `json:"defects"`
	Reason  string             `json:"why,omitempty"`
}

func (s *Server) jobDoc(j *state.Job, full bool) JobDoc {
	d := JobDoc{Job: j.Key, State: j.State(), Pending: j.Spec.Row, Urgency: j.Spec.Urgency, Accepted: state.FormatTime(j.AcceptedAt), Reason: j.Failure}
	if j.StartAt > 0 {
		d.NotBefore = state.FormatTime(j.StartAt)
	}
	if j.EndState != "" {
		d.Ended = state.FormatTime(j.EndedAt)
	}
	if !full {
		return d
	}
	for i, tasks := range j.Steps {
		stepDoc := StepDoc{Name: j.Spec.Steps[i].Name, Tasks: []TaskDoc{}}
		if len(j.WaitingTasks(i)) > 0 {
			stepDoc.Reason = s.waitReason(j, i)
		}
		for _, t := range tasks {
			one := TaskDoc{State: string(t.State), Runner: t.LastRunner, Defects: t.Defects, Reason: t.Reason}
			if g := s.state.Leases[t.Lease]; g != nil && t.State == state.Placed {
				one.Lease = g.ID
				one.Reason = g.RevokeReason
				switch {
				case g.RevokeReason != "":
					one.State = "stopping"
				case s.leader.confirmed[g.ID]:
					one.State = "running"
				}
			}
			stepDoc.Tasks = append(stepDoc.Tasks, one)
		}
		d.Steps = append(d.Steps, stepDoc)
	}
	return d
}

// waitReason says what the step's waiting tasks wait for.
func (s *Server) waitReason(j *state.Job, step int) string {
	switch {
	case j.StartAt > s.leader.clock.timeAt(s.now):
		return "not before " + state.FormatTime(j.StartAt)
	case !j.DependenciesMet(step):
		return fmt.Sprintf("after %v", j.Spec.Steps[step].After)
	case !j.Ready(step):
		return "gang waits for its members to be free"
	}
	if text := s.waitReasons[j.Key][step]; text != "" {
		return text
	}
	return "behind other work of row " + string(j.Spec.Row)
}

func (s *Server) replyJob(c *apiRequest, key identifier.JobKey) {
	if j := s.state.Jobs[key]; j != nil {
		s.replyJSON(c.peer, c.ID, 200, s.jobDoc(j, true))
		return
	}
	if at, end, ok := s.state.RememberedJob(key); ok {
		s.replyJSON(c.peer, c.ID, 200, JobDoc{Job: key, State: string(end), Accepted: state.FormatTime(at), Reason: "details no longer kept"})
		return
	}
	s.replyError(c.peer, c.ID, 404, "no-job", "no such job", 0)
}

// StateDoc is a job's standing in one word.
type StateDoc struct {
	State string `json:"state"`
}

func (s *Server) replyJobState(c *apiRequest, key identifier.JobKey) {
	if j := s.state.Jobs[key]; j != nil {
		s.replyJSON(c.peer, c.ID, 200, StateDoc{j.State()})
		return
	}
	if _, end, ok := s.state.RememberedJob(key); ok {
		s.replyJSON(c.peer, c.ID, 200, StateDoc{string(end)})
		return
	}
	s.replyError(c.peer, c.ID, 404, "no-job", "no such job", 0)
}

func (s *Server) replyQueue(c *apiRequest, name string) {
	if s.state.Catalog == nil || s.state.Catalog.Queue(name) == nil {
		s.replyError(c.peer, c.ID, 404, "no-queue", "no such queue", 0)
		return
	}
	s.replyJSON(c.peer, c.ID, 200, map[string]any{"queue": name, "waiting": s.state.QueuedJobs(name)})
}

func (s *Server) replyCatalog(c *apiRequest) {
	if s.state.Catalog == nil {
		s.replyError(c.peer, c.ID, 404, "no-catalog", "there is no catalogue yet", 0)
		return
	}
	doc := s.state.Catalog.Published()
	s.replyJSON(c.peer, c.ID, 200, &doc)
}

const (
	defaultPageSize = 100
	maxPageSize     = 1000
	maxPageScan     = 20000
)

func (s *Server) replyJobList(c *apiRequest) {
	q, err := url.ParseQuery(c.Query)
	limit := defaultPageSize
	if text := q.Get("limit"); text != "" && err == nil {
		limit, err = strconv.Atoi(text)
	}
	if err != nil || limit < 1 || limit > maxPageSize {
		s.replyError(c.peer, c.ID, 400, "bad-request", "limit wants a number from 1 to 1000", 0)
		return
	}
	out := struct {
		Jobs []JobDoc `json:"jobs"`
		Next string   `json:"next,omitempty"`
	}{Jobs: []JobDoc{}}
	looked := 0
	s.state.JobsAfter(identifier.JobKey(q.Get("after")), func(j *state.Job) bool {
		agent, _ := j.Key.Split()
		looked++
		if matchesFilter(q, "agent", string(agent)) && matchesFilter(q, "pending", string(j.Spec.Row)) && matchesFilter(q, "state", j.State()) {
			out.Jobs = append(out.Jobs, s.jobDoc(j, false))
		}
		if len(out.Jobs) >= limit || looked >= maxPageScan {
			out.Next = string(j.Key)
			return false
		}
		return true
	})
	s.replyJSON(c.peer, c.ID, 200, out)
}

func matchesFilter(q url.Values, key, have string) bool {
	want := q.Get(key)
	return want == "" || want == have
}

// RunnerDoc is a runner as the API returns it. Quiet is the time since its last
// poll in milliseconds, Fence the drain operation that cordons it, Good and Bad
// recent successes and defects.
type RunnerDoc struct {
	Runner     identifier.Runner  `json:"runner"`
	Domain     identifier.Domain  `json:"domain"`
	Rack       identifier.Rack    `json:"rack"`
	Labels     []identifier.Label `json:"labels"`
	Cores      int64              `json:"cores"`
	Mem        int64              `json:"memMb"`
	Used       any                `json:"used"`
	Tasks      int                `json:"tasks"`
	Mode       string             `json:"mode"`
	Gone       bool               `json:"gone"`
	CordonedBy string             `json:"fence,omitempty"`
	SilentFor  clock.Millis       `json:"quietMs"`
	Successes  int64              `json:"well"`
	Defects    int64              `json:"defects"`
}

func (s *Server) runnerDocs() map[string]any {
	list := []RunnerDoc{}
	for _, n := range s.state.RunnerNames() {
		r := s.state.Runners[n]
		d := RunnerDoc{Runner: n, Domain: r.Domain, Rack: r.Rack, Labels: r.Labels, Cores: r.Capacity.Cores, Mem: r.Capacity.Mem, Used: r.Used(),
			Tasks: r.OpenLeases(), Mode: "active", Gone: r.Gone, CordonedBy: r.CordonedBy(), Successes: r.Successes, Defects: r.Defects}
		if r.Draining {
			d.Mode = "draining"
		}
		if c := s.leader.runners[n]; c != nil {
			d.SilentFor = s.now.Since(c.lastHeard)
		}
		list = append(list, d)
	}
	return map[string]any{"runners": list}
}

func (s *Server) drainDocs() map[string]any {
	list := []any{}
	for _, id := range s.state.DrainIDs() {
		list = append(list, s.drainDoc(s.state.Drains[id]))
	}
	return map[string]any{"closings": list}
}

func (s *Server) drainDoc(c *state.Drain) map[string]any {
	var out map[string]any
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	if err = json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	fence := []identifier.Runner{}
	for _, n := range s.state.RunnerNames() {
		if c.Stage.Cordons() && s.state.Runners[n].CordonedBy() != "" && containsRunner(c.Scope, n) {
			fence = append(fence, n)
		}
	}
	free, loose := s.state.OpenLeases(c)
	out["fence"], out["running"], out["stopping"] = fence, len(free), len(loose)
	out["since"] = state.FormatTime(c.StartedAt)
	return out
}

func containsRunner(list []identifier.Runner, n identifier.Runner) bool {
	for _, one := range list {
		if one == n {
			return true
		}
	}
	return false
}

func (s *Server) replyDrain(c *apiRequest, name string) {
	found := s.state.Drains[name]
	if found == nil {
		for _, id := range s.state.DrainIDs() {
			if one := s.state.Drains[id]; one.Kind == state.KindDomain && string(one.Domain) == name {
				found = one
			}
		}
	}
	if found == nil {
		s.replyError(c.peer, c.ID, 404, "no-closing", "no such closing", 0)
		return
	}
	s.replyJSON(c.peer, c.ID, 200, s.drainDoc(found))
}

// ServerDoc is a member as the leader sees it.
//
//revive:disable-next-line:exported Doc alone would not tell it from the other documents here.
type ServerDoc struct {
	raft.Member
	Name      string           `json:"name"`
	Lead      bool             `json:"leads"`
	Match     identifier.Index `json:"match"`
	SilentFor clock.Millis     `json:"quietMs"`
	Level     uint16           `json:"level"`
}

func (s *Server) serverDocs() map[string]any {
	list := []ServerDoc{}
	self, _ := s.raft.Member(s.config.ID)
	list = append(list, ServerDoc{Member: self, Name: self.ID.String(), Lead: true, Match: s.raft.LastIndex(), Level: s.config.Level})
	for _, status := range s.raft.MemberStatuses() {
		list = append(list, ServerDoc{Member: status.Member, Name: status.ID.String(), Match: status.Match, SilentFor: status.SilentFor, Level: status.Level})
	}
	return map[string]any{"keepers": list, "term": s.term, "commit": s.raft.CommitIndex(), "view": s.raft.SnapshotIndex(),
		"gates": s.liveGateways(), "siteTime": state.FormatTime(s.leader.clock.timeAt(s.now)), "level": s.state.Level, "policies": s.policyDocs(), "clocksAgree": s.leader.clock.clocksAgree}
}
