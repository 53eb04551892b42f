package wal

import (
	"bytes"
	"errors"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// TestRotation writes batches for many rotations, with snapshots that free files, and reopens
// the log after every batch.
func TestRotation(t *testing.T) {
	disk, log := newLog(t)
	hardState := raft.HardState{Term: 3, Vote: 5}
	save(t, log, raft.Write{HardState: &hardState})
	last := 1
	for batch := 0; batch < 300; batch++ {
		w := raft.Write{}
		for i := 0; i < 1+batch%4; i++ {
			last++
			w.Entries = append(w.Entries, entry(last, 3))
		}
		if log.PercentUsed() >= 50 {
			w.Snapshot = &raft.Snapshot{Index: identifier.Index(last - 6), Term: 3, Data: []byte("view")}
		}
		save(t, log, w)
		_, recovered := reopen(t, disk)
		if recovered.HardState != hardState || lastIndex(recovered) != identifier.Index(last) || recovered.TornTail {
			t.Fatalf("batch %d: recovered hard state %v, last entry %d, want %d, torn tail %v",
				batch, recovered.HardState, lastIndex(recovered), last, recovered.TornTail)
		}
		for i, e := range recovered.Entries {
			if want := entry(int(recovered.Snapshot.Index)+1+i, 3); e.Index != want.Index || !bytes.Equal(e.Data, want.Data) {
				t.Fatalf("batch %d: entry %d has data %q", batch, e.Index, e.Data)
			}
		}
	}
}

// TestTornTail truncates the last record at every offset: entries synced before it are
// recovered, and no entry of the torn record is.
func TestTornTail(t *testing.T) {
	disk, log := newLog(t)
	save(t, log, raft.Write{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(2, 2), entry(3, 2)}})
	start := log.offset
	save(t, log, raft.Write{Entries: []raft.Entry{entry(4, 2)}})
	for cut := start; cut < log.offset; cut++ {
		torn := disk.clone()
		clear(torn[logFileName(0)][cut:])
		complete := bytes.Equal(torn[logFileName(0)], disk[logFileName(0)])
		again, recovered := reopen(t, torn)
		if count := len(recovered.Entries); count != 2 && !complete {
			t.Fatalf("cut at %d: %d entries", cut, count)
		}
		begun := cut >= start+checksumOffset
		if recovered.HardState.Term != 2 || begun && !complete && !recovered.TornTail {
			t.Fatalf("cut at %d: hard state %v, torn tail %v", cut, recovered.HardState, recovered.TornTail)
		}
		save(t, again, raft.Write{Entries: []raft.Entry{entry(4, 3)}})
		_, recovered = reopen(t, torn)
		if len(recovered.Entries) != 3 || recovered.Entries[2].Term != 3 && !complete {
			t.Fatalf("cut at %d: an entry appended after recovery is not read back", cut)
		}
	}
}

// TestDamageRefused corrupts each byte of a record that is followed by another: opening the
// log must fail rather than skip the record.
func TestDamageRefused(t *testing.T) {
	disk, log := newLog(t)
	save(t, log, raft.Write{Entries: []raft.Entry{entry(2, 1)}})
	start := log.offset
	save(t, log, raft.Write{Entries: []raft.Entry{entry(3, 1)}})
	end := log.offset
	save(t, log, raft.Write{Entries: []raft.Entry{entry(4, 1)}})
	size := recordHeaderBytes + len(encodeBatch(raft.HardState{}, []raft.Entry{entry(3, 1)}))
	for i := start; i < end && i < start+size; i++ {
		disk[logFileName(0)][i] ^= 0x41
		if _, recovered, err := Open(disk, testLayout); err == nil {
			t.Fatalf("byte %d is damaged, but the log opens with %d entries", i, len(recovered.Entries))
		} else if !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d is damaged: error %v, want ErrDamaged", i, err)
		}
		disk[logFileName(0)][i] ^= 0x41
	}
	disk[snapshotFileName][30] ^= 1
	if _, _, err := Open(disk, testLayout); !errors.Is(err, ErrDamaged) {
		t.Fatalf("the snapshot is damaged: error %v, want ErrDamaged", err)
	}
}

// TestRewriteReplacesTail checks that a later leader's entries replace a conflicting tail.
func TestRewriteReplacesTail(t *testing.T) {
	disk, log := newLog(t)
	save(t, log, raft.Write{Entries: []raft.Entry{entry(2, 1), entry(3, 1), entry(4, 1)}})
	save(t, log, raft.Write{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(3, 2)}})
	if _, recovered := reopen(t, disk); len(recovered.Entries) != 2 || recovered.Entries[1].Term != 2 {
		t.Fatalf("after the rewrite the entries are %+v", recovered.Entries)
	}
}

// TestFullLogRefusesWrites checks that entries not covered by a snapshot are never
// overwritten.
func TestFullLogRefusesWrites(t *testing.T) {
	_, log := newLog(t)
	for index := 2; index <= 10000; index++ {
		err := log.Save(&raft.Write{Entries: []raft.Entry{entry(index, 1)}})
		if err == nil {
			continue
		}
		if !errors.Is(err, ErrFull) || log.PercentUsed() < 100 {
			t.Fatalf("write failed at %d%% used: error %v, want ErrFull at 100%%", log.PercentUsed(), err)
		}
		return
	}
	t.Fatal("entries that the snapshot does not cover were overwritten")
}

// FuzzRecord checks that decoding arbitrary data does not panic, and that a decoded batch is
// encoded to the same bytes.
func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(7, encodeBatch(raft.HardState{Term: 1}, []raft.Entry{entry(2, 1)})))
	f.Fuzz(func(t *testing.T, data []byte) {
		if seq, body, ok := decodeRecord(data); ok {
			if hardState, entries, err := decodeBatch(body); err == nil && !bytes.Equal(encodeBatch(hardState, entries), body) {
				t.Errorf("the batch of record %d is encoded to different bytes", seq)
			}
		}
		_, _, _ = decodeBatch(data)
		_, _ = decodeSnapshot(data)
	})
}
