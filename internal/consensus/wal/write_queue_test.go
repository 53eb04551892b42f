package wal

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// TestWriteQueueOrder checks that one operation is executed at a time, that queued writes are
// merged, that batches alternate with snapshot chunks, and that a newer snapshot waits for
// the one being written, so that frequent snapshots never prevent each other's completion.
func TestWriteQueueOrder(t *testing.T) {
	disk, log := newLog(t)
	var queue WriteQueue
	snapshot := func(index int) *raft.Snapshot { return testSnapshot(identifier.Index(index), 2*chunkBytes) }
	write := func(index int) []*raft.Write {
		return []*raft.Write{{Seq: uint64(index), Entries: []raft.Entry{entry(index, 1)}}}
	}
	queue.Add(nil, write(2), nil)
	queue.Add(nil, write(3), snapshot(2))
	order := ""
	for i := 4; i < 14; i++ {
		operation := queue.Next()
		if operation == nil || queue.Next() != nil {
			t.Fatal("the queue does not return exactly one operation at a time")
		}
		queue.Add(nil, write(i), snapshot(i-1))
		if _, err := operation.Do(disk, testLayout, log); err != nil {
			t.Fatal(err)
		}
		queue.Done(operation)
		if operation.Snapshot != nil {
			order += fmt.Sprint("v", operation.Snapshot.snapshot.Index, " ")
		} else {
			order += fmt.Sprint("w", operation.Write.Seq, " ")
		}
	}
	if order != "w3 v2 w5 v2 w7 v2 w9 v8 w11 v8 " {
		t.Errorf("operations were executed in the order %s", order)
	}
	if queue.Bytes() == 0 {
		t.Error("the queue is not empty, but its size is 0 bytes")
	}
}

// TestLogNeverFillsDuringSnapshot queues large entries as fast as the disk writes them, while
// snapshots of a large state are written in chunks between them. The log must not become full
// before the snapshot that frees it is complete, since a server with a full log stops.
func TestLogNeverFillsDuringSnapshot(t *testing.T) {
	for _, stateMB := range []int{4, 12} {
		t.Run(fmt.Sprintf("%d MB", stateMB), func(t *testing.T) {
			const entries = 160
			snapshots := writeLargeEntries(t, entries, stateMB<<20)
			if snapshots < 3 {
				t.Errorf("too little evidence: %d snapshots were written", snapshots)
			}
			t.Logf("%d snapshots were written during %d entries", snapshots, entries)
		})
	}
}

// writeLargeEntries writes entries up to an index, with a snapshot of stateBytes bytes after
// every snapshotEveryBytes of entries, and returns the number of completed snapshots.
func writeLargeEntries(t *testing.T, lastEntry identifier.Index, stateBytes int) (snapshots int) {
	t.Helper()
	const (
		largeEntryBytes    = 300 << 10
		snapshotEveryBytes = 8 << 20
		maxQueuedBytes     = 2 << 20
	)
	disk := memoryDisk{}
	layout := Layout{Files: 6, Bytes: 4 << 20}
	log, err := Create(disk, layout, &raft.Snapshot{Index: 1, Term: 1})
	if err != nil {
		t.Fatal(err)
	}
	state := bytes.Repeat([]byte("s"), stateBytes)
	data := bytes.Repeat([]byte("c"), largeEntryBytes)
	var queue WriteQueue
	last := identifier.Index(1)
	sinceSnapshot := 0
	for last < lastEntry {
		for queue.Bytes() < maxQueuedBytes {
			last++
			sinceSnapshot += largeEntryBytes
			e := raft.Entry{Index: last, Term: 1, Kind: raft.EntryCommand, Data: data}
			queue.Add(nil, []*raft.Write{{Entries: []raft.Entry{e}}}, nil)
		}
		if sinceSnapshot >= snapshotEveryBytes {
			queue.Add(nil, nil, &raft.Snapshot{Index: last - 8, Term: 1, Data: state})
			sinceSnapshot = 0
		}
		operation := queue.Next()
		if _, err := operation.Do(disk, layout, log); err != nil {
			t.Fatalf("at entry %d, %d%% used: %v", last, log.PercentUsed(), err)
		}
		if operation.snapshotDone {
			snapshots++
		}
		queue.Done(operation)
	}
	return snapshots
}
