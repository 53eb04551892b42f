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

func (m *Machine) poll(peer wire.Peer, id uint64, name identifier.Runner, body []byte) {
	var f jsondoc.Faults
	p := runnerapi.Read(body, &f)
	if f.Any() {
		m.reply(peer, id, f.Status(), f.Bad(), 0)
		return
	}
	if p.Agent && m.book.Level < state.CatalogLevel {
		m.refuse(peer, id, 503, "level", "agents wait until every keeper has been upgraded", 500)
		return
	}
	l := m.lead
	r := m.book.Runners[name]
	c := l.runners[name]
	if r != nil && r.Was(p.Inc) {
		m.replyDoc(peer, id, 200, runnerapi.Answer{Retired: true})
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
	if c.inc != p.Inc {
		m.shut(c)
		*c = contact{inc: p.Inc, heard: m.now, agent: m.turned(c)}
	}
	if p.Seq <= c.seq {
		a := m.bare(c)
		a.Seq = c.seq
		m.replyDoc(peer, id, 200, a)
		return
	}
	m.shut(c)
	back := !c.known || m.now.Since(c.heard) > away
	c.seq, c.heard, c.silent, c.known, c.drain = p.Seq, m.now, p.Silent, true, p.Mode == runnerapi.Draining
	c.open, c.peer, c.id, c.since = true, peer, id, m.now
	if back {
		c.since -= clock.Monotonic(m.book.Table.Site("startMs"))
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
		one := m.book.Grants[g]
		if one == nil {
			continue
		}
		l.sure[g] = true
		if was[g] {
			continue
		}
		for _, p := range m.book.Partners(one) {
			l.hot[p.Runner] = true
		}
	}
	for _, e := range p.Ended {
		c.ended[e.Grant] = e
		if m.book.Grants[e.Grant] != nil {
			l.sure[e.Grant] = true
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
func (m *Machine) shut(c *contact) {
	if c.open {
		c.open = false
		m.replyDoc(c.peer, c.id, 200, m.bare(c))
	}
}

func (m *Machine) bare(c *contact) runnerapi.Answer {
	a := runnerapi.Answer{GrantMs: m.book.Table.Site("grantMs"), StartMs: m.book.Table.Site("startMs")}
	if c.agent == nil {
		a.Gates = m.liveGates()
		return a
	}
	a.Fence, a.Keepers = uint64(m.term), m.keepers()
	return a
}

// facts commits what the runner says of itself when it differs from the book.
func (m *Machine) facts(name identifier.Runner, c *contact, p *runnerapi.Ask) {
	if c.facts > m.at {
		return
	}
	rep := &state.Report{Runner: name, Inc: p.Inc, Cap: job.Demand{Cores: p.Cores, Mem: p.Mem, Milli: p.Milli, GPUs: p.GPUs}, Labels: p.Labels, Pool: p.Pool, Addr: p.Addr,
		Domain: p.Domain, Rack: p.Rack, Drain: p.Mode == runnerapi.Draining}
	if rep.Drain {
		rep.Depart = m.lead.clock.site(m.now).Add(p.Departs)
	}
	r := m.book.Runners[name]
	if r != nil && r.Drain && rep.Drain && p.Departs == 0 {
		rep.Depart = r.Depart
	}
	if r != nil && r.Inc == p.Inc && !r.Gone && r.Cap == rep.Cap && r.Pool == p.Pool && r.Addr == p.Addr && same(r.Labels, p.Labels) &&
		r.Domain == p.Domain && r.Rack == p.Rack && r.Drain == rep.Drain {
		if gap := rep.Depart - r.Depart; gap < 1000 && gap > -1000 {
			return
		}
	}
	rep.Saves = m.saves(c)
	c.facts = m.propose(&state.Command{Report: rep})
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
func (m *Machine) news(name identifier.Runner, c *contact) {
	if c.ends > m.at {
		return
	}
	e := &state.Ends{Runner: name, Inc: c.inc}
	for _, id := range c.order() {
		one := c.ended[id]
		if m.book.Hears(name, c.inc, one.Grant, one.Task) {
			e.List = append(e.List, state.End{Grant: one.Grant, Ref: one.Task, How: state.How(one.How), Saved: one.Saved})
		}
	}
	if len(e.List) > 0 {
		c.ends = m.propose(&state.Command{Ends: e})
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
func (m *Machine) polls() {
	l := m.lead
	hold := m.book.Table.Site("startMs") * 6 / 10
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
		a := runnerapi.Answer{}
		m.orders(n, c, &a)
		if c.agent != nil {
			m.answerAgent(n, c, &a, hold)
			continue
		}
		word := m.wholes(c, &a)
		for _, id := range c.order() {
			if one := c.ended[id]; !m.book.Hears(n, c.inc, one.Grant, one.Task) {
				a.Acked = append(a.Acked, id)
			}
		}
		if !word && len(a.Starts)+len(a.Stops)+len(a.Acked) == 0 && m.now.Since(c.since) < hold {
			continue
		}
		c.open = false
		for _, id := range a.Whole {
			c.told[id] = true
		}
		bare := m.bare(c)
		a.GrantMs, a.StartMs, a.Gates = bare.GrantMs, bare.StartMs, bare.Gates
		m.replyDoc(c.peer, c.id, 200, a)
	}
}

// heated takes the runners to look at, in order.
func (m *Machine) heated() []identifier.Runner {
	var list []identifier.Runner
	for n := range m.lead.hot {
		list = append(list, n)
	}
	clear(m.lead.hot)
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (m *Machine) orders(n identifier.Runner, c *contact, a *runnerapi.Answer) {
	r := m.book.Runners[n]
	if r == nil || r.Inc != c.inc {
		return
	}
	r.Visit(func(g *state.Grant) {
		_, over := c.ended[g.ID]
		switch {
		case over:
		case g.Stop != "":
			a.Stops = append(a.Stops, g.ID)
		case !c.running[g.ID] && !c.drain && r.Fence() == "":
			a.Starts = append(a.Starts, runnerapi.Start{Grant: g.ID, Task: g.Ref, Demand: g.Demand, Run: g.Run, Gang: m.gangSpan(g), No: g.No})
		}
	})
	slices.SortFunc(a.Starts, func(x, y runnerapi.Start) int { return cmp.Compare(x.Grant, y.Grant) })
	for id := range c.running {
		if m.book.Grants[id] == nil {
			a.Stops = append(a.Stops, id)
		}
	}
	sortGrants(a.Stops)
}

func (m *Machine) replyDoc(peer wire.Peer, id uint64, status int, doc any) {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	m.reply(peer, id, status, text, 0)
}

func (m *Machine) reply(peer wire.Peer, id uint64, status int, body []byte, retry clock.Millis) {
	m.send(peer, wire.Msg{Reply: &wire.Reply{ID: id, Status: status, Body: body, Retry: retry}})
}

func (m *Machine) refuse(peer wire.Peer, id uint64, status int, code, why string, retry clock.Millis) {
	m.reply(peer, id, status, jsondoc.Trouble{Code: code, Why: why, Retry: retry}.JSON(), retry)
}
