package raft

import (
	"testing"

	"orchidward/internal/api/identifier"
)

// TestBacklogMergesWrites checks that queued writes are merged, with later entries replacing
// earlier ones of the same index, but never with a snapshot.
func TestBacklogMergesWrites(t *testing.T) {
	var b Backlog
	entries := func(indexes ...identifier.Index) []Entry {
		var list []Entry
		for _, i := range indexes {
			list = append(list, Entry{Index: i, Term: identifier.Term(b.Len() + 1), Data: []byte("12345678")})
		}
		return list
	}
	b.Add(&Write{Seq: 1, HardState: &HardState{Term: 1}, Entries: entries(1, 2, 3)})
	b.Add(&Write{Seq: 2, Entries: entries(3, 4)})
	b.Add(&Write{Seq: 3, HardState: &HardState{Term: 2}})
	b.Add(&Write{Seq: 4, Snapshot: &Snapshot{Index: 3, Data: []byte("v")}})
	b.Add(&Write{Seq: 5, Entries: entries(5)})
	merged := b.Next()
	snapshot := b.Next()
	last := b.Next()
	if merged.Seq != 3 || merged.HardState.Term != 2 || len(merged.Entries) != 4 {
		t.Fatalf("first write: %+v", merged)
	}
	if merged.Entries[2].Term != 2 || merged.Entries[1].Term != 1 {
		t.Errorf("merged entries %+v, want term 1 and then term 2", merged.Entries)
	}
	if snapshot.Seq != 4 || snapshot.Snapshot == nil || last.Seq != 5 || b.Next() != nil || b.Bytes() != 0 {
		t.Errorf("following writes: %+v, %+v, %d bytes left", snapshot, last, b.Bytes())
	}
}
