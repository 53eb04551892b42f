// Requests that gates bring. A keeper that does not lead passes them on once,
// or says so; a request it has given up on is answered at once.

package controlplane

import (
	"encoding/json"
	"slices"
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

func (s *Server) handleRequest(from wire.Peer, a *wire.Request) {
	if s.isActiveLeader() {
		if s.orderExpired(a) {
			s.replyExpired(from, a.ID)
			return
		}
		s.routeRequest(from, a)
		return
	}
	mem, ok := s.currentLeader()
	if !ok || mem.ID == s.config.ID || mem.Addr == "" || a.Hops > 0 || len(s.forwarded) >= maxProposals || s.leaderContact.lost {
		s.send(from, wire.Message{Response: &wire.Response{ID: a.ID, Status: 503, NotLeader: true, RetryAfter: 200}})
		return
	}
	s.nextID++
	pass := *a
	pass.ID, pass.Hops = s.nextID, a.Hops+1
	s.stampLeaderTime(from, &pass)
	to := wire.Peer(mem.Addr)
	s.leaderContact.requestSent(s.now, len(s.forwarded) == 0)
	s.forwarded[s.nextID] = forwardedRequest{from, a.ID, to, s.now.Add(max(a.Budget, 500))}
	s.send(to, wire.Message{Request: &pass})
}

// forwardResponse hands the reply to a request that was passed on to whoever made it.
// A reply from anybody but the one it was passed to answers something else.
func (s *Server) forwardResponse(from wire.Peer, r *wire.Response) {
	v, ok := s.forwarded[r.ID]
	if !ok || v.to != from {
		return
	}
	delete(s.forwarded, r.ID)
	s.observeLeaderTime(r.LeaderTime)
	back := *r
	back.ID = v.id
	s.send(v.peer, wire.Message{Response: &back})
}

// failForwardedExcept answers the requests that were passed on to anybody but this leader:
// what became of them is not known here, and waiting tells no more.
func (s *Server) failForwardedExcept(leader wire.Peer) {
	for _, id := range s.forwardedIDs() {
		v := s.forwarded[id]
		if v.to == leader {
			continue
		}
		delete(s.forwarded, id)
		s.replyError(v.peer, v.id, 504, "leader-changed", "the outcome is not known here; ask again", leaderChangedRetryAfter)
	}
}

// forwardedIDs lists the requests that were passed on, in the order they were.
func (s *Server) forwardedIDs() []uint64 {
	var list []uint64
	for id := range s.forwarded {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// forgetExpired forgets relays whose asker has long given up, and gates long gone.
func (s *Server) forgetExpired() {
	for g, at := range s.gatewayClients {
		if s.now.Since(at) > gatewayLife {
			delete(s.gatewayClients, g)
		}
	}
	for g, at := range s.gatewayPeers {
		if s.now.Since(at) > gatewayLife {
			delete(s.gatewayPeers, g)
		}
	}
	for id, v := range s.forwarded {
		if s.now > v.expires {
			delete(s.forwarded, id)
		}
	}
}

// apiRequest is one request being routed.
type apiRequest struct {
	peer wire.Peer
	*wire.Request
	parts []string
}

func (s *Server) routeRequest(from wire.Peer, a *wire.Request) {
	c := &apiRequest{peer: from, Request: a, parts: strings.Split(strings.Trim(a.Path, "/"), "/")}
	switch {
	case a.Method == "JOIN":
		s.handleJoin(c)
		return
	case a.Method == "SYNC":
		s.handleSync(c)
		return
	case a.Epoch != 0 && a.Epoch != s.state.Limits.Epoch:
		s.send(from, wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true, Body: s.staleBody(a)}})
		return
	case len(c.parts) < 2 || c.parts[0] != "v1":
		s.replyError(from, a.ID, 404, "no-such-path", "no such path", 0)
		return
	}
	kind, n := c.parts[1], len(c.parts)
	switch {
	case kind == "jobs" && n == 2 && a.Method == "GET":
		s.replyJobList(c)
	case kind == "states" && n == 4 && a.Method == "GET":
		s.replyJobState(c, identifier.NewJobKey(identifier.Client(c.parts[2]), identifier.JobID(c.parts[3])))
	case kind == "fence" && n == 2 && a.Method == "GET":
		s.replyJSON(from, a.ID, 200, runnerapi.PollResponse{FencingToken: uint64(s.term)})
	case kind == "queues" && n == 3 && a.Method == "GET":
		s.replyQueue(c, c.parts[2])
	case kind == "catalog" && n == 2:
		s.handleCatalog(c)
	case kind == "jobs" && n == 4:
		s.handleJob(c, identifier.NewJobKey(identifier.Client(c.parts[2]), identifier.JobID(c.parts[3])))
	case kind == "runners" && n == 2 && a.Method == "GET":
		s.replyJSON(from, a.ID, 200, s.runnerDocs())
	case kind == "runners" && n == 4 && c.parts[3] == "poll" && a.Method == "POST":
		s.handlePoll(from, a.ID, identifier.Runner(c.parts[2]), a.Body)
	case kind == "table" && n == 2:
		s.handleLimits(c)
	case kind == "closings" && n == 2 && a.Method == "GET":
		s.replyJSON(from, a.ID, 200, s.drainDocs())
	case kind == "closings" && n == 3:
		s.handleDrain(c, c.parts[2])
	case kind == "keepers" && n == 2 && a.Method == "GET":
		s.replyJSON(from, a.ID, 200, s.serverDocs())
	default:
		s.replyError(from, a.ID, 404, "no-such-path", "no such path or method", 0)
	}
}

// proposeFor proposes a command and lets the request wait for its outcome.
func (s *Server) proposeFor(c *apiRequest, cmd *state.Command) {
	if len(s.proposals) >= maxProposals || s.proposalBytes+len(c.Body) > maxProposalBytes {
		s.replyError(c.peer, c.ID, 503, "busy", "too many requests under way", 1000)
		return
	}
	i := s.propose(cmd)
	table := cmd.ChangeLimits != nil || cmd.ChangeCatalog != nil
	s.proposals[i] = proposal{peer: c.peer, id: c.ID, term: s.term, configChange: table, size: len(c.Body)}
	s.proposalBytes += len(c.Body)
	if table {
		s.configChanges++
	}
}

func (s *Server) replyResult(peer wire.Peer, id uint64, res state.Result) {
	if !res.OK() {
		s.reply(peer, id, res.Status, jsondoc.ErrorBody{Code: res.Code, Message: res.Message, Faults: res.Body, RetryAfter: res.RetryAfter}.JSON(), res.RetryAfter)
		return
	}
	s.replyJSON(peer, id, res.Status, res.Body)
}

func (s *Server) handleJob(c *apiRequest, key identifier.JobKey) {
	switch c.Method {
	case "PUT":
		var f jsondoc.FieldErrors
		spec := job.Read(c.Body, &f)
		if f.Any() {
			s.reply(c.peer, c.ID, f.Status(), f.ErrorBody(), 0)
			return
		}
		if spec.Queue != "" && s.state.Level < state.CatalogLevel {
			s.replyLevelTooLow(c)
			return
		}
		if spec.HasStartTime() && !s.leader.clock.canAppoint && s.state.Jobs[key] == nil {
			s.replyError(c.peer, c.ID, 503, "time-unsure", "the keepers' clocks have yet to agree; no start can be appointed", 1000)
			return
		}
		s.proposeFor(c, &state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: *spec}})
	case "DELETE":
		if j := s.state.Jobs[key]; j != nil && j.EndState != "" {
			s.replyJSON(c.peer, c.ID, 200, map[string]string{"job": string(key), "state": j.State()})
			return
		}
		s.proposeFor(c, &state.Command{CancelJob: &state.CancelJob{Key: key}})
	case "GET":
		s.replyJob(c, key)
	default:
		s.replyError(c.peer, c.ID, 405, "bad-method", "want PUT, GET or DELETE", 0)
	}
}

// replyLevelTooLow refuses what some keeper does not know yet.
func (s *Server) replyLevelTooLow(c *apiRequest) {
	s.replyError(c.peer, c.ID, 503, "level", "queues wait until every keeper has been upgraded", 500)
}

// readChange reads a change by its verb, whole or as a patch; what can't be read
// is answered here.
func readChange[T any](s *Server, c *apiRequest, whole, patch func(text []byte, f *jsondoc.FieldErrors) *T) (ch *T, ok bool) {
	var f jsondoc.FieldErrors
	switch c.Method {
	case "PUT":
		ch = whole(c.Body, &f)
	case "PATCH":
		ch = patch(c.Body, &f)
	default:
		s.replyError(c.peer, c.ID, 405, "bad-method", "want GET, PUT or PATCH", 0)
		return nil, false
	}
	if f.Any() {
		s.reply(c.peer, c.ID, f.Status(), f.ErrorBody(), 0)
		return nil, false
	}
	return ch, true
}

func (s *Server) handleCatalog(c *apiRequest) {
	if c.Method == "GET" {
		s.replyCatalog(c)
		return
	}
	ch, ok := readChange(s, c, catalog.ReadWhole, catalog.ReadPatch)
	switch {
	case !ok:
	case s.state.Level < state.CatalogLevel:
		s.replyLevelTooLow(c)
	case s.configChanges >= maxConfigChanges:
		s.replyError(c.peer, c.ID, 429, "catalog-busy", "too many changes under way", 500)
	default:
		s.proposeFor(c, &state.Command{ChangeCatalog: ch})
	}
}

func (s *Server) handleLimits(c *apiRequest) {
	if c.Method == "GET" {
		s.reply(c.peer, c.ID, 200, s.state.Limits.JSON(), 0)
		return
	}
	ch, ok := readChange(s, c, limits.ReadWhole, limits.ReadPatch)
	switch {
	case !ok:
	case ch.TouchesPolicies() && s.state.Level < state.PolicyLevel:
		s.replyError(c.peer, c.ID, 409, "level", "policies wait until every keeper has been upgraded", 5000)
	case s.configChanges >= maxConfigChanges:
		s.replyError(c.peer, c.ID, 429, "table-busy", "too many table changes under way", 500)
	default:
		s.proposeFor(c, &state.Command{ChangeLimits: ch})
	}
}

func (s *Server) handleDrain(c *apiRequest, name string) {
	switch c.Method {
	case "GET":
		s.replyDrain(c, name)
	case "PUT":
		var f jsondoc.FieldErrors
		id, unseen := "", false
		if len(c.Body) > 0 {
			if o := jsondoc.Parse(c.Body, &f); o != nil {
				id = o.Name("id", false)
				unseen = o.Bool("unseen", false) && s.state.Level >= state.CatalogLevel
				o.Done()
			}
		}
		if !identifier.ValidName(name) {
			f.Invalid("domain", "not a name")
		}
		if f.Any() {
			s.reply(c.peer, c.ID, f.Status(), f.ErrorBody(), 0)
			return
		}
		s.proposeFor(c, &state.Command{StartDrain: &state.StartDrain{Domain: identifier.Domain(name), ID: id, AllowUnknown: unseen}})
	case "DELETE":
		s.proposeFor(c, &state.Command{EndDrain: &state.EndDrain{Name: name}})
	default:
		s.replyError(c.peer, c.ID, 405, "bad-method", "want GET, PUT or DELETE", 0)
	}
}

// handleJoin takes a keeper with an empty folder in as a learner, or notes a
// member's new address. Asking again does no harm.
func (s *Server) handleJoin(c *apiRequest) {
	var j joinRequest
	if err := json.Unmarshal(c.Body, &j); err != nil {
		s.replyError(c.peer, c.ID, 400, "bad-request", "join does not parse", 0)
		return
	}
	id, ok := identifier.ParseNode(j.ID)
	if !ok || j.Addr == "" {
		s.replyError(c.peer, c.ID, 422, "unprocessable", "join lacks an identity or an address", 0)
		return
	}
	if j.Level < s.state.Level {
		s.logEvent("join-refused", "node", id, "level", j.Level, "want", s.state.Level)
		s.replyError(c.peer, c.ID, 409, "too-old", "the group's level is above this program's", 0)
		return
	}
	next, had, learners := []raft.Member{}, false, 0
	for _, mem := range s.raft.Members() {
		if !mem.Voter {
			learners++
		}
		if mem.ID == id {
			had = true
			mem.Addr, mem.Domain = j.Addr, j.Domain
		}
		next = append(next, mem)
	}
	if !had {
		if learners >= maxLearners {
			s.replyError(c.peer, c.ID, 503, "seats-full", "enough learners are waiting for a seat", 5000)
			return
		}
		next = append(next, raft.Member{ID: id, Addr: j.Addr, Domain: j.Domain})
	}
	s.raft.ProposeMembers(next)
	s.replyJSON(c.peer, c.ID, 202, map[string]bool{"asked": true})
}
