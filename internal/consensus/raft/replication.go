// Replication: how the leader's log gets to the others, and when an entry is
// committed.

package raft

import (
	"sort"

	"orchidward/internal/api/identifier"
)

func (r *Raft) append(kind EntryKind, data []byte) identifier.Index {
	e := Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: kind, Data: data}
	r.log.list = append(r.log.list, e)
	r.write.Entries = append(r.write.Entries, e)
	r.learnConfiguration(e)
	return e.Index
}

// Propose logs a command; it is decided once Commit hands it out again.
func (r *Raft) Propose(data []byte) (i identifier.Index, ok bool) {
	if r.role != Leader {
		return 0, false
	}
	return r.append(EntryCommand, data), true
}

// Flush sends what has been appended since, without waiting for a beat.
func (r *Raft) Flush() {
	if r.role != Leader {
		return
	}
	for _, m := range r.Members() {
		if p := r.peers[m.ID]; p != nil && p.next <= r.log.last() {
			r.replicateTo(m.ID, false)
		}
	}
}

func (r *Raft) replicateTo(to identifier.Node, beat bool) {
	p := r.peers[to]
	if p == nil {
		return
	}
	if p.load != nil || p.next <= r.log.base {
		r.sendSnapshot(to, p, beat)
		return
	}
	if p.probe && p.out {
		if !beat {
			return
		}
		p.next = p.prev + 1
	}
	prev := p.next - 1
	t, _ := r.log.term(prev)
	m := Message{Kind: AppendEntries, To: to, Index: prev, LogTerm: t, Commit: r.commit}
	if p.next-p.match < window && r.log.bytes(p.match+1, p.next-1) < windowBytes {
		m.Entries = r.log.from(p.next, appendBytes)
	}
	if len(m.Entries) == 0 && !beat {
		return
	}
	p.next += identifier.Index(len(m.Entries))
	p.prev, p.out = prev, true
	r.send(m)
}

func (r *Raft) sendSnapshot(to identifier.Node, p *peer, beat bool) {
	if p.load == nil || p.load != r.log.view && r.silent(p) {
		p.load, p.off, p.sent = r.log.view, 0, 0
	}
	end := min(p.off+chunk, int64(len(p.load.Data)))
	if p.sent != 0 && r.now.Since(p.sent) < r.tm.ElectionTimeout {
		if !beat {
			return
		}
		end = p.off
	} else {
		p.sent = r.now
	}
	part := &Snapshot{Index: p.load.Index, Term: p.load.Term, Members: p.load.Members, Data: p.load.Data[p.off:end]}
	r.send(Message{Kind: InstallSnapshot, To: to, Snapshot: part, Offset: p.off, Total: int64(len(p.load.Data)), Commit: r.commit})
}

func (r *Raft) advanceCommit() {
	list := []identifier.Index{}
	for _, m := range r.Members() {
		switch {
		case !m.Voter:
		case m.ID == r.id:
			list = append(list, r.synced)
		case r.peers[m.ID] != nil:
			list = append(list, r.peers[m.ID].match)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] > list[j] })
	at := list[r.voters()/2]
	if t, ok := r.log.term(at); ok && at > r.commit && t == r.hard.Term {
		r.commit = at
	}
}

// addPeers makes sure that every other member has a peer.
func (r *Raft) addPeers() {
	for _, m := range r.Members() {
		if m.ID != r.id && r.peers[m.ID] == nil {
			r.peers[m.ID] = &peer{next: r.log.last() + 1, probe: true, ack: never, heard: r.now}
		}
	}
}

// oldestLoad is the index of the oldest snapshot that a live follower is being
// sent, or that of the newest snapshot when none is.
func (r *Raft) oldestLoad() identifier.Index {
	oldest := r.log.view.Index
	for _, p := range r.peers {
		if p.load != nil && !r.silent(p) {
			oldest = min(oldest, p.load.Index)
		}
	}
	return oldest
}

// silent tells whether a peer has not been heard for so long that a load to it
// may as well begin anew.
func (r *Raft) silent(p *peer) bool { return r.now.Since(p.heard) > 2*r.tm.ElectionTimeout }

// Compact takes a view of the state at an applied index.
func (r *Raft) Compact(index identifier.Index, data []byte) {
	t, ok := r.log.term(index)
	if !ok || index <= r.log.view.Index {
		return
	}
	v := &Snapshot{Index: index, Term: t, Data: data}
	for _, c := range r.configurations {
		if c.index <= index {
			v.Members = c.members
		}
	}
	r.log.view = v
	r.out.LocalSnapshot = v
	r.log.dropTo(r.log.retainFrom(r.tail, r.oldestLoad()))
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
}
