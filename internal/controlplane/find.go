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

func (m *Machine) self(ask bool) *wire.Tell {
	t := &wire.Tell{Ask: ask, Role: "keeper", Node: m.boot.ID, Addr: m.boot.Addr, Domain: m.boot.Domain, Gates: m.liveGates()}
	if p := m.porter; p != nil {
		t.Role, t.Node, t.Founded, t.Members = "porter", 0, p.knows(), p.members
		if mem, ok := p.leader(m.now); ok {
			t.Lead = mem.ID
		}
	}
	if m.raft != nil {
		t.Founded, t.Lead, t.Members, t.Founders = true, m.raft.Lead(), m.raft.Members(), m.founders
		if m.leads() {
			t.Leader = m.leaderTime()
		}
	}
	return t
}

func (m *Machine) seek() {
	f := m.find
	if m.now < f.next || f.begun {
		return
	}
	f.next = m.now.Add(seekGap)
	for _, s := range m.boot.Seeds {
		m.send(wire.Peer(s), wire.Msg{Tell: m.self(true)})
	}
	m.found()
}

// found lays the first view when every seed has lately said that it is an empty
// keeper, this one among them, or that it has no disk. Who has none is fixed, and
// all have the same seeds at the first start, so that all come to the same group.
func (m *Machine) found() {
	if !m.boot.Found {
		return
	}
	list, own := []raft.Member{}, false
	names := map[identifier.Node]bool{}
	for _, s := range m.boot.Seeds {
		if at, ok := m.find.seen[s]; !ok || m.now.Since(at) > seekLife {
			return
		}
		if m.find.porters[s] {
			continue
		}
		mem := m.find.empty[s]
		own = own || mem.ID == m.boot.ID
		names[mem.ID] = true
		list = append(list, mem)
	}
	if !own || len(list) == 0 || len(names) != len(list) || len(list) < len(m.boot.Seeds) && !m.find.still(m.now) {
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

func (m *Machine) begin(list []raft.Member, at identifier.Index) {
	m.find.begun = true
	v := &raft.Snapshot{Index: at, Term: identifier.Term(at), Members: list, Data: m.first().Encode()}
	m.out.Start = v
	m.event("begin", "founder", at == 1, "members", list)
}

// first is the book a group begins with.
func (m *Machine) first() *state.Book {
	b := state.New()
	for name, text := range m.boot.Cells {
		b.Table.Rows[limits.SiteRow][name] = text
	}
	return b
}

// Started says that the ring Out.Start asked for is on disk.
func (m *Machine) Started(v *raft.Snapshot, now clock.Monotonic, wall clock.WallTime) {
	m.clock(now, wall)
	if err := m.Resume(raft.HardState{}, v, nil); err != nil {
		m.quit(err.Error())
	}
}

func (m *Machine) tell(from wire.Peer, t *wire.Tell) {
	if t.Role == "gate" {
		m.gateSeen(t.HTTP)
		if _, known := m.edge[t.Addr]; known || len(m.edge) < mostGates {
			m.edge[t.Addr] = m.now
		}
	}
	if t.Ask && m.porter != nil && m.porter.unsure(m.now) {
		m.learn(t)
		return
	}
	if t.Ask {
		m.send(from, wire.Msg{Tell: m.self(false)})
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
			if one.ID == m.boot.ID {
				m.begin(t.Founders, 1)
				return
			}
		}
		m.join(from, t)
		return
	}
	if t.Role == "porter" {
		m.find.seen[string(from)], m.find.porters[string(from)] = m.now, true
	}
	if t.Role == "keeper" {
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
func (m *Machine) join(from wire.Peer, t *wire.Tell) {
	for _, one := range t.Members {
		if one.ID == m.boot.ID && one.Addr == m.boot.Addr {
			if m.raft == nil {
				m.begin(t.Members, 0)
			}
			return
		}
	}
	body, err := json.Marshal(joinBody{m.boot.ID.String(), m.boot.Addr, m.boot.Domain, m.boot.Level})
	if err != nil {
		panic(err)
	}
	to := []wire.Peer{from}
	if t.Role != "keeper" {
		to = nil
		for _, one := range t.Members {
			to = append(to, wire.Peer(one.Addr))
		}
	}
	for _, peer := range to {
		m.nextID++
		m.send(peer, wire.Msg{Ask: &wire.Ask{ID: m.nextID, Verb: "JOIN", Path: "/", Body: body, Budget: seekLife}})
	}
}

// rejoin asks for a place again when this keeper, long without a leader,
// hears of a group that has given its seat away or has an old address of it.
func (m *Machine) rejoin(from wire.Peer, t *wire.Tell) {
	if t.Founded && t.Lead != 0 && t.Node != m.boot.ID {
		m.join(from, t)
	}
}

// stray keeps asking the seeds and members when no leader is heard.
func (m *Machine) stray() {
	if m.now.Since(m.alone) < deadMs/2 || int64(m.now)%(seekGap*4) >= tickMs {
		return
	}
	for _, s := range m.boot.Seeds {
		m.send(wire.Peer(s), wire.Msg{Tell: m.self(true)})
	}
	for _, mem := range m.raft.Members() {
		if mem.ID != m.boot.ID {
			m.send(wire.Peer(mem.Addr), wire.Msg{Tell: m.self(true)})
		}
	}
}

// herald tells gates and agents that this keeper leads, so that none of them
// waits on the one before it.
func (m *Machine) herald() {
	t := m.self(false)
	list := []string{}
	for addr, at := range m.edge {
		if m.now.Since(at) < gateLife {
			list = append(list, addr)
		}
	}
	for _, n := range m.book.RunnerNames() {
		if r := m.book.Runners[n]; r.Addr != "" && !r.Gone {
			list = append(list, r.Addr)
		}
	}
	sort.Strings(list)
	for _, addr := range list {
		m.send(wire.Peer(addr), wire.Msg{Tell: t})
	}
}

// report tells seeds that are no members where the group is: porters, which
// forget it, and machines that have come back empty.
func (m *Machine) report() {
	if m.now.Since(m.lead.told) < reportGap {
		return
	}
	m.lead.told = m.now
	members := map[string]bool{}
	for _, mem := range m.raft.Members() {
		members[mem.Addr] = true
	}
	for _, s := range m.boot.Seeds {
		if !members[s] {
			m.send(wire.Peer(s), wire.Msg{Tell: m.self(false)})
		}
	}
}

// gateSeen notes that a gate lives; past the bound no more are taken in.
func (m *Machine) gateSeen(http string) {
	if _, known := m.gates[http]; known || http != "" && len(m.gates) < mostGates {
		m.gates[http] = m.now
	}
}

func (m *Machine) liveGates() []string {
	var out []string
	for g, at := range m.gates {
		if m.now.Since(at) < gateLife {
			out = append(out, g)
		}
	}
	sort.Strings(out)
	return out
}
