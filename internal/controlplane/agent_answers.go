package controlplane

import (
	"net/http"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
)

// observedThrough returns the highest sequence number such that every end up to it is
// committed or no longer expected.
func (s *Server) observedThrough(name identifier.Runner, contact *runnerContact) uint64 {
	observed := contact.agent.sentObservedThrough
	for _, end := range contact.agent.ends {
		if end.lease != 0 && s.state.AcceptsEnd(name, contact.incarnation, end.lease, end.task) {
			return observed
		}
		observed = max(observed, end.seq)
	}
	return observed
}

// maxStartsBytes bounds the starts in one response, in bytes before they are encoded, so that
// the response fits into a frame. The agent polls again at once for the others.
const maxStartsBytes = 1 << 20

// answerAgentPoll answers an agent's open poll if there is something to send that was not
// sent before, or the poll has timed out.
func (s *Server) answerAgentPoll(name identifier.Runner, contact *runnerContact, response *runnerapi.PollResponse, timeout clock.Millis) {
	agent := contact.agent
	response.StopRuns = s.runsToStop(agent, response.Stops)
	response.Stops = nil
	response.ObservedThrough = s.observedThrough(name, contact)
	fresh := len(response.Starts) > 0 || response.ObservedThrough > agent.sentObservedThrough
	for _, run := range response.StopRuns {
		fresh = fresh || !agent.sentStops[run]
	}
	if !fresh && s.now.Since(contact.poll.since) < timeout {
		return
	}
	contact.poll.open = false
	agent.sentObservedThrough = response.ObservedThrough
	clear(agent.sentStops)
	for _, run := range response.StopRuns {
		agent.sentStops[run] = true
	}
	for i := range response.Starts {
		s.fillAgentStart(&response.Starts[i])
	}
	response.Starts = runnerapi.LimitStarts(response.Starts, maxStartsBytes)
	empty := s.emptyPollResponse(contact)
	response.Lease = empty.Lease
	response.StartTimeout = empty.StartTimeout
	response.FencingToken = empty.FencingToken
	response.Servers = empty.Servers
	s.replyJSON(contact.poll.peer, contact.poll.id, http.StatusOK, response)
}

// runsToStop lists the attempts of the given leases, and those unknown to the state.
func (s *Server) runsToStop(agent *agentRunner, leases []identifier.LeaseID) []runnerapi.RunStop {
	var list []runnerapi.RunStop
	for _, id := range leases {
		var name runnerapi.RunStop
		if run := agent.runs[id]; run != nil {
			name = run.name
		} else if lease := s.state.Leases[id]; lease != nil {
			name = runnerapi.RunStop{Task: s.state.AgentTaskRef(lease.Task), Attempt: lease.Attempt}
		}
		list = append(list, name)
	}
	return append(list, agent.unknownRuns...)
}

// fillAgentStart adds the fields of an agent's start order that come from its job.
func (s *Server) fillAgentStart(start *runnerapi.Start) {
	if j := s.state.Jobs[start.Task.Job]; j != nil {
		start.Payload = j.Spec.Payload
		start.Checkpoint = j.Task(start.Task).Checkpoint
		start.Task = s.state.AgentTaskRef(start.Task)
	}
}

// serverAddrs lists the addresses of the group's members, this leader first.
func (s *Server) serverAddrs() []string {
	list := []string{s.config.Addr}
	for _, member := range s.raft.Members() {
		if member.ID != s.config.ID {
			list = append(list, member.Addr)
		}
	}
	return list
}
