// What agreement decided is applied to the state, and answered to whoever
// proposed it.

package controlplane

import (
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

func (m *Server) apply(e raft.Entry) {
	m.at = e.Index
	at := m.came(e.Index)
	m.since += int64(len(e.Data))
	if e.Kind != raft.EntryCommand {
		if e.Kind == raft.EntryConfig {
			m.event("members", "list", m.raft.Members())
		}
		return
	}
	c, err := state.DecodeCommand(e.Data)
	if err != nil {
		m.quit("an entry that this program does not know", "index", e.Index, "error", err)
		return
	}
	if c.RaiseLevel != nil && c.RaiseLevel.Level > m.config.Level {
		m.quit("the group's level is above this program's", "level", c.RaiseLevel.Level)
		return
	}
	if c.VerifyChecksum != nil && m.parted(c.VerifyChecksum) {
		return
	}
	first := m.state.NextLease
	res := m.state.Apply(c)
	if e.Term != m.seenTerm || m.state.Now > m.seen.site(m.now) {
		m.seen, m.seenTerm = newClusterClock(m.state.Now, at), e.Term
	}
	m.trackRouting()
	m.sums.put(e.Index, m.state.Checksum)
	m.logged(c, res)
	m.state.TakeChangedRunners(func(n identifier.Runner) {
		if m.lead != nil {
			m.lead.hot[n] = true
		}
	})
	if m.lead != nil {
		m.lead.dirty = true
		for id := first; id < m.state.NextLease; id++ {
			m.lead.placed[id] = m.now
		}
	}
	w, ok := m.waits[e.Index]
	if !ok {
		return
	}
	m.drop(e.Index)
	if w.term != e.Term {
		m.giveUp(w)
		return
	}
	m.answer(w.peer, w.id, res)
}

// waiting lists the proposals under way in the order they were made.
func (m *Server) waiting() []identifier.Index {
	var list []identifier.Index
	for i := range m.waits {
		list = append(list, i)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (m *Server) drop(i identifier.Index) {
	if m.waits[i].table {
		m.tables--
	}
	m.bytes -= m.waits[i].size
	delete(m.waits, i)
}

// view bounds the ring: by entries, by bytes, and by how full the disk says
// the ring has become.
func (m *Server) view() {
	n := m.at - m.raft.SnapshotIndex()
	if n < viewEvery && m.since < viewBytes && (m.LogPercentUsed() < 50 || n < 256) {
		return
	}
	m.since = 0
	m.raft.Compact(m.at, m.state.Encode())
	m.event("view", "index", m.at)
}

func (m *Server) carry(out raft.Output) bool {
	if out.InstalledSnapshot != nil {
		b, err := state.Decode(out.InstalledSnapshot.Data)
		if err != nil {
			panic(fmt.Sprintf("keeper: view from the leader does not decode: %v", err))
		}
		if b.Level > m.config.Level {
			m.quit("the group's level is above this program's", "level", b.Level)
			return false
		}
		m.state, m.at, m.since = b, out.InstalledSnapshot.Index, 0
		m.forgetRouting()
		m.event("view-loaded", "index", out.InstalledSnapshot.Index)
	}
	for _, msg := range out.Messages {
		mem, ok := m.raft.Member(msg.To)
		switch {
		case ok:
			m.send(wire.Peer(mem.Addr), wire.Message{Raft: &msg})
		case msg.To == m.voice.id:
			m.send(m.voice.peer, wire.Message{Raft: &msg})
		}
	}
	if out.Write != nil {
		m.out.Writes = append(m.out.Writes, out.Write)
	}
	if out.LocalSnapshot != nil {
		m.out.Snapshot = out.LocalSnapshot
	}
	for _, e := range out.Committed {
		if m.apply(e); m.over {
			return false
		}
	}
	if len(out.Committed) > 0 {
		m.view()
	}
	m.turn()
	return len(out.Committed) > 0 && m.lead != nil
}
