package wal

import (
	"bytes"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// TestSnapshotWriter writes a snapshot in chunks and saves entries between them. Until the
// last chunk is written, the previous snapshot must be recovered, also after a crash. A
// snapshot superseded by a leader's snapshot must not be written further.
func TestSnapshotWriter(t *testing.T) {
	disk, log := newLog(t)
	for i := 2; i <= 20; i++ {
		save(t, log, raft.Write{Entries: []raft.Entry{entry(i, 1)}})
	}
	writer := NewSnapshotWriter(testSnapshot(15, 3*chunkBytes))
	chunks := 0
	for done := false; !done; chunks++ {
		var err error
		if done, err = log.WriteChunk(writer); err != nil {
			t.Fatal(err)
		}
		last := 21 + chunks
		save(t, log, raft.Write{Entries: []raft.Entry{entry(last, 1)}})
		_, recovered := reopen(t, disk)
		want := identifier.Index(1)
		if done {
			want = 15
		}
		if recovered.Snapshot.Index != want || int(lastIndex(recovered)) != last {
			t.Fatalf("after chunk %d: snapshot %d and %d entries, want snapshot %d and entries to %d",
				chunks, recovered.Snapshot.Index, len(recovered.Entries), want, last)
		}
	}
	if chunks != 4 {
		t.Errorf("the snapshot was written in %d chunks, want 4", chunks)
	}
	superseded := NewSnapshotWriter(&raft.Snapshot{Index: 18, Term: 1, Data: bytes.Repeat([]byte("o"), 2*chunkBytes)})
	if done, err := log.WriteChunk(superseded); done || err != nil {
		t.Fatal(done, err)
	}
	save(t, log, raft.Write{Snapshot: &raft.Snapshot{Index: 30, Term: 2, Data: []byte("new")}})
	if done, err := log.WriteChunk(superseded); !done || err != nil {
		t.Fatalf("a superseded snapshot is still being written: done %v, error %v", done, err)
	}
	if _, recovered := reopen(t, disk); recovered.Snapshot.Index != 30 || string(recovered.Snapshot.Data) != "new" {
		t.Errorf("a superseded snapshot replaced the one at 30: recovered %d", recovered.Snapshot.Index)
	}
}
