// A Draft is a view on its way to the disk, a slice at a time, so that entries
// can be written and acknowledged between its slices. Until the last slice is
// down and the name changed, the view before it counts.

package wal

import (
	"github.com/go-faster/errors"

	"orchidward/internal/consensus/raft"
)

// sliceBytes is how much of a draft goes down between entries.
const sliceBytes = 512 << 10

// SnapshotWriter is a snapshot that is written in the background, a chunk at a time.
type SnapshotWriter struct {
	view *raft.Snapshot
	body []byte
	off  int
}

// NewSnapshotWriter begins with nothing written. The snapshot must not be changed while
// the draft is in use.
func NewSnapshotWriter(v *raft.Snapshot) *SnapshotWriter { return &SnapshotWriter{view: v} }

// WriteChunk writes the next part of a draft and tells whether that was all of it.
// A draft that a later view has overtaken is dropped.
func (r *Log) WriteChunk(d *SnapshotWriter) (over bool, err error) {
	if d.view.Index <= r.view {
		return true, nil
	}
	if d.body == nil {
		d.body = pack(d.view)
	}
	end := min(d.off+sliceBytes, len(d.body))
	if err = r.disk.AppendReplacement(viewName, d.off, d.body[d.off:end]); err != nil {
		return false, errors.Wrap(err, "view")
	}
	if d.off = end; end < len(d.body) {
		return false, nil
	}
	if err = r.disk.CommitReplacement(viewName); err != nil {
		return false, errors.Wrap(err, "view")
	}
	r.view = d.view.Index
	return true, nil
}
