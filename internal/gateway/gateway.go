package gateway

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/stalldetector"
	"orchidward/internal/transport/wire"
)

// Gateway is a stateless front end as a pure state machine. It does no input or output
// and reads no clock. It is not safe for concurrent use.
type Gateway struct {
	// Counts are for the metrics page. Callers may only read them.
	Counts Counts

	config Config
	now    clock.Monotonic
	output Output
	// stalls detects that this process was paused, after which the age of the requests it
	// reads is unknown.
	stalls stalldetector.Detector

	routing  routingCopy
	servers  serverSet
	sync     leaderSync
	requests requestTable

	// lastAttempt is the number of the last message that expects a response.
	lastAttempt uint64
	// latestLeaderTime is the latest reading of the leader's clock received here.
	latestLeaderTime wire.LeaderTime
}

// Counts are the counters of the metrics page since the start of the process: requests
// received, answered, and answered with an error of the gateway's own; responses in which a
// server reported a stale table, or that it is not the leader; syncs without a response;
// and, by cause, requests refused for their API key.
type Counts struct {
	Received        uint64
	Answered        uint64
	Refused         uint64
	Stale           uint64
	Redirected      uint64
	SyncsUnanswered uint64
	WithoutKey      uint64
	UnknownKey      uint64
	KeysBehind      uint64
}

// New returns a gateway without a routing table or a known leader. It is not ready until it
// has synced with a leader.
func New(config Config, now clock.Monotonic) *Gateway {
	return &Gateway{
		config:      config,
		now:         now,
		lastAttempt: uint64(config.Seed),
		servers:     serverSet{failedAt: map[wire.Peer]clock.Monotonic{}},
		sync: leaderSync{
			// Long enough ago that the gateway is not ready.
			lastContactAt: now.Add(-10 * LeaderContactTimeout),
			lastAnnounce:  now.Add(-announceInterval),
		},
		requests: requestTable{byID: map[uint64]*request{}, byAttempt: map[uint64]uint64{}},
	}
}

// Ready reports whether the gateway has a routing table and has had contact with the leader
// within LeaderContactTimeout.
func (g *Gateway) Ready(now clock.Monotonic) bool {
	return g.routing.rules != nil && now.Since(g.sync.lastContactAt) < LeaderContactTimeout
}

// CatalogVersion returns the version of the catalogue, 0 while the gateway has none.
func (g *Gateway) CatalogVersion() uint64 { return g.routing.catalogVersion() }

// Queue returns the queue that requests to this host and path address; rest is the part of
// the path after the queue's prefix.
func (g *Gateway) Queue(host, path string) (name, rest string, ok bool) {
	if g.routing.routeMap == nil {
		return "", "", false
	}
	return g.routing.routeMap.Find(host, path)
}

// Epoch returns the epoch of the routing table in use, 0 while there is none.
func (g *Gateway) Epoch() identifier.Epoch { return g.routing.epoch() }

// Behind reports whether the leader has had a newer table for so long that an entry missing
// from this gateway's table can no longer be reported as absent.
func (g *Gateway) Behind() bool { return g.routing.behind(g.now) }

// InFlight returns the number of requests without a response.
func (g *Gateway) InFlight() int { return len(g.requests.byID) }

// Members returns the control-plane servers as last reported by the leader.
func (g *Gateway) Members() []raft.Member { return g.servers.members }

// Gateways returns the client addresses of the gateways as last reported by the leader.
func (g *Gateway) Gateways() []string { return g.servers.gateways }

// TakeOutput returns the accumulated output and clears it.
func (g *Gateway) TakeOutput() Output {
	out := g.output
	g.output = Output{}
	return out
}

// Tick advances the time: it announces the gateway and syncs when due, retries requests that
// may be sent again, and fails those whose budget is used up. It should be called every
// TickInterval.
func (g *Gateway) Tick(now clock.Monotonic) {
	g.observe(now)
	g.announce()
	g.syncIfDue()
	if !g.Ready(g.now) {
		g.logContactLost()
		g.failAll()
		return
	}
	for _, id := range g.requests.ids() {
		r := g.requests.byID[id]
		switch {
		case g.now >= r.deadline:
			g.fail(id, codeNoAnswer, "the control plane did not answer in time")
		case r.retryDue(g.now):
			g.forwardAgain(r)
		}
	}
}

// failAll fails every request in flight because contact with the leader is lost.
func (g *Gateway) failAll() {
	for _, id := range g.requests.ids() {
		g.fail(id, codeContactLost, messageContactLost)
	}
}

// HandleMessage processes a message from another process. A response is accepted only from
// the server to which the request was last sent.
func (g *Gateway) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic) {
	g.observe(now)
	switch {
	case msg.Announcement != nil:
		g.handleAnnouncement(from, msg.Announcement)
	case msg.Response != nil:
		g.observeLeaderTime(msg.Response.LeaderTime)
		if g.sync.awaits(from, msg.Response.ID) {
			g.handleSyncResponse(msg.Response)
			return
		}
		g.handleResponse(from, msg.Response)
	}
}

// observe advances the time to that of an input and checks for a stall.
func (g *Gateway) observe(now clock.Monotonic) {
	g.now = max(g.now, now)
	g.stalls.Observe(g.now)
}

// observeLeaderTime records a reading of the leader's clock received with a message.
func (g *Gateway) observeLeaderTime(reading wire.LeaderTime) {
	if reading.Later(g.latestLeaderTime) {
		g.latestLeaderTime = reading
	}
}

func (g *Gateway) logEvent(name string, fields ...any) {
	g.output.Events = append(g.output.Events, Event{name, fields})
}

func (g *Gateway) send(to wire.Peer, msg wire.Message) {
	g.output.Messages = append(g.output.Messages, wire.Envelope{To: to, Message: msg})
}
