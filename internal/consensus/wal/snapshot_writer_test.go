package wal

import (
	"bytes"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// TestSnapshotWriter: a snapshot is written in chunks with entries saved between
// them. Until the last one the snapshot before it counts, also after a crash; one
// that a leader's snapshot has superseded changes nothing.
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
		t.Errorf("%d chunks", chunks)
	}
	superseded := NewSnapshotWriter(&raft.Snapshot{Index: 18, Term: 1, Data: bytes.Repeat([]byte("o"), 2*chunkBytes)})
	if done, err := log.WriteChunk(superseded); done || err != nil {
		t.Fatal(done, err)
	}
	save(t, log, raft.Write{Snapshot: &raft.Snapshot{Index: 30, Term: 2, Data: []byte("new")}})
	if done, err := log.WriteChunk(superseded); !done || err != nil {
		t.Fatalf("a superseded snapshot is written on: done %v, %v", done, err)
	}
	if _, recovered := reopen(t, disk); recovered.Snapshot.Index != 30 || string(recovered.Snapshot.Data) != "new" {
		t.Errorf("a superseded snapshot replaced that at 30: %d", recovered.Snapshot.Index)
	}
}
