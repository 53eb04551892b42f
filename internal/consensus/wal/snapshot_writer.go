// A Draft is a view on its way to the disk, a slice at a time, so that entries
// can be written and acknowledged between its slices. Until the last slice is
// down and the name changed, the view before it counts.

package wal

import (
	"github.com/go-faster/errors"

	"orchidward/internal/consensus/raft"
)

// chunkBytes is how much of a draft goes down between entries.
const chunkBytes = 512 << 10

// SnapshotWriter is a snapshot that is written in the background, a chunk at a time.
type SnapshotWriter struct {
	snapshot *raft.Snapshot
	encoded  []byte
	written  int
}

// NewSnapshotWriter begins with nothing written. The snapshot must not be changed while
// the draft is in use.
func NewSnapshotWriter(v *raft.Snapshot) *SnapshotWriter { return &SnapshotWriter{snapshot: v} }

// WriteChunk writes the next part of a draft and tells whether that was all of it.
// A draft that a later view has overtaken is dropped.
func (r *Log) WriteChunk(d *SnapshotWriter) (over bool, err error) {
	if d.snapshot.Index <= r.snapshotIndex {
		return true, nil
	}
	if d.encoded == nil {
		d.encoded = encodeSnapshot(d.snapshot)
	}
	end := min(d.written+chunkBytes, len(d.encoded))
	if err = r.disk.AppendReplacement(snapshotFileName, d.written, d.encoded[d.written:end]); err != nil {
		return false, errors.Wrap(err, "view")
	}
	if d.written = end; end < len(d.encoded) {
		return false, nil
	}
	if err = r.disk.CommitReplacement(snapshotFileName); err != nil {
		return false, errors.Wrap(err, "view")
	}
	r.snapshotIndex = d.snapshot.Index
	return true, nil
}
