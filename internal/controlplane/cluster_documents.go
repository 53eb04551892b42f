package controlplane

import (
	"net/http"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
)

// QueueDoc is a queue as the API returns it. Waiting is the number of its unfinished
// jobs.
type QueueDoc struct {
	Queue   string `json:"queue"`
	Waiting int64  `json:"waiting"`
}

func (s *Server) replyQueue(r *apiRequest, name string) {
	if s.state.Catalog == nil || s.state.Catalog.Queue(name) == nil {
		s.replyError(r.peer, r.ID, errNoQueue)
		return
	}
	s.replyJSON(r.peer, r.ID, http.StatusOK, QueueDoc{Queue: name, Waiting: s.state.QueuedJobs(name)})
}

func (s *Server) replyCatalog(r *apiRequest) {
	if s.state.Catalog == nil {
		s.replyError(r.peer, r.ID, errNoCatalog)
		return
	}
	published := s.state.Catalog.Published()
	s.replyJSON(r.peer, r.ID, http.StatusOK, &published)
}

// RunnerDoc is a runner as the API returns it. SilentFor is the time since its last poll
// in milliseconds, CordonedBy the drain that cordons it; Successes and Defects count
// recent attempts.
type RunnerDoc struct {
	Runner     identifier.Runner  `json:"runner"`
	Domain     identifier.Domain  `json:"domain"`
	Rack       identifier.Rack    `json:"rack"`
	Labels     []identifier.Label `json:"labels"`
	Cores      int64              `json:"cores"`
	Mem        int64              `json:"memMb"`
	Used       job.Demand         `json:"used"`
	Tasks      int                `json:"tasks"`
	Mode       string             `json:"mode"`
	Gone       bool               `json:"gone"`
	CordonedBy string             `json:"fence,omitempty"`
	SilentFor  clock.Millis       `json:"quietMs"`
	Successes  int64              `json:"well"`
	Defects    int64              `json:"defects"`
}

// RunnersDoc lists the runners in order of name.
type RunnersDoc struct {
	Runners []RunnerDoc `json:"runners"`
}

func (s *Server) runnerDocs() RunnersDoc {
	list := []RunnerDoc{}
	for _, name := range s.state.RunnerNames() {
		list = append(list, s.runnerDoc(name))
	}
	return RunnersDoc{list}
}

func (s *Server) runnerDoc(name identifier.Runner) RunnerDoc {
	runner := s.state.Runners[name]
	doc := RunnerDoc{
		Runner:     name,
		Domain:     runner.Domain,
		Rack:       runner.Rack,
		Labels:     runner.Labels,
		Cores:      runner.Capacity.Cores,
		Mem:        runner.Capacity.Mem,
		Used:       runner.Used(),
		Tasks:      runner.OpenLeases(),
		Mode:       runnerapi.ModeActive,
		Gone:       runner.Gone,
		CordonedBy: runner.CordonedBy(),
		Successes:  runner.Successes,
		Defects:    runner.Defects,
	}
	if runner.Draining {
		doc.Mode = runnerapi.ModeDraining
	}
	if contact := s.leader.runners[name]; contact != nil {
		doc.SilentFor = s.now.Since(contact.lastHeard)
	}
	return doc
}

// DrainDoc is a drain as the API returns it: its state, the runners that it cordons, and
// how many of their leases are still running (not revoked) or stopping (revoked but not
// closed).
type DrainDoc struct {
	*state.Drain
	Cordoned []identifier.Runner `json:"fence"`
	Running  int                 `json:"running"`
	Stopping int                 `json:"stopping"`
	Since    string              `json:"since"`
}

// DrainsDoc lists the drains in order of their start.
type DrainsDoc struct {
	Drains []DrainDoc `json:"closings"`
}

func (s *Server) drainDocs() DrainsDoc {
	list := []DrainDoc{}
	for _, id := range s.state.DrainIDs() {
		list = append(list, s.drainDoc(s.state.Drains[id]))
	}
	return DrainsDoc{list}
}

func (s *Server) drainDoc(drain *state.Drain) DrainDoc {
	cordoned := []identifier.Runner{}
	for _, name := range s.state.RunnerNames() {
		if drain.Stage.Cordons() && s.state.Runners[name].CordonedBy() != "" && slices.Contains(drain.Scope, name) {
			cordoned = append(cordoned, name)
		}
	}
	running, stopping := s.state.OpenLeases(drain)
	return DrainDoc{
		Drain:    drain,
		Cordoned: cordoned,
		Running:  len(running),
		Stopping: len(stopping),
		Since:    state.FormatTime(drain.StartedAt),
	}
}

// replyDrain answers with the drain that has the given id, or with the latest drain of
// the zone of that name.
func (s *Server) replyDrain(r *apiRequest, name string) {
	found := s.state.Drains[name]
	if found == nil {
		for _, id := range s.state.DrainIDs() {
			drain := s.state.Drains[id]
			if drain.Kind == state.KindDomain && string(drain.Domain) == name {
				found = drain
			}
		}
	}
	if found == nil {
		s.replyError(r.peer, r.ID, errNoDrain)
		return
	}
	s.replyJSON(r.peer, r.ID, http.StatusOK, s.drainDoc(found))
}

// ServerDoc is a member of the group as the leader sees it. SilentFor is in milliseconds.
//
//revive:disable-next-line:exported Doc alone would not tell it from the other documents here.
type ServerDoc struct {
	raft.Member
	Name      string           `json:"name"`
	Leads     bool             `json:"leads"`
	Match     identifier.Index `json:"match"`
	SilentFor clock.Millis     `json:"quietMs"`
	Level     uint16           `json:"level"`
	// Heard means that the leader has heard from the server since it began to lead.
	Heard bool `json:"heard"`
}

// ServersDoc is the group as its leader sees it. Snapshot is the index that the newest
// snapshot covers, ClusterTime is RFC 3339 in UTC.
//
//revive:disable-next-line:exported Doc alone would not tell it from the other documents here.
type ServersDoc struct {
	ClocksAgree bool             `json:"clocksAgree"`
	Commit      identifier.Index `json:"commit"`
	Gateways    []string         `json:"gates"`
	Servers     []ServerDoc      `json:"keepers"`
	Level       uint16           `json:"level"`
	Policies    []PolicyDoc      `json:"policies"`
	ClusterTime string           `json:"siteTime"`
	Term        identifier.Term  `json:"term"`
	Snapshot    identifier.Index `json:"view"`
}

func (s *Server) serverDocs() ServersDoc {
	self, _ := s.raft.Member(s.config.ID)
	list := []ServerDoc{{Member: self, Name: self.ID.String(), Leads: true, Match: s.raft.LastIndex(), Level: s.config.Level, Heard: true}}
	for _, status := range s.raft.MemberStatuses() {
		list = append(list, ServerDoc{
			Member:    status.Member,
			Name:      status.ID.String(),
			Match:     status.Match,
			SilentFor: status.SilentFor,
			Level:     status.Level,
			Heard:     status.WallTimeReadAt != 0,
		})
	}
	return ServersDoc{
		ClocksAgree: s.leader.clock.clocksAgree,
		Commit:      s.raft.CommitIndex(),
		Gateways:    s.gateways.liveClientAddrs(s.now),
		Servers:     list,
		Level:       s.state.Level,
		Policies:    s.policyDocs(),
		ClusterTime: state.FormatTime(s.leader.clock.timeAt(s.now)),
		Term:        s.term,
		Snapshot:    s.raft.SnapshotIndex(),
	}
}
