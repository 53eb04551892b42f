package raft

import (
	"encoding/binary"

	"orchidward/internal/api/identifier"
)

// host is one simulated member with its disk: what was synced outlives a crash,
// what was not is gone.
type host struct {
	id identifier.Node

	// raft is nil while the host is down. startedAt is when its clock began at 0;
	// drift is by how much that clock is fast, as a fraction.
	raft      *Raft
	up        bool
	startedAt int64
	drift     float64
	// pausedUntil is until when its process stands still.
	pausedUntil int64
	// lost says that the host is gone for good, and its disk with it.
	lost bool

	disk disk
	// backlog and localSnapshot wait to be written.
	backlog       Backlog
	localSnapshot *Snapshot

	// applied is the last index applied, checksum one over all that was applied up
	// to it; snapshots carry it.
	applied  identifier.Index
	checksum uint64

	// ackedIndex is the last index it acknowledged in ackedTerm.
	ackedIndex identifier.Index
	ackedTerm  identifier.Term
}

func (h *host) crash() {
	h.up = false
	h.raft = nil
}

// encodeState is what a snapshot of the host's state holds.
func (h *host) encodeState() []byte { return binary.BigEndian.AppendUint64(nil, h.checksum) }

func (h *host) restore(s *Snapshot) {
	h.applied = s.Index
	h.checksum = 0
	if len(s.Data) >= 8 {
		h.checksum = binary.BigEndian.Uint64(s.Data)
	}
}

// writeLocalSnapshot finishes the snapshot that waits to be written, unless the
// disk has a newer one.
func (h *host) writeLocalSnapshot() {
	if h.localSnapshot.Index > h.disk.snapshot.Index {
		h.disk.write(&Write{Snapshot: h.localSnapshot})
	}
	h.localSnapshot = nil
}

// disk is what a host has synced.
type disk struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

func (d *disk) write(w *Write) {
	if w.HardState != nil {
		d.hardState = *w.HardState
	}
	if w.Snapshot != nil {
		d.writeSnapshot(w.Snapshot)
	}
	if len(w.Entries) > 0 {
		kept := d.entriesWhere(func(index identifier.Index) bool { return index < w.Entries[0].Index })
		d.entries = append(kept, w.Entries...)
	}
	// A local snapshot may be on disk before entries that it covers: as in the
	// write-ahead log, those do not count.
	for len(d.entries) > 0 && d.entries[0].Index <= d.snapshot.Index {
		d.entries = d.entries[1:]
	}
}

// writeSnapshot replaces the snapshot and keeps the entries that go on from it.
func (d *disk) writeSnapshot(s *Snapshot) {
	d.snapshot = s
	d.entries = d.entriesWhere(func(index identifier.Index) bool { return index > s.Index })
	if len(d.entries) > 0 && d.entries[0].Index != s.Index+1 {
		d.entries = nil
	}
}

func (d *disk) entriesWhere(keep func(index identifier.Index) bool) []Entry {
	kept := []Entry{}
	for _, e := range d.entries {
		if keep(e.Index) {
			kept = append(kept, e)
		}
	}
	return kept
}
