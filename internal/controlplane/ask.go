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

func (m *Machine) ask(from wire.Peer, a *wire.Ask) {
	if m.leads() {
		if m.expired(a) {
			m.refuseExpired(from, a.ID)
			return
		}
		m.route(from, a)
		return
	}
	mem, ok := m.leader()
	if !ok || mem.ID == m.boot.ID || mem.Addr == "" || a.Hops > 0 || len(m.relays) >= mostWaits || m.reach.lost {
		m.send(from, wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 503, Moved: true, Retry: 200}})
		return
	}
	m.nextID++
	pass := *a
	pass.ID, pass.Hops = m.nextID, a.Hops+1
	m.date(from, &pass)
	to := wire.Peer(mem.Addr)
	m.reach.passed(m.now, len(m.relays) == 0)
	m.relays[m.nextID] = relay{from, a.ID, to, m.now.Add(max(a.Budget, 500))}
	m.send(to, wire.Msg{Ask: &pass})
}

// passBack hands the reply to a request that was passed on to whoever made it.
// A reply from anybody but the one it was passed to answers something else.
func (m *Machine) passBack(from wire.Peer, r *wire.Reply) {
	v, ok := m.relays[r.ID]
	if !ok || v.to != from {
		return
	}
	delete(m.relays, r.ID)
	m.heardLeader(r.Leader)
	back := *r
	back.ID = v.id
	m.send(v.peer, wire.Msg{Reply: &back})
}

// abandon answers the requests that were passed on to anybody but this leader:
// what became of them is not known here, and waiting tells no more.
func (m *Machine) abandon(leader wire.Peer) {
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
func (m *Machine) relayed() []uint64 {
	var list []uint64
	for id := range m.relays {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// expire forgets relays whose asker has long given up, and gates long gone.
func (m *Machine) expire() {
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
	*wire.Ask
	parts []string
}

func (m *Machine) route(from wire.Peer, a *wire.Ask) {
	c := &call{peer: from, Ask: a, parts: strings.Split(strings.Trim(a.Path, "/"), "/")}
	switch {
	case a.Verb == "JOIN":
		m.joining(c)
		return
	case a.Verb == "SYNC":
		m.sync(c)
		return
	case a.Epoch != 0 && a.Epoch != m.book.Table.Epoch:
		m.send(from, wire.Msg{Reply: &wire.Reply{ID: a.ID, Status: 409, Stale: true, Body: m.staleBody(a)}})
		return
	case len(c.parts) < 2 || c.parts[0] != "v1":
		m.refuse(from, a.ID, 404, "no-such-path", "no such path", 0)
		return
	}
	kind, n := c.parts[1], len(c.parts)
	switch {
	case kind == "jobs" && n == 2 && a.Verb == "GET":
		m.listJobs(c)
	case kind == "states" && n == 4 && a.Verb == "GET":
		m.showState(c, identifier.NewJobKey(identifier.Client(c.parts[2]), identifier.JobID(c.parts[3])))
	case kind == "fence" && n == 2 && a.Verb == "GET":
		m.replyDoc(from, a.ID, 200, runnerapi.Answer{Fence: uint64(m.term)})
	case kind == "queues" && n == 3 && a.Verb == "GET":
		m.showQueue(c, c.parts[2])
	case kind == "catalog" && n == 2:
		m.routeCatalog(c)
	case kind == "jobs" && n == 4:
		m.routeJob(c, identifier.NewJobKey(identifier.Client(c.parts[2]), identifier.JobID(c.parts[3])))
	case kind == "runners" && n == 2 && a.Verb == "GET":
		m.replyDoc(from, a.ID, 200, m.showRunners())
	case kind == "runners" && n == 4 && c.parts[3] == "poll" && a.Verb == "POST":
		m.poll(from, a.ID, identifier.Runner(c.parts[2]), a.Body)
	case kind == "table" && n == 2:
		m.routeTable(c)
	case kind == "closings" && n == 2 && a.Verb == "GET":
		m.replyDoc(from, a.ID, 200, m.showClosings())
	case kind == "closings" && n == 3:
		m.routeClosing(c, c.parts[2])
	case kind == "keepers" && n == 2 && a.Verb == "GET":
		m.replyDoc(from, a.ID, 200, m.showKeepers())
	default:
		m.refuse(from, a.ID, 404, "no-such-path", "no such path or method", 0)
	}
}

// decide proposes a command and lets the request wait for its outcome.
func (m *Machine) decide(c *call, cmd *state.Command) {
	if len(m.waits) >= mostWaits || m.bytes+len(c.Body) > mostBytes {
		m.refuse(c.peer, c.ID, 503, "busy", "too many requests under way", 1000)
		return
	}
	i := m.propose(cmd)
	table := cmd.Table != nil || cmd.Catalog != nil
	m.waits[i] = wait{peer: c.peer, id: c.ID, term: m.term, table: table, size: len(c.Body)}
	m.bytes += len(c.Body)
	if table {
		m.tables++
	}
}

func (m *Machine) answer(peer wire.Peer, id uint64, res state.Result) {
	if !res.OK() {
		m.reply(peer, id, res.Status, jsondoc.Trouble{Code: res.Code, Why: res.Why, Faults: res.Doc, Retry: res.Retry}.JSON(), res.Retry)
		return
	}
	m.replyDoc(peer, id, res.Status, res.Doc)
}

func (m *Machine) routeJob(c *call, key identifier.JobKey) {
	switch c.Verb {
	case "PUT":
		var f jsondoc.Faults
		s := job.Read(c.Body, &f)
		if f.Any() {
			m.reply(c.peer, c.ID, f.Status(), f.Bad(), 0)
			return
		}
		if s.Queue != "" && m.book.Level < state.CatalogLevel {
			m.tooSoon(c)
			return
		}
		if s.Timed() && !m.lead.clock.sure && m.book.Jobs[key] == nil {
			m.refuse(c.peer, c.ID, 503, "time-unsure", "the keepers' clocks have yet to agree; no start can be appointed", 1000)
			return
		}
		m.decide(c, &state.Command{Submit: &state.Submit{Key: key, Spec: *s}})
	case "DELETE":
		if j := m.book.Jobs[key]; j != nil && j.End != "" {
			m.replyDoc(c.peer, c.ID, 200, map[string]string{"job": string(key), "state": j.State()})
			return
		}
		m.decide(c, &state.Command{Cancel: &state.Cancel{Key: key}})
	case "GET":
		m.showJob(c, key)
	default:
		m.refuse(c.peer, c.ID, 405, "bad-method", "want PUT, GET or DELETE", 0)
	}
}

// tooSoon refuses what some keeper does not know yet.
func (m *Machine) tooSoon(c *call) {
	m.refuse(c.peer, c.ID, 503, "level", "queues wait until every keeper has been upgraded", 500)
}

// changing reads a change by its verb, whole or as a patch; what can't be read
// is answered here.
func changing[T any](m *Machine, c *call, whole, patch func(text []byte, f *jsondoc.Faults) *T) (ch *T, ok bool) {
	var f jsondoc.Faults
	switch c.Verb {
	case "PUT":
		ch = whole(c.Body, &f)
	case "PATCH":
		ch = patch(c.Body, &f)
	default:
		m.refuse(c.peer, c.ID, 405, "bad-method", "want GET, PUT or PATCH", 0)
		return nil, false
	}
	if f.Any() {
		m.reply(c.peer, c.ID, f.Status(), f.Bad(), 0)
		return nil, false
	}
	return ch, true
}

func (m *Machine) routeCatalog(c *call) {
	if c.Verb == "GET" {
		m.showCatalog(c)
		return
	}
	ch, ok := changing(m, c, catalog.ReadWhole, catalog.ReadPatch)
	switch {
	case !ok:
	case m.book.Level < state.CatalogLevel:
		m.tooSoon(c)
	case m.tables >= mostTables:
		m.refuse(c.peer, c.ID, 429, "catalog-busy", "too many changes under way", 500)
	default:
		m.decide(c, &state.Command{Catalog: ch})
	}
}

func (m *Machine) routeTable(c *call) {
	if c.Verb == "GET" {
		m.reply(c.peer, c.ID, 200, m.book.Table.JSON(), 0)
		return
	}
	ch, ok := changing(m, c, limits.ReadWhole, limits.ReadPatch)
	switch {
	case !ok:
	case ch.Policies() && m.book.Level < state.PolicyLevel:
		m.refuse(c.peer, c.ID, 409, "level", "policies wait until every keeper has been upgraded", 5000)
	case m.tables >= mostTables:
		m.refuse(c.peer, c.ID, 429, "table-busy", "too many table changes under way", 500)
	default:
		m.decide(c, &state.Command{Table: ch})
	}
}

func (m *Machine) routeClosing(c *call, name string) {
	switch c.Verb {
	case "GET":
		m.showClosing(c, name)
	case "PUT":
		var f jsondoc.Faults
		id, unseen := "", false
		if len(c.Body) > 0 {
			if o := jsondoc.Parse(c.Body, &f); o != nil {
				id = o.Name("id", false)
				unseen = o.Bool("unseen", false) && m.book.Level >= state.CatalogLevel
				o.Done()
			}
		}
		if !identifier.ValidName(name) {
			f.Sense("domain", "not a name")
		}
		if f.Any() {
			m.reply(c.peer, c.ID, f.Status(), f.Bad(), 0)
			return
		}
		m.decide(c, &state.Command{Close: &state.Close{Domain: identifier.Domain(name), ID: id, Unseen: unseen}})
	case "DELETE":
		m.decide(c, &state.Command{Reopen: &state.Reopen{Name: name}})
	default:
		m.refuse(c.peer, c.ID, 405, "bad-method", "want GET, PUT or DELETE", 0)
	}
}

// joining takes a keeper with an empty folder in as a learner, or notes a
// member's new address. Asking again does no harm.
func (m *Machine) joining(c *call) {
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
	if j.Level < m.book.Level {
		m.event("join-refused", "node", id, "level", j.Level, "want", m.book.Level)
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
