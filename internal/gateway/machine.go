// Machine is the gate. Inputs are Tick, Request, Drop and Frame.

package gateway

import (
	"sort"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/routing"
	"orchidward/internal/stalldetector"
	"orchidward/internal/transport/wire"
)

// Gateway is a stateless front end as a pure state machine. It checks requests
// by a copy of the leader's routing table, forwards them to the leader, and
// answers for it when that is not possible. It does no input or output and reads
// no clock. It is not safe for concurrent use.
type Gateway struct {
	boot Config
	now  clock.Monotonic
	out  Output
	// routes is the copy of the leader's routing table, rules its rows compiled.
	routes routing.Replica
	rules  *admission.Rules
	// behind is since when the leader is known to have a newer table, 0 when this
	// one is the newest that is known.
	behind clock.Monotonic
	// queues finds the queues of the catalogue, nil while there is none.
	queues *catalog.RouteMap

	members []raft.Member
	gates   []string
	lead    identifier.Node
	via     wire.Peer
	bad     map[wire.Peer]clock.Monotonic
	touch   clock.Monotonic
	sync    *asked
	synced  clock.Monotonic
	told    clock.Monotonic

	// leaderClock is the latest reading of the leader's clock that came here,
	// paused finds out when this process stood still.
	leaderClock wire.LeaderTime
	paused      stalldetector.Detector

	calls  map[uint64]*call
	bytes  int
	byAsk  map[uint64]uint64
	nextID uint64
	Counts Counts
}

// Counts are for the metrics page.
type Counts struct {
	Forwarded, Answered, Refused, Stale, Redirected uint64
}

// asked is the sync under way; after is the page that it asked for.
type asked struct {
	id    uint64
	at    clock.Monotonic
	to    wire.Peer
	after string
}

// call is a request passed on and not yet answered.
type call struct {
	Request
	until clock.Monotonic
	sent  clock.Monotonic
	to    wire.Peer
	ask   uint64
	stale int
	// epoch is that of the table it was last passed on by.
	epoch identifier.Epoch
	// expired counts the tries that were refused as too old.
	expired int
	again   bool
	// lost says that some keeper may have taken the request, and its answer is
	// not known.
	lost  bool
	later clock.Monotonic
}

// New makes a gateway that knows no table and no leader yet; it is not ready
// until it has synced with a leader.
func New(boot Config, now clock.Monotonic) *Gateway {
	return &Gateway{boot: boot, now: now, nextID: uint64(boot.Seed), touch: now.Add(-10 * LeaderContactTimeout), told: now.Add(-tellGap), bad: map[wire.Peer]clock.Monotonic{}, calls: map[uint64]*call{}, byAsk: map[uint64]uint64{}}
}

// Ready tells whether the gate has been in touch with the leader lately and
// has a table to decide by.
func (m *Gateway) Ready(now clock.Monotonic) bool {
	return m.rules != nil && now.Since(m.touch) < LeaderContactTimeout
}

// CatalogVersion is the catalogue's, 0 while this gate knows of none.
func (m *Gateway) CatalogVersion() uint64 {
	if m.queues == nil {
		return 0
	}
	return m.queues.Version
}

// Queue finds the queue that a request sent to this host and path is for; rest
// is what follows the queue's prefix.
func (m *Gateway) Queue(host, path string) (name, rest string, ok bool) {
	if m.queues == nil {
		return "", "", false
	}
	return m.queues.Find(host, path)
}

// Epoch is the version of the routing table in use, 0 while there is none.
func (m *Gateway) Epoch() identifier.Epoch {
	if m.rules == nil {
		return 0
	}
	return m.rules.Epoch
}

// InFlight is the number of requests without an answer.
func (m *Gateway) InFlight() int { return len(m.calls) }

// Members lists the control-plane servers as the leader last gave them.
func (m *Gateway) Members() []raft.Member { return m.members }

// Gateways lists the client addresses of the gateways as the leader last gave them.
func (m *Gateway) Gateways() []string { return m.gates }

// TakeOutput returns the output so far and clears it.
func (m *Gateway) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Gateway) event(name string, vals ...any) {
	m.out.Events = append(m.out.Events, Event{name, vals})
}

func (m *Gateway) send(to wire.Peer, msg wire.Message) {
	m.out.Messages = append(m.out.Messages, wire.Envelope{To: to, Message: msg})
}

// observe takes the time of an input.
func (m *Gateway) observe(now clock.Monotonic) {
	m.now = max(m.now, now)
	m.paused.Observe(m.now)
}

// Tick passes in the time: it announces and syncs when due, retries requests
// that may be repeated, and gives up those whose budget is used up. It should
// come every Tick milliseconds.
func (m *Gateway) Tick(now clock.Monotonic) {
	m.observe(now)
	m.greet()
	m.keepTouch()
	if !m.Ready(m.now) {
		for _, id := range m.order() {
			m.giveUp(id, "out-of-touch", "this gate has lost touch with the core")
		}
		return
	}
	for _, id := range m.order() {
		c := m.calls[id]
		switch {
		case m.now >= c.until:
			m.giveUp(id, "no-answer", "the core did not answer in time")
		case c.later > 0 && m.now >= c.later, c.again && c.ask != 0 && m.now.Since(c.sent) > tryWait:
			m.pass(c)
		}
	}
}

func (m *Gateway) order() []uint64 {
	var list []uint64
	for id := range m.calls {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// HandleMessage passes in a message from another server. A reply counts only when it
// comes from the server that was asked last.
func (m *Gateway) HandleMessage(from wire.Peer, msg wire.Message, now clock.Monotonic) {
	m.observe(now)
	switch {
	case msg.Announcement != nil:
		m.tell(from, msg.Announcement)
	case msg.Response != nil:
		m.heardLeader(msg.Response.LeaderTime)
		if m.sync != nil && msg.Response.ID == m.sync.id && from == m.sync.to {
			m.refresh(msg.Response)
			return
		}
		m.reply(from, msg.Response)
	}
}
