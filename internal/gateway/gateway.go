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
	// stalls notices that this process stood still, so that the age of what it reads
	// is not known.
	stalls stalldetector.Detector

	routing  routingCopy
	servers  serverSet
	sync     leaderSync
	requests requestTable

	// lastAttempt is the number of the last message that awaits a response.
	lastAttempt uint64
	// latestLeaderTime is the latest reading of the leader's clock that came here.
	latestLeaderTime wire.LeaderTime
}

// Counts are numbers for the metrics page, since the start: requests that came in, were
// answered, and were answered with an error of the gateway's own; responses of servers
// that said that the table is stale, or that they do not lead; syncs without a response; and,
// by cause, requests that were refused for their API key.
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

// New makes a gateway that knows no table and no leader yet; it is not ready until it has
// synced with a leader.
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

// Ready reports whether the gateway has been in touch with the leader lately and has a table
// to decide by.
func (g *Gateway) Ready(now clock.Monotonic) bool {
	return g.routing.rules != nil && now.Since(g.sync.lastContactAt) < LeaderContactTimeout
}

// CatalogVersion is the version of the catalogue, 0 while this gateway knows of none.
func (g *Gateway) CatalogVersion() uint64 { return g.routing.catalogVersion() }

// Queue finds the queue that a request sent to this host and path is for; rest is what
// follows the queue's prefix.
func (g *Gateway) Queue(host, path string) (name, rest string, ok bool) {
	if g.routing.routeMap == nil {
		return "", "", false
	}
	return g.routing.routeMap.Find(host, path)
}

// Epoch is the version of the routing table in use, 0 while there is none.
func (g *Gateway) Epoch() identifier.Epoch { return g.routing.epoch() }

// Behind reports whether the leader has had a newer table for so long that this gateway
// can't say any more what there is not.
func (g *Gateway) Behind() bool { return g.routing.behind(g.now) }

// InFlight is the number of requests without a response.
func (g *Gateway) InFlight() int { return len(g.requests.byID) }

// Members lists the control-plane servers as the leader last gave them.
func (g *Gateway) Members() []raft.Member { return g.servers.members }

// Gateways lists the client addresses of the gateways as the leader last gave them.
func (g *Gateway) Gateways() []string { return g.servers.gateways }

// TakeOutput returns the output so far and clears it.
func (g *Gateway) TakeOutput() Output {
	out := g.output
	g.output = Output{}
	return out
}

// Tick passes in the time: it announces the gateway and syncs when due, retries requests
// that may be sent again, and fails those whose budget is used up. It should come every
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

// failAll answers every request in flight, as the leader is out of touch.
func (g *Gateway) failAll() {
	for _, id := range g.requests.ids() {
		g.fail(id, codeContactLost, messageContactLost)
	}
}

// HandleMessage passes in a message from another process. A response counts only when it
// comes from the server that was asked last.
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

// observe takes the time of an input.
func (g *Gateway) observe(now clock.Monotonic) {
	g.now = max(g.now, now)
	g.stalls.Observe(g.now)
}

// observeLeaderTime takes a reading of the leader's clock that came with a message.
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
