// Runners' polls: what they report is committed when it is news, and their
// open polls are answered when there is something to order or acknowledge.

package controlplane

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// away is how long a runner has not polled when its next poll is answered at
// once, so that whoever was cut off knows that it no longer is.
const away = 1000

func sortGrants(list []identifier.LeaseID) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}

func (m *Server) poll(peer wire.Peer, id uint64, name identifier.Runner, body []byte) {
	var f jsondoc.FieldErrors
	p := runnerapi.Read(body, &f)
	if f.Any() {
		m.reply(peer, id, f.Status(), f.ErrorBody(), 0)
		return
	}
	if p.Agent && m.state.Level < state.CatalogLevel {
		m.refuse(peer, id, 503, "level", "agents wait until every keeper has been upgraded", 500)
		return
	}
	l := m.lead
	r := m.state.Runners[name]
	c := l.runners[name]
	if r != nil && r.WasIncarnation(p.Incarnation) {
		m.replyDoc(peer, id, 200, runnerapi.PollResponse{Retired: true})
		return
	}
	if c == nil && len(l.runners) >= state.MaxRunners {
		m.refuse(peer, id, 503, "runners-full", "no room for another runner", 60000)
		return
	}
	if c == nil {
		c = &contact{}
		l.runners[name] = c
	}
	if c.inc != p.Incarnation {
		m.shut(c)
		*c = contact{inc: p.Incarnation, heard: m.now, agent: m.turned(c)}
	}
	if p.Seq <= c.seq {
		a := m.bare(c)
		a.Seq = c.seq
		m.replyDoc(peer, id, 200, a)
		return
	}
	m.shut(c)
	back := !c.known || m.now.Since(c.heard) > away
	c.seq, c.heard, c.silent, c.known, c.drain = p.Seq, m.now, p.SilentFor, true, p.Mode == runnerapi.ModeDraining
	c.open, c.peer, c.id, c.since = true, peer, id, m.now
	if back {
		c.since -= clock.Monotonic(m.state.Limits.SiteMillis("startMs"))
	}
	c.begin()
	was := c.before
	l.hot[name] = true
	l.line = append(l.line, turn{name, id, m.now})
	if p.Agent {
		m.agentSays(name, c, p)
	}
	for _, g := range p.Running {
		c.running[g] = true
		if was[g] {
			c.told[g] = true
		}
		one := m.state.Leases[g]
		if one == nil {
			continue
		}
		l.sure[g] = true
		if was[g] {
			continue
		}
		for _, p := range m.state.Partners(one) {
			l.hot[p.Runner] = true
		}
	}
	for _, e := range p.Ended {
		c.ended[e.Lease] = e
		if m.state.Leases[e.Lease] != nil {
			l.sure[e.Lease] = true
		}
	}
	if m.present(name, c, p) {
		m.facts(name, c, p)
	}
	m.news(name, c)
	l.dirty = true
}

// begin empties what a poll says anew; what was told before it is kept aside.
func (c *contact) begin() {
	if c.running == nil {
		c.running, c.ended, c.told, c.before = map[identifier.LeaseID]bool{}, map[identifier.LeaseID]runnerapi.End{}, map[identifier.LeaseID]bool{}, map[identifier.LeaseID]bool{}
		return
	}
	c.told, c.before = c.before, c.told
	clear(c.running)
	clear(c.ended)
	clear(c.told)
}

// shut answers a poll that a later one has replaced.
func (m *Server) shut(c *contact) {
	if c.open {
		c.open = false
		m.replyDoc(c.peer, c.id, 200, m.bare(c))
	}
}

func (m *Server) bare(c *contact) runnerapi.PollResponse {
	a := runnerapi.PollResponse{Lease: m.state.Limits.SiteMillis("grantMs"), StartTimeout: m.state.Limits.SiteMillis("startMs")}
	if c.agent == nil {
		a.Gateways = m.liveGates()
		return a
	}
	a.FencingToken, a.Servers = uint64(m.term), m.keepers()
	return a
}

// facts commits what the runner says of itself when it differs from the book.
func (m *Server) facts(name identifier.Runner, c *contact, p *runnerapi.PollRequest) {
	if c.facts > m.at {
		return
	}
	rep := &state.ReportRunner{Runner: name, Incarnation: p.Incarnation, Capacity: job.Demand{Cores: p.Cores, Mem: p.Mem, MilliCores: p.MilliCores, GPUs: p.GPUs}, Labels: p.Labels, Pool: p.Pool, AgentAddr: p.AgentAddr,
		Domain: p.Domain, Rack: p.Rack, Draining: p.Mode == runnerapi.ModeDraining}
	if rep.Draining {
		rep.DepartsAt = m.lead.clock.site(m.now).Add(p.DepartsIn)
	}
	r := m.state.Runners[name]
	if r != nil && r.Draining && rep.Draining && p.DepartsIn == 0 {
		rep.DepartsAt = r.DepartsAt
	}
	if r != nil && r.Incarnation == p.Incarnation && !r.Gone && r.Capacity == rep.Capacity && r.Pool == p.Pool && r.AgentAddr == p.AgentAddr && same(r.Labels, p.Labels) &&
		r.Domain == p.Domain && r.Rack == p.Rack && r.Draining == rep.Draining {
		if gap := rep.DepartsAt - r.DepartsAt; gap < 1000 && gap > -1000 {
			return
		}
	}
	rep.Checkpoints = m.saves(c)
	c.facts = m.propose(&state.Command{ReportRunner: rep})
}

func same(a, b []identifier.Label) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// news commits the ends the book has yet to hear of.
func (m *Server) news(name identifier.Runner, c *contact) {
	if c.ends > m.at {
		return
	}
	e := &state.ReportEnds{Runner: name, Incarnation: c.inc}
	for _, id := range c.order() {
		one := c.ended[id]
		if m.state.AcceptsEnd(name, c.inc, one.Lease, one.Task) {
			e.Ends = append(e.Ends, state.End{Lease: one.Lease, Task: one.Task, Outcome: state.Outcome(one.Outcome), Checkpoint: one.Checkpoint})
		}
	}
	if len(e.Ends) > 0 {
		c.ends = m.propose(&state.Command{ReportEnds: e})
	}
}

func (c *contact) order() []identifier.LeaseID {
	var list []identifier.LeaseID
	for id := range c.ended {
		list = append(list, id)
	}
	sortGrants(list)
	return list
}

// polls answers the open polls that have something to hear, or have been open
// long enough. Starts go out only for grants in the book as it now stands. Only
// those are visited whose runner something happened to, or whose time has come.
func (m *Server) polls() {
	l := m.lead
	hold := m.state.Limits.SiteMillis("startMs") * 6 / 10
	for len(l.line) > 0 && m.now.Since(l.line[0].since) >= hold {
		if c := l.runners[l.line[0].runner]; c != nil && c.open && c.id == l.line[0].id {
			l.hot[l.line[0].runner] = true
		}
		l.line = l.line[1:]
	}
	for _, n := range m.heated() {
		c := l.runners[n]
		if c == nil || !c.open {
			continue
		}
		m.news(n, c)
		a := runnerapi.PollResponse{}
		m.orders(n, c, &a)
		if c.agent != nil {
			m.answerAgent(n, c, &a, hold)
			continue
		}
		word := m.wholes(c, &a)
		for _, id := range c.order() {
			if one := c.ended[id]; !m.state.AcceptsEnd(n, c.inc, one.Lease, one.Task) {
				a.AckedEnds = append(a.AckedEnds, id)
			}
		}
		if !word && len(a.Starts)+len(a.Stops)+len(a.AckedEnds) == 0 && m.now.Since(c.since) < hold {
			continue
		}
		c.open = false
		for _, id := range a.CompleteGangs {
			c.told[id] = true
		}
		bare := m.bare(c)
		a.Lease, a.StartTimeout, a.Gateways = bare.Lease, bare.StartTimeout, bare.Gateways
		m.replyDoc(c.peer, c.id, 200, a)
	}
}

// heated takes the runners to look at, in order.
func (m *Server) heated() []identifier.Runner {
	var list []identifier.Runner
	for n := range m.lead.hot {
		list = append(list, n)
	}
	clear(m.lead.hot)
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (m *Server) orders(n identifier.Runner, c *contact, a *runnerapi.PollResponse) {
	r := m.state.Runners[n]
	if r == nil || r.Incarnation != c.inc {
		return
	}
	r.EachLease(func(g *state.Lease) {
		_, over := c.ended[g.ID]
		switch {
		case over:
		case g.RevokeReason != "":
			a.Stops = append(a.Stops, g.ID)
		case !c.running[g.ID] && !c.drain && r.CordonedBy() == "":
			a.Starts = append(a.Starts, runnerapi.Start{Lease: g.ID, Task: g.Task, Demand: g.Demand, ExpectedRun: g.ExpectedRun, GangLease: m.gangSpan(g), Attempt: g.Attempt})
		}
	})
	slices.SortFunc(a.Starts, func(x, y runnerapi.Start) int { return cmp.Compare(x.Lease, y.Lease) })
	for id := range c.running {
		if m.state.Leases[id] == nil {
			a.Stops = append(a.Stops, id)
		}
	}
	sortGrants(a.Stops)
}

func (m *Server) replyDoc(peer wire.Peer, id uint64, status int, doc any) {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	m.reply(peer, id, status, text, 0)
}

func (m *Server) reply(peer wire.Peer, id uint64, status int, body []byte, retry clock.Millis) {
	m.send(peer, wire.Message{Response: &wire.Response{ID: id, Status: status, Body: body, RetryAfter: retry}})
}

func (m *Server) refuse(peer wire.Peer, id uint64, status int, code, why string, retry clock.Millis) {
	m.reply(peer, id, status, jsondoc.ErrorBody{Code: code, Message: why, RetryAfter: retry}.JSON(), retry)
}
