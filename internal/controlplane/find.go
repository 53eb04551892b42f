// Finding the group. A keeper whose folder is empty asks its seeds until it is
// told of a group that has it as a founder, or of one it may join as learner,
// or finds all three seeds as empty as itself and founds one with them.

package controlplane

import (
	"encoding/json"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

type find struct {
	next  clock.Monotonic
	empty map[string]raft.Member
	seen  map[string]clock.Monotonic
	// porters are the seeds that have no disk, by their own word.
	porters map[string]bool
	begun   bool
	// born is when this search began, stirred when a message among members of a
	// group was last heard.
	born, stirred clock.Monotonic
}

func newFind(now clock.Monotonic) *find {
	return &find{born: now, empty: map[string]raft.Member{}, seen: map[string]clock.Monotonic{}, porters: map[string]bool{}}
}

const (
	seekGap  = 300
	seekLife = 1500
	// stillMs is how long a keeper listens for a group before it founds one past
	// seeds without a disk, and reportGap how often a leader tells the seeds.
	stillMs   = 5000
	reportGap = 1000
)

func (m *Server) self(ask bool) *wire.Announcement {
	t := &wire.Announcement{WantReply: ask, Role: wire.RoleServer, Node: m.config.ID, Addr: m.config.Addr, Domain: m.config.Domain, Gateways: m.liveGates()}
	if p := m.porter; p != nil {
		t.Role, t.Node, t.Founded, t.Members = wire.RoleForwarder, 0, p.knows(), p.members
		if mem, ok := p.leader(m.now); ok {
			t.LeaderID = mem.ID
		}
	}
	if m.raft != nil {
		t.Founded, t.LeaderID, t.Members, t.Founders = true, m.raft.Leader(), m.raft.Members(), m.founders
		if m.leads() {
			t.LeaderTime = m.leaderTime()
		}
	}
	return t
}

func (m *Server) seek() {
	f := m.find
	if m.now < f.next || f.begun {
		return
	}
	f.next = m.now.Add(seekGap)
	for _, s := range m.config.Seeds {
		m.send(wire.Peer(s), wire.Message{Announcement: m.self(true)})
	}
	m.found()
}

// found lays the first view when every seed has lately said that it is an empty
// keeper, this one among them, or that it has no disk. Who has none is fixed, and
// all have the same seeds at the first start, so that all come to the same group.
func (m *Server) found() {
	if !m.config.MayFound {
		return
	}
	list, own := []raft.Member{}, false
	names := map[identifier.Node]bool{}
	for _, s := range m.config.Seeds {
		if at, ok := m.find.seen[s]; !ok || m.now.Since(at) > seekLife {
			return
		}
		if m.find.porters[s] {
			continue
		}
		mem := m.find.empty[s]
		own = own || mem.ID == m.config.ID
		names[mem.ID] = true
		list = append(list, mem)
	}
	if !own || len(list) == 0 || len(names) != len(list) || len(list) < len(m.config.Seeds) && !m.find.still(m.now) {
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	m.begin(list, 1)
}

// still tells whether, for long enough for a leader to make itself heard, no
// group was. Seeds without a disk forget at a restart that there is one.
func (f *find) still(now clock.Monotonic) bool {
	return now.Since(f.born) >= stillMs && (f.stirred == 0 || now.Since(f.stirred) >= stillMs)
}

func (m *Server) begin(list []raft.Member, at identifier.Index) {
	m.find.begun = true
	v := &raft.Snapshot{Index: at, Term: identifier.Term(at), Members: list, Data: m.first().Encode()}
	m.out.CreateLog = v
	m.event("begin", "founder", at == 1, "members", list)
}

// first is the book a group begins with.
func (m *Server) first() *state.Store {
	b := state.New()
	for name, text := range m.config.InitialLimits {
		b.Limits.Rows[limits.SiteRow][name] = text
	}
	return b
}

// LogCreated says that the ring Out.CreateLog asked for is on disk.
func (m *Server) LogCreated(v *raft.Snapshot, now clock.Monotonic, wall clock.WallTime) {
	m.clock(now, wall)
	if err := m.Resume(raft.HardState{}, v, nil); err != nil {
		m.quit(err.Error())
	}
}

func (m *Server) tell(from wire.Peer, t *wire.Announcement) {
	if t.Role == wire.RoleGateway {
		m.gateSeen(t.HTTP)
		if _, known := m.edge[t.Addr]; known || len(m.edge) < mostGates {
			m.edge[t.Addr] = m.now
		}
	}
	if t.WantReply && m.porter != nil && m.porter.unsure(m.now) {
		m.learn(t)
		return
	}
	if t.WantReply {
		m.send(from, wire.Message{Announcement: m.self(false)})
		if m.find == nil || !t.Founded {
			return
		}
	}
	if m.porter != nil {
		m.learn(t)
		return
	}
	if m.find == nil || m.find.begun {
		if m.raft != nil && m.now.Since(m.alone) > deadMs/2 {
			m.rejoin(from, t)
		}
		return
	}
	if t.Founded {
		for _, one := range t.Founders {
			if one.ID == m.config.ID {
				m.begin(t.Founders, 1)
				return
			}
		}
		m.join(from, t)
		return
	}
	if t.Role == wire.RoleForwarder {
		m.find.seen[string(from)], m.find.porters[string(from)] = m.now, true
	}
	if t.Role == wire.RoleServer {
		m.find.seen[string(from)], m.find.porters[string(from)] = m.now, false
		m.find.empty[string(from)] = raft.Member{ID: t.Node, Addr: t.Addr, Domain: t.Domain, Voter: true}
	}
}

// joinBody is what a would-be learner says of itself.
type joinBody struct {
	ID     string            `json:"id"`
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Level  uint16            `json:"level,omitempty"`
}

// join asks for a place as a learner: whoever told of the group, if that was a
// keeper, or else the keepers that a gate told of.
func (m *Server) join(from wire.Peer, t *wire.Announcement) {
	for _, one := range t.Members {
		if one.ID == m.config.ID && one.Addr == m.config.Addr {
			if m.raft == nil {
				m.begin(t.Members, 0)
			}
			return
		}
	}
	body, err := json.Marshal(joinBody{m.config.ID.String(), m.config.Addr, m.config.Domain, m.config.Level})
	if err != nil {
		panic(err)
	}
	to := []wire.Peer{from}
	if t.Role != wire.RoleServer {
		to = nil
		for _, one := range t.Members {
			to = append(to, wire.Peer(one.Addr))
		}
	}
	for _, peer := range to {
		m.nextID++
		m.send(peer, wire.Message{Request: &wire.Request{ID: m.nextID, Method: "JOIN", Path: "/", Body: body, Budget: seekLife}})
	}
}

// rejoin asks for a place again when this keeper, long without a leader,
// hears of a group that has given its seat away or has an old address of it.
func (m *Server) rejoin(from wire.Peer, t *wire.Announcement) {
	if t.Founded && t.LeaderID != 0 && t.Node != m.config.ID {
		m.join(from, t)
	}
}

// stray keeps asking the seeds and members when no leader is heard.
func (m *Server) stray() {
	if m.now.Since(m.alone) < deadMs/2 || int64(m.now)%(seekGap*4) >= tickMs {
		return
	}
	for _, s := range m.config.Seeds {
		m.send(wire.Peer(s), wire.Message{Announcement: m.self(true)})
	}
	for _, mem := range m.raft.Members() {
		if mem.ID != m.config.ID {
			m.send(wire.Peer(mem.Addr), wire.Message{Announcement: m.self(true)})
		}
	}
}

// herald tells gates and agents that this keeper leads, so that none of them
// waits on the one before it.
func (m *Server) herald() {
	t := m.self(false)
	list := []string{}
	for addr, at := range m.edge {
		if m.now.Since(at) < gateLife {
			list = append(list, addr)
		}
	}
	for _, n := range m.state.RunnerNames() {
		if r := m.state.Runners[n]; r.AgentAddr != "" && !r.Gone {
			list = append(list, r.AgentAddr)
		}
	}
	sort.Strings(list)
	for _, addr := range list {
		m.send(wire.Peer(addr), wire.Message{Announcement: t})
	}
}

// report tells seeds that are no members where the group is: porters, which
// forget it, and machines that have come back empty.
func (m *Server) report() {
	if m.now.Since(m.lead.told) < reportGap {
		return
	}
	m.lead.told = m.now
	members := map[string]bool{}
	for _, mem := range m.raft.Members() {
		members[mem.Addr] = true
	}
	for _, s := range m.config.Seeds {
		if !members[s] {
			m.send(wire.Peer(s), wire.Message{Announcement: m.self(false)})
		}
	}
}

// gateSeen notes that a gate lives; past the bound no more are taken in.
func (m *Server) gateSeen(http string) {
	if _, known := m.gates[http]; known || http != "" && len(m.gates) < mostGates {
		m.gates[http] = m.now
	}
}

func (m *Server) liveGates() []string {
	var out []string
	for g, at := range m.gates {
		if m.now.Since(at) < gateLife {
			out = append(out, g)
		}
	}
	sort.Strings(out)
	return out
}
