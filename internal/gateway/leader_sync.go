package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// leaderSync is the state of a gateway's contact with the leader.
type leaderSync struct {
	// request is the sync in flight, nil while there is none.
	request  *syncRequest
	lastSync clock.Monotonic
	// lastContactAt is when the last sync that the leader answered was sent.
	lastContactAt clock.Monotonic
	lastAnnounce  clock.Monotonic
	// contactLogged is set if the last event logged about the contact with the leader is
	// that it was established. unanswered counts the syncs without a response since the
	// last contact.
	contactLogged bool
	unanswered    int
}

// syncRequest is a sync in flight; after is the name after which the requested page begins.
type syncRequest struct {
	id     uint64
	sentAt clock.Monotonic
	to     wire.Peer
	after  string
}

// awaits reports whether a response is the one to the sync in flight.
func (s *leaderSync) awaits(from wire.Peer, id uint64) bool {
	return s.request != nil && id == s.request.id && from == s.request.to
}

// announce announces this gateway to the servers when due. While the gateway has no contact
// with the leader, it also asks the seeds for the members of the cluster.
func (g *Gateway) announce() {
	outOfTouch := !g.Ready(g.now)
	interval := announceInterval
	if outOfTouch {
		interval = announceIntervalNoContact
	}
	if g.now.Since(g.sync.lastAnnounce) < interval {
		return
	}
	g.sync.lastAnnounce = g.now
	announcement := g.announcement()
	announcement.WantReply = outOfTouch
	known := map[string]bool{g.config.Addr: true}
	for _, member := range g.servers.members {
		known[member.Addr] = true
		g.send(wire.Peer(member.Addr), wire.Message{Announcement: announcement})
	}
	for _, seed := range g.config.Seeds {
		if outOfTouch && !known[seed] {
			g.send(wire.Peer(seed), wire.Message{Announcement: announcement})
		}
	}
}

// announcement returns this gateway's description of itself.
func (g *Gateway) announcement() *wire.Announcement {
	return &wire.Announcement{Role: wire.RoleGateway, Addr: g.config.Addr, Domain: g.config.Domain, HTTP: g.config.HTTP}
}

// syncIfDue syncs with the leader when due. If a sync times out, its server is marked as
// failed and the next sync is sent to another server.
func (g *Gateway) syncIfDue() {
	sync := &g.sync
	if sync.request != nil && g.now.Since(sync.request.sentAt) > syncTimeout {
		g.Counts.SyncsUnanswered++
		sync.unanswered++
		g.servers.markFailed(sync.request.to, g.now)
		sync.request = nil
	}
	if sync.request != nil || g.now.Since(sync.lastSync) < syncInterval {
		return
	}
	target := g.servers.ensureTarget(g.now)
	if target == "" {
		return
	}
	sync.lastSync = g.now
	since, after := g.routing.replica.NextRequest()
	sync.request = &syncRequest{id: g.nextAttempt(), sentAt: g.now, to: target, after: after}
	query := url.Values{
		routing.SyncGatewayParam: {g.config.HTTP},
		routing.SyncSinceParam:   {strconv.FormatUint(uint64(since), 10)},
	}
	if after != "" {
		query.Set(routing.SyncAfterParam, after)
	}
	g.send(target, wire.Message{Request: &wire.Request{
		ID:     sync.request.id,
		Method: endpoint.MethodSync,
		Path:   "/",
		Query:  query.Encode(),
		Epoch:  g.Epoch(),
		Budget: syncTimeout,
	}})
}

// syncNow syncs without waiting for syncInterval to pass. It does nothing while a sync is
// in flight.
func (g *Gateway) syncNow() {
	g.sync.lastSync = g.now.Add(-syncInterval)
	g.syncIfDue()
}

// handleAnnouncement replies to processes that ask for the members of the cluster, switches
// to a new leader, and, while the gateway has no contact with the leader, records the
// announced servers.
func (g *Gateway) handleAnnouncement(from wire.Peer, announcement *wire.Announcement) {
	if announcement.WantReply {
		reply := g.announcement()
		reply.Founded = len(g.servers.members) > 0
		reply.LeaderID = g.servers.leaderID
		reply.Members = g.servers.members
		reply.Gateways = g.servers.gateways
		g.send(from, wire.Message{Announcement: reply})
		return
	}
	byLeader := announcement.Role == wire.RoleServer && announcement.ClaimsLeadership()
	if byLeader && len(announcement.Members) > 0 {
		g.followLeader(announcement)
		return
	}
	if announcement.Founded && len(announcement.Members) > 0 && !g.Ready(g.now) {
		g.servers.members = announcement.Members
		g.servers.gateways = announcement.Gateways
		if announcement.LeaderID != 0 {
			g.servers.leaderID = announcement.LeaderID
		}
	}
}

// followLeader switches to a leader that has announced itself. Requests in flight at another
// server are immediately sent to the new leader, if they may be sent again.
func (g *Gateway) followLeader(announcement *wire.Announcement) {
	leader := wire.Peer(announcement.Addr)
	g.servers.members = announcement.Members
	g.servers.leaderID = announcement.LeaderID
	g.servers.target = leader
	delete(g.servers.failedAt, leader)
	g.observeLeaderTime(announcement.LeaderTime)
	if g.sync.request != nil && g.sync.request.to != leader {
		g.sync.request = nil
	}
	g.syncNow()
	if !g.Ready(g.now) {
		return
	}
	for _, id := range g.requests.ids() {
		r := g.requests.byID[id]
		if r.to != g.servers.target && (r.attempt == 0 || r.idempotent) {
			g.forwardAgain(r)
		}
	}
}

// handleSyncResponse applies the changes that the leader sent in response to a sync.
func (g *Gateway) handleSyncResponse(r *wire.Response) {
	sync := g.sync.request
	g.sync.request = nil
	if r.NotLeader || r.Status != http.StatusOK {
		g.servers.markFailed(sync.to, g.now)
		return
	}
	var response routing.SyncResponse
	if err := json.Unmarshal(r.Body, &response); err != nil {
		g.logEvent("sync-malformed", "error", err)
		return
	}
	switch {
	case response.Table != nil:
		g.replaceTable(response.Table)
	case response.Page != nil:
		g.useTable(g.routing.replica.AddPage(*response.Page, sync.after))
	}
	g.routing.recordLeaderEpoch(response.Epoch, g.now)
	wasReady := g.Ready(g.now)
	g.sync.lastContactAt = max(g.sync.lastContactAt, sync.sentAt)
	g.updateServers(&response)
	g.sync.unanswered = 0
	if !wasReady && g.Ready(g.now) {
		g.sync.contactLogged = true
		g.logEvent("in-touch", "via", sync.to, "leader", response.Leader, "epoch", g.Epoch())
	}
	if best := g.servers.choose(g.now); best != sync.to {
		g.servers.target = best
	}
	if g.routing.replica.Updating() {
		g.syncNow()
	}
}

// updateServers records the servers, gateways and leader that the leader reported.
func (g *Gateway) updateServers(response *routing.SyncResponse) {
	g.servers.members = response.Members
	g.servers.gateways = response.Gateways
	if leader, ok := identifier.ParseNode(response.Leader); ok && leader != g.servers.leaderID {
		g.servers.leaderID = leader
		g.servers.target = ""
	}
}

// logContactLost logs once that contact with the leader was lost: how long ago the last
// answered sync was sent, how many syncs have had no response since, and which server is the
// current target.
func (g *Gateway) logContactLost() {
	if !g.sync.contactLogged {
		return
	}
	g.sync.contactLogged = false
	g.logEvent("out-of-touch", "silentMs", g.now.Since(g.sync.lastContactAt),
		"unanswered", g.sync.unanswered, "target", g.servers.target, "leader", g.servers.leaderID.String())
}
