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

func (m *Server) ask(from wire.Peer, a *wire.Request) {
	if m.leads() {
		if m.expired(a) {
			m.refuseExpired(from, a.ID)
			return
		}
		m.route(from, a)
		return
	}
	mem, ok := m.leader()
	if !ok || mem.ID == m.config.ID || mem.Addr == "" || a.Hops > 0 || len(m.relays) >= mostWaits || m.reach.lost {
		m.send(from, wire.Message{Response: &wire.Response{ID: a.ID, Status: 503, NotLeader: true, RetryAfter: 200}})
		return
	}
	m.nextID++
	pass := *a
	pass.ID, pass.Hops = m.nextID, a.Hops+1
	m.date(from, &pass)
	to := wire.Peer(mem.Addr)
	m.reach.passed(m.now, len(m.relays) == 0)
	m.relays[m.nextID] = relay{from, a.ID, to, m.now.Add(max(a.Budget, 500))}
	m.send(to, wire.Message{Request: &pass})
}

// passBack hands the reply to a request that was passed on to whoever made it.
// A reply from anybody but the one it was passed to answers something else.
func (m *Server) passBack(from wire.Peer, r *wire.Response) {
	v, ok := m.relays[r.ID]
	if !ok || v.to != from {
		return
	}
	delete(m.relays, r.ID)
	m.heardLeader(r.LeaderTime)
	back := *r
	back.ID = v.id
	m.send(v.peer, wire.Message{Response: &back})
}

// abandon answers the requests that were passed on to anybody but this leader:
// what became of them is not known here, and waiting tells no more.
func (m *Server) abandon(leader wire.Peer) {
	for _, id := range m.relayed() {
		v := m.relays[id]
		if v.to == leader {
			continue
		}
		delete(m.relays, id)
		m.refuse(v.peer, v.id, 504, "leader-changed", "the outcome is not known here; ask again", leaderChangedRetry)
	}
}

// relayed lists the requests that were passed on, in the order they were.
func (m *Server) relayed() []uint64 {
	var list []uint64
	for id := range m.relays {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// expire forgets relays whose asker has long given up, and gates long gone.
func (m *Server) expire() {
	for g, at := range m.gates {
		if m.now.Since(at) > gateLife {
			delete(m.gates, g)
		}
	}
	for g, at := range m.edge {
		if m.now.Since(at) > gateLife {
			delete(m.edge, g)
		}
	}
	for id, v := range m.relays {
		if m.now > v.at {
			delete(m.relays, id)
		}
	}
}

// call is one request being routed.
type call struct {
	peer wire.Peer
	*wire.Request
	parts []string
}

func (m *Server) route(from wire.Peer, a *wire.Request) {
	c := &call{peer: from, Request: a, parts: strings.Split(strings.Trim(a.Path, "/"), "/")}
	switch {
	case a.Method == "JOIN":
		m.joining(c)
		return
	case a.Method == "SYNC":
		m.sync(c)
		return
	case a.Epoch != 0 && a.Epoch != m.state.Limits.Epoch:
		m.send(from, wire.Message{Response: &wire.Response{ID: a.ID, Status: 409, Stale: true, Body: m.staleBody(a)}})
		return
	case len(c.parts) < 2 || c.parts[0] != "v1":
		m.refuse(from, a.ID, 404, "no-such-path", "no such path", 0)
		return
	}
	kind, n := c.parts[1], len(c.parts)
	switch {
	case kind == "jobs" && n == 2 && a.Method == "GET":
		m.listJobs(c)
	case kind == "states" && n == 4 && a.Method == "GET":
		m.showState(c, identifier.NewJobKey(identifier.Client(c.parts[2]), identifier.JobID(c.parts[3])))
	case kind == "fence" && n == 2 && a.Method == "GET":
		m.replyDoc(from, a.ID, 200, runnerapi.PollResponse{FencingToken: uint64(m.term)})
	case kind == "queues" && n == 3 && a.Method == "GET":
		m.showQueue(c, c.parts[2])
	case kind == "catalog" && n == 2:
		m.routeCatalog(c)
	case kind == "jobs" && n == 4:
		m.routeJob(c, identifier.NewJobKey(identifier.Client(c.parts[2]), identifier.JobID(c.parts[3])))
	case kind == "runners" && n == 2 && a.Method == "GET":
		m.replyDoc(from, a.ID, 200, m.showRunners())
	case kind == "runners" && n == 4 && c.parts[3] == "poll" && a.Method == "POST":
		m.poll(from, a.ID, identifier.Runner(c.parts[2]), a.Body)
	case kind == "table" && n == 2:
		m.routeTable(c)
	case kind == "closings" && n == 2 && a.Method == "GET":
		m.replyDoc(from, a.ID, 200, m.showClosings())
	case kind == "closings" && n == 3:
		m.routeClosing(c, c.parts[2])
	case kind == "keepers" && n == 2 && a.Method == "GET":
		m.replyDoc(from, a.ID, 200, m.showKeepers())
	default:
		m.refuse(from, a.ID, 404, "no-such-path", "no such path or method", 0)
	}
}

// decide proposes a command and lets the request wait for its outcome.
func (m *Server) decide(c *call, cmd *state.Command) {
	if len(m.waits) >= mostWaits || m.bytes+len(c.Body) > mostBytes {
		m.refuse(c.peer, c.ID, 503, "busy", "too many requests under way", 1000)
		return
	}
	i := m.propose(cmd)
	table := cmd.ChangeLimits != nil || cmd.ChangeCatalog != nil
	m.waits[i] = wait{peer: c.peer, id: c.ID, term: m.term, table: table, size: len(c.Body)}
	m.bytes += len(c.Body)
	if table {
		m.tables++
	}
}

func (m *Server) answer(peer wire.Peer, id uint64, res state.Result) {
	if !res.OK() {
		m.reply(peer, id, res.Status, jsondoc.ErrorBody{Code: res.Code, Message: res.Message, Faults: res.Body, RetryAfter: res.RetryAfter}.JSON(), res.RetryAfter)
		return
	}
	m.replyDoc(peer, id, res.Status, res.Body)
}

func (m *Server) routeJob(c *call, key identifier.JobKey) {
	switch c.Method {
	case "PUT":
		var f jsondoc.FieldErrors
		s := job.Read(c.Body, &f)
		if f.Any() {
			m.reply(c.peer, c.ID, f.Status(), f.ErrorBody(), 0)
			return
		}
		if s.Queue != "" && m.state.Level < state.CatalogLevel {
			m.tooSoon(c)
			return
		}
		if s.HasStartTime() && !m.lead.clock.sure && m.state.Jobs[key] == nil {
			m.refuse(c.peer, c.ID, 503, "time-unsure", "the keepers' clocks have yet to agree; no start can be appointed", 1000)
			return
		}
		m.decide(c, &state.Command{SubmitJob: &state.SubmitJob{Key: key, Spec: *s}})
	case "DELETE":
		if j := m.state.Jobs[key]; j != nil && j.EndState != "" {
			m.replyDoc(c.peer, c.ID, 200, map[string]string{"job": string(key), "state": j.State()})
			return
		}
		m.decide(c, &state.Command{CancelJob: &state.CancelJob{Key: key}})
	case "GET":
		m.showJob(c, key)
	default:
		m.refuse(c.peer, c.ID, 405, "bad-method", "want PUT, GET or DELETE", 0)
	}
}

// tooSoon refuses what some keeper does not know yet.
func (m *Server) tooSoon(c *call) {
	m.refuse(c.peer, c.ID, 503, "level", "queues wait until every keeper has been upgraded", 500)
}

// changing reads a change by its verb, whole or as a patch; what can't be read
// is answered here.
func changing[T any](m *Server, c *call, whole, patch func(text []byte, f *jsondoc.FieldErrors) *T) (ch *T, ok bool) {
	var f jsondoc.FieldErrors
	switch c.Method {
	case "PUT":
		ch = whole(c.Body, &f)
	case "PATCH":
		ch = patch(c.Body, &f)
	default:
		m.refuse(c.peer, c.ID, 405, "bad-method", "want GET, PUT or PATCH", 0)
		return nil, false
	}
	if f.Any() {
		m.reply(c.peer, c.ID, f.Status(), f.ErrorBody(), 0)
		return nil, false
	}
	return ch, true
}

func (m *Server) routeCatalog(c *call) {
	if c.Method == "GET" {
		m.showCatalog(c)
		return
	}
	ch, ok := changing(m, c, catalog.ReadWhole, catalog.ReadPatch)
	switch {
	case !ok:
	case m.state.Level < state.CatalogLevel:
		m.tooSoon(c)
	case m.tables >= mostTables:
		m.refuse(c.peer, c.ID, 429, "catalog-busy", "too many changes under way", 500)
	default:
		m.decide(c, &state.Command{ChangeCatalog: ch})
	}
}

func (m *Server) routeTable(c *call) {
	if c.Method == "GET" {
		m.reply(c.peer, c.ID, 200, m.state.Limits.JSON(), 0)
		return
	}
	ch, ok := changing(m, c, limits.ReadWhole, limits.ReadPatch)
	switch {
	case !ok:
	case ch.TouchesPolicies() && m.state.Level < state.PolicyLevel:
		m.refuse(c.peer, c.ID, 409, "level", "policies wait until every keeper has been upgraded", 5000)
	case m.tables >= mostTables:
		m.refuse(c.peer, c.ID, 429, "table-busy", "too many table changes under way", 500)
	default:
		m.decide(c, &state.Command{ChangeLimits: ch})
	}
}

func (m *Server) routeClosing(c *call, name string) {
	switch c.Method {
	case "GET":
		m.showClosing(c, name)
	case "PUT":
		var f jsondoc.FieldErrors
		id, unseen := "", false
		if len(c.Body) > 0 {
			if o := jsondoc.Parse(c.Body, &f); o != nil {
				id = o.Name("id", false)
				unseen = o.Bool("unseen", false) && m.state.Level >= state.CatalogLevel
				o.Done()
			}
		}
		if !identifier.ValidName(name) {
			f.Invalid("domain", "not a name")
		}
		if f.Any() {
			m.reply(c.peer, c.ID, f.Status(), f.ErrorBody(), 0)
			return
		}
		m.decide(c, &state.Command{StartDrain: &state.StartDrain{Domain: identifier.Domain(name), ID: id, AllowUnknown: unseen}})
	case "DELETE":
		m.decide(c, &state.Command{EndDrain: &state.EndDrain{Name: name}})
	default:
		m.refuse(c.peer, c.ID, 405, "bad-method", "want GET, PUT or DELETE", 0)
	}
}

// joining takes a keeper with an empty folder in as a learner, or notes a
// member's new address. Asking again does no harm.
func (m *Server) joining(c *call) {
	var j joinBody
	if err := json.Unmarshal(c.Body, &j); err != nil {
		m.refuse(c.peer, c.ID, 400, "bad-request", "join does not parse", 0)
		return
	}
	id, ok := identifier.ParseNode(j.ID)
	if !ok || j.Addr == "" {
		m.refuse(c.peer, c.ID, 422, "unprocessable", "join lacks an identity or an address", 0)
		return
	}
	if j.Level < m.state.Level {
		m.event("join-refused", "node", id, "level", j.Level, "want", m.state.Level)
		m.refuse(c.peer, c.ID, 409, "too-old", "the group's level is above this program's", 0)
		return
	}
	next, had, learners := []raft.Member{}, false, 0
	for _, mem := range m.raft.Members() {
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
		if learners >= mostLearners {
			m.refuse(c.peer, c.ID, 503, "seats-full", "enough learners are waiting for a seat", 5000)
			return
		}
		next = append(next, raft.Member{ID: id, Addr: j.Addr, Domain: j.Domain})
	}
	m.raft.ProposeMembers(next)
	m.replyDoc(c.peer, c.ID, 202, map[string]bool{"asked": true})
}
