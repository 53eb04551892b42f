package wal

import (
	"github.com/go-faster/errors"

	"orchidward/internal/consensus/raft"
)

// chunkBytes is the amount of snapshot data written between two batches.
const chunkBytes = 512 << 10

// SnapshotWriter tracks a snapshot that is written in the background, one chunk at a time,
// so that entries can be written and acknowledged in between. The previous snapshot
// remains valid until the last chunk is on disk and the new file has replaced it.
type SnapshotWriter struct {
	snapshot *raft.Snapshot
	// encoded is the content of the file, nil before the first chunk, and written is the
	// number of its bytes on disk.
	encoded []byte
	written int
}

// NewSnapshotWriter returns a writer for a snapshot, of which nothing is written yet. The
// snapshot must not be modified while the writer is in use.
func NewSnapshotWriter(s *raft.Snapshot) *SnapshotWriter { return &SnapshotWriter{snapshot: s} }

// WriteChunk writes the next chunk of a snapshot and reports whether the snapshot is done.
// A snapshot that is superseded by a newer one is done without being written further.
func (l *Log) WriteChunk(w *SnapshotWriter) (done bool, err error) {
	if w.snapshot.Index <= l.snapshotIndex {
		return true, nil
	}
	if w.encoded == nil {
		w.encoded = encodeSnapshot(w.snapshot)
	}
	end := min(w.written+chunkBytes, len(w.encoded))
	if err = l.disk.AppendReplacement(snapshotFileName, w.written, w.encoded[w.written:end]); err != nil {
		return false, errors.Wrap(err, "write snapshot")
	}
	w.written = end
	if end < len(w.encoded) {
		return false, nil
	}
	if err = l.disk.CommitReplacement(snapshotFileName); err != nil {
		return false, errors.Wrap(err, "replace snapshot")
	}
	l.snapshotIndex = w.snapshot.Index
	return true, nil
}
