// How a gateway keeps in touch with the leader: it tells the servers that it is
// there, syncs with the leader, and puts newer routing tables into use.

package gateway

import (
	"encoding/json"
	"net/url"
	"strconv"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// greet tells the keepers of this gate, and asks the seeds while it has no
// one better to ask.
func (m *Gateway) greet() {
	lost := !m.Ready(m.now)
	if gap := m.now.Since(m.told); gap < lostGap || !lost && gap < tellGap {
		return
	}
	m.told = m.now
	t := &wire.Announcement{WantReply: lost, Role: wire.RoleGateway, Addr: m.boot.Addr, Domain: m.boot.Domain, HTTP: m.boot.HTTP}
	seen := map[string]bool{m.boot.Addr: true}
	for _, mem := range m.members {
		seen[mem.Addr] = true
		m.send(wire.Peer(mem.Addr), wire.Message{Announcement: t})
	}
	for _, s := range m.boot.Seeds {
		if lost && !seen[s] {
			m.send(wire.Peer(s), wire.Message{Announcement: t})
		}
	}
}

// keepTouch syncs with the leader, and tries another way when it is silent.
func (m *Gateway) keepTouch() {
	if m.sync != nil && m.now.Since(m.sync.at) > syncWait {
		m.bad[m.sync.to] = m.now
		m.sync = nil
		m.via = ""
	}
	if m.sync != nil || m.now.Since(m.synced) < syncGap {
		return
	}
	if m.via == "" {
		m.via = m.choose()
	}
	if m.via == "" {
		return
	}
	m.nextID++
	m.synced = m.now
	since, after := m.routes.NextRequest()
	m.sync = &asked{m.nextID, m.now, m.via, after}
	q := url.Values{controlplane.SyncGatewayParam: {m.boot.HTTP}, controlplane.SyncSinceParam: {strconv.FormatUint(uint64(since), 10)}}
	if after != "" {
		q.Set(controlplane.SyncAfterParam, after)
	}
	m.send(m.via, wire.Message{Request: &wire.Request{ID: m.nextID, Method: "SYNC", Path: "/", Query: q.Encode(), Epoch: m.Epoch(), Budget: syncWait}})
}

// syncNow asks the leader without waiting for the next time.
func (m *Gateway) syncNow() {
	m.synced = m.now.Add(-syncGap)
	m.keepTouch()
}

// Behind tells whether the leader has had a newer table for so long that this
// gateway can't say any more what there is not.
func (m *Gateway) Behind() bool {
	return m.behind > 0 && m.now.Since(m.behind) > behindMost
}

// choose prefers the leader, then whichever member failed least lately.
func (m *Gateway) choose() wire.Peer {
	var p wire.Peer
	low := clock.Monotonic(0)
	for _, mem := range m.members {
		at, was := m.bad[wire.Peer(mem.Addr)]
		if mem.ID == m.lead && (!was || m.now.Since(at) > shunned) {
			return wire.Peer(mem.Addr)
		}
		if !was {
			at = -1 << 40
		}
		if p == "" || at < low {
			p, low = wire.Peer(mem.Addr), at
		}
	}
	return p
}

func (m *Gateway) tell(from wire.Peer, t *wire.Announcement) {
	if t.WantReply {
		m.send(from, wire.Message{Announcement: &wire.Announcement{Role: wire.RoleGateway, Addr: m.boot.Addr, Domain: m.boot.Domain, HTTP: m.boot.HTTP,
			Founded: len(m.members) > 0, LeaderID: m.lead, Members: m.members, Gateways: m.gates}})
		return
	}
	if t.Role == wire.RoleServer && t.Node != 0 && t.LeaderID == t.Node && len(t.Members) > 0 {
		m.follow(t)
		return
	}
	if t.Founded && len(t.Members) > 0 && !m.Ready(m.now) {
		m.members, m.gates = t.Members, t.Gateways
		if t.LeaderID != 0 {
			m.lead = t.LeaderID
		}
	}
}

// follow hears a new leader say that it leads: what waits on another is passed
// to it at once, if it may be.
func (m *Gateway) follow(t *wire.Announcement) {
	m.members, m.lead, m.via = t.Members, t.LeaderID, wire.Peer(t.Addr)
	m.heardLeader(t.LeaderTime)
	delete(m.bad, m.via)
	if m.sync != nil && m.sync.to != m.via {
		m.sync = nil
	}
	m.syncNow()
	if !m.Ready(m.now) {
		return
	}
	for _, id := range m.order() {
		c := m.calls[id]
		if c.to != m.via && (c.ask == 0 || c.again) {
			m.pass(c)
		}
	}
}

func (m *Gateway) refresh(r *wire.Response) {
	sent, to, after := m.sync.at, m.sync.to, m.sync.after
	m.sync = nil
	if r.NotLeader || r.Status != 200 {
		m.bad[to] = m.now
		m.via = ""
		return
	}
	var s controlplane.SyncResponse
	if err := json.Unmarshal(r.Body, &s); err != nil {
		m.event("bad-sync", "error", err)
		return
	}
	switch {
	case s.Table != nil:
		m.adopt(s.Table)
	case s.Page != nil:
		m.adopted(m.routes.AddPage(*s.Page, after))
	}
	m.compare(s.Epoch)
	was := m.Ready(m.now)
	m.touch = max(m.touch, sent)
	m.members, m.gates = s.Members, s.Gateways
	if n, ok := identifier.ParseNode(s.Lead); ok && n != m.lead {
		m.lead = n
		m.via = ""
	}
	if !was && m.Ready(m.now) {
		m.event("in-touch", "via", to, "lead", s.Lead, "epoch", m.Epoch())
	}
	if best := m.choose(); best != to {
		m.via = best
	}
	if m.routes.Updating() {
		m.syncNow()
	}
}

// compare notes whether the leader has a newer table than this gateway.
func (m *Gateway) compare(leader identifier.Epoch) {
	switch {
	case leader <= m.Epoch():
		m.behind = 0
	case m.behind == 0:
		m.behind = m.now
	}
}

// adopt takes a newer table whole; an older one never replaces it.
func (m *Gateway) adopt(s *controlplane.RoutingTable) {
	m.adopted(m.routes.Replace(routing.Table{Epoch: s.Epoch, Version: s.Version, Rows: s.Rows, Routes: s.Routes}))
}

// adopted puts the table into use that the replica has come to.
func (m *Gateway) adopted(changed bool) {
	if !changed {
		return
	}
	m.rules = admission.Compile(&limits.Table{Epoch: m.routes.Epoch(), Rows: m.routes.Rows()})
	if m.queues = nil; m.routes.Version() > 0 {
		m.queues = catalog.NewRouteMap(m.routes.Version(), m.routes.Routes())
	}
	m.event("table", "epoch", m.routes.Epoch())
}

// heardLeader notes a reading of the leader's clock that came with a message.
func (m *Gateway) heardLeader(t wire.LeaderTime) {
	if t.Later(m.leaderClock) {
		m.leaderClock = t
	}
}
