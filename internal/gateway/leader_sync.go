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

// leaderSync is how a gateway keeps in touch with the leader.
type leaderSync struct {
	// request is the sync under way, nil while there is none.
	request  *syncRequest
	lastSync clock.Monotonic
	// lastContactAt is when the last sync was sent that the leader has answered.
	lastContactAt clock.Monotonic
	lastAnnounce  clock.Monotonic
	// contactLogged says that the log's last word is that the leader was in touch, and
	// unanswered counts the syncs without a response since it last was.
	contactLogged bool
	unanswered    int
}

// syncRequest is a sync under way; after is the name after which its page begins.
type syncRequest struct {
	id     uint64
	sentAt clock.Monotonic
	to     wire.Peer
	after  string
}

// awaits reports whether a response is the one to the sync under way.
func (s *leaderSync) awaits(from wire.Peer, id uint64) bool {
	return s.request != nil && id == s.request.id && from == s.request.to
}

// announce tells the servers of this gateway, and asks the seeds while it has no one
// better to ask.
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

// announcement is what this gateway tells of itself.
func (g *Gateway) announcement() *wire.Announcement {
	return &wire.Announcement{Role: wire.RoleGateway, Addr: g.config.Addr, Domain: g.config.Domain, HTTP: g.config.HTTP}
}

// syncIfDue syncs with the leader when it is time to, and turns to another server when
// this one is silent.
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

// syncNow syncs without waiting for the next time.
func (g *Gateway) syncNow() {
	g.sync.lastSync = g.now.Add(-syncInterval)
	g.syncIfDue()
}

// handleAnnouncement answers who asks for the cluster, turns to a new leader, and learns
// of servers while it is out of touch.
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
	byLeader := announcement.Role == wire.RoleServer && announcement.NamesSenderLeader()
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

// followLeader turns to a new leader by its own word: what waits on another server is
// passed to it at once, if it may be sent again.
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

// handleSyncResponse takes what the leader says has changed.
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

// updateServers takes the servers that the leader names.
func (g *Gateway) updateServers(response *routing.SyncResponse) {
	g.servers.members = response.Members
	g.servers.gateways = response.Gateways
	if leader, ok := identifier.ParseNode(response.Leader); ok && leader != g.servers.leaderID {
		g.servers.leaderID = leader
		g.servers.target = ""
	}
}

// logContactLost logs, once, that contact with the leader was lost: how long ago the last
// sync that it answered was sent, how many got no response since, and who was asked last.
func (g *Gateway) logContactLost() {
	if !g.sync.contactLogged {
		return
	}
	g.sync.contactLogged = false
	g.logEvent("out-of-touch", "silentMs", g.now.Since(g.sync.lastContactAt),
		"unanswered", g.sync.unanswered, "target", g.servers.target, "leader", g.servers.leaderID.String())
}
