package wal

import (
	"github.com/go-faster/errors"

	"orchidward/internal/consensus/raft"
)

// chunkBytes is how much of a snapshot is written between two batches.
const chunkBytes = 512 << 10

// SnapshotWriter is a snapshot that is written in the background, a chunk at a time,
// so that entries can be written and acknowledged in between. The snapshot before it
// counts until the last chunk is on disk and the file has replaced the earlier one.
type SnapshotWriter struct {
	snapshot *raft.Snapshot
	// encoded is the content of the file, nil until the first chunk, and written is
	// how many bytes of it are on disk.
	encoded []byte
	written int
}

// NewSnapshotWriter begins with nothing written. The snapshot must not be changed
// while the writer is in use.
func NewSnapshotWriter(s *raft.Snapshot) *SnapshotWriter { return &SnapshotWriter{snapshot: s} }

// WriteChunk writes the next chunk of a snapshot and reports whether that was the last.
// A snapshot that a newer one has superseded is done at once.
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
