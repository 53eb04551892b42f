package raft

import (
	"encoding/binary"

	"orchidward/internal/api/identifier"
)

// host is one simulated member with its disk. A crash loses everything that was not synced.
type host struct {
	id identifier.Node

	// raft is nil while the host is down. startedAt is when its clock started at 0; drift
	// is the fraction by which that clock runs fast.
	raft      *Raft
	up        bool
	startedAt int64
	drift     float64
	// pausedUntil is the time until which its process is paused.
	pausedUntil int64
	// lost is set once the host and its disk are lost permanently.
	lost bool

	disk disk
	// backlog and localSnapshot are not yet written to disk.
	backlog       Backlog
	localSnapshot *Snapshot

	// applied is the last applied index, and checksum covers all entries applied up to it.
	// The checksum is the state stored in snapshots.
	applied  identifier.Index
	checksum uint64

	// ackedIndex is the highest index that the host acknowledged in ackedTerm.
	ackedIndex identifier.Index
	ackedTerm  identifier.Term
}

func (h *host) crash() {
	h.up = false
	h.raft = nil
}

// encodeState returns the host's state as stored in a snapshot.
func (h *host) encodeState() []byte { return binary.BigEndian.AppendUint64(nil, h.checksum) }

func (h *host) restore(s *Snapshot) {
	h.applied = s.Index
	h.checksum = 0
	if len(s.Data) >= 8 {
		h.checksum = binary.BigEndian.Uint64(s.Data)
	}
}

// writeLocalSnapshot writes the pending local snapshot, unless the disk has a newer one.
func (h *host) writeLocalSnapshot() {
	if h.localSnapshot.Index > h.disk.snapshot.Index {
		h.disk.write(&Write{Snapshot: h.localSnapshot})
	}
	h.localSnapshot = nil
}

// disk holds what a host has synced.
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
	// A local snapshot may reach the disk before entries that it covers. As in the
	// write-ahead log, such entries are ignored.
	for len(d.entries) > 0 && d.entries[0].Index <= d.snapshot.Index {
		d.entries = d.entries[1:]
	}
}

// writeSnapshot replaces the snapshot and keeps the entries that directly follow it.
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
