package wal

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// TestLogNeverFillsDuringSnapshot: large changes come as fast as the disk takes
// them, while snapshots of a large state go down in parts between them. The
// ring must not fill up before the snapshot that frees it is down: a keeper
// whose ring is full stops.
func TestLogNeverFillsDuringSnapshot(t *testing.T) {
	const (
		changeBytes   = 300 << 10
		snapshotEvery = 8 << 20
	)
	for _, stateMB := range []int{4, 12} {
		t.Run(fmt.Sprintf("%d MB", stateMB), func(t *testing.T) {
			m, shape := memoryDisk{}, Layout{Files: 6, Bytes: 4 << 20}
			r, err := Create(m, shape, &raft.Snapshot{Index: 1, Term: 1})
			if err != nil {
				t.Fatal(err)
			}
			state, data := bytes.Repeat([]byte("s"), stateMB<<20), bytes.Repeat([]byte("c"), changeBytes)
			var c WriteQueue
			last, since, drafts := identifier.Index(1), 0, 0
			for last < 160 {
				for c.Bytes() < 2<<20 {
					last++
					since += changeBytes
					c.Add(nil, []*raft.Write{{Entries: []raft.Entry{{Index: last, Term: 1, Kind: raft.EntryCommand, Data: data}}}}, nil)
				}
				if since >= snapshotEvery {
					c.Add(nil, nil, &raft.Snapshot{Index: last - 8, Term: 1, Data: state})
					since = 0
				}
				x := c.Next()
				if _, err := x.Do(m, shape, r); err != nil {
					t.Fatalf("entry %d, %d%% full: %v", last, r.PercentUsed(), err)
				}
				if x.snapshotDone {
					drafts++
				}
				c.Done(x)
			}
			if drafts < 3 {
				t.Errorf("too little evidence: %d snapshots went down", drafts)
			}
			t.Logf("%d snapshots went down under %d changes", drafts, last)
		})
	}
}
