package wal

import (
	"bytes"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// memoryDisk is a disk that can be read and damaged at will.
type memoryDisk map[string][]byte

func (m memoryDisk) Read(name string) ([]byte, error) { return bytes.Clone(m[name]), nil }
func (m memoryDisk) Create(name string, size int) error {
	m[name] = make([]byte, size)
	return nil
}
func (m memoryDisk) Write(name string, off int, data []byte) error {
	copy(m[name][off:], data)
	return nil
}
func (m memoryDisk) Replace(name string, data []byte) error {
	m[name] = bytes.Clone(data)
	return nil
}

func (m memoryDisk) AppendReplacement(name string, off int, data []byte) error {
	m[name+".part"] = append(m[name+".part"][:off:off], data...)
	return nil
}
func (m memoryDisk) CommitReplacement(name string) error {
	m[name] = m[name+".part"]
	delete(m, name+".part")
	return nil
}

var testLayout = Layout{Files: 4, Bytes: 4096}

func newLog(t *testing.T) (m memoryDisk, r *Log) {
	t.Helper()
	m = memoryDisk{}
	r, err := Create(m, testLayout, &raft.Snapshot{Index: 1, Term: 1, Members: []raft.Member{{ID: 5, Voter: true}}, Data: []byte("founding")})
	if err != nil {
		t.Fatal(err)
	}
	return m, r
}

func entry(i int, term identifier.Term) raft.Entry {
	return raft.Entry{Index: identifier.Index(i), Term: term, Kind: raft.EntryCommand, Data: []byte(fmt.Sprintf("entry %d of term %d", i, term))}
}

func save(t *testing.T, r *Log, w raft.Write) {
	t.Helper()
	if err := r.Save(&w); err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, m memoryDisk) (r *Log, f *Recovered) {
	t.Helper()
	r, f, err := Open(m, testLayout)
	if err != nil {
		t.Fatal(err)
	}
	return r, f
}

// TestRotation writes many laps, with views that let files go, and opens
// the ring again after every batch.
func TestRotation(t *testing.T) {
	m, r := newLog(t)
	hard := raft.HardState{Term: 3, Vote: 5}
	save(t, r, raft.Write{HardState: &hard})
	at := 1
	for n := 0; n < 300; n++ {
		w := raft.Write{}
		for k := 0; k < 1+n%4; k++ {
			at++
			w.Entries = append(w.Entries, entry(at, 3))
		}
		if r.PercentUsed() >= 50 {
			w.Snapshot = &raft.Snapshot{Index: identifier.Index(at - 6), Term: 3, Data: []byte("view")}
		}
		save(t, r, w)
		_, f := reopen(t, m)
		last := f.Snapshot.Index + identifier.Index(len(f.Entries))
		if f.HardState != hard || last != identifier.Index(at) || f.TornTail {
			t.Fatalf("batch %d: hard %v, last entry %d of %d, cut %v", n, f.HardState, last, at, f.TornTail)
		}
		for i, e := range f.Entries {
			if want := entry(int(f.Snapshot.Index)+1+i, 3); e.Index != want.Index || !bytes.Equal(e.Data, want.Data) {
				t.Fatalf("batch %d: entry %d reads %q", n, e.Index, e.Data)
			}
		}
	}
}

// TestTornTail cuts the last record at every length: what was synced before
// stays, and nothing of the torn one is taken.
func TestTornTail(t *testing.T) {
	m, r := newLog(t)
	save(t, r, raft.Write{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(2, 2), entry(3, 2)}})
	from := r.offset
	save(t, r, raft.Write{Entries: []raft.Entry{entry(4, 2)}})
	for cut := from; cut < r.offset; cut++ {
		torn := memoryDisk{}
		for k, v := range m {
			torn[k] = bytes.Clone(v)
		}
		clear(torn[logFileName(0)][cut:])
		again, f := reopen(t, torn)
		whole := bytes.Equal(torn[logFileName(0)], m[logFileName(0)])
		if n := len(f.Entries); n != 2 && !whole {
			t.Fatalf("cut at %d: %d entries", cut, n)
		}
		if f.HardState.Term != 2 || (cut >= from+16 && !whole && !f.TornTail) {
			t.Fatalf("cut at %d: hard %v, cut %v", cut, f.HardState, f.TornTail)
		}
		save(t, again, raft.Write{Entries: []raft.Entry{entry(4, 3)}})
		if _, f = reopen(t, torn); len(f.Entries) != 3 || f.Entries[2].Term != 3 && !whole {
			t.Fatalf("cut at %d: the ring does not go on", cut)
		}
	}
}

// TestDamageRefused flips each byte of a record that others follow: the ring must
// refuse to open, never go on without it.
func TestDamageRefused(t *testing.T) {
	m, r := newLog(t)
	save(t, r, raft.Write{Entries: []raft.Entry{entry(2, 1)}})
	from := r.offset
	save(t, r, raft.Write{Entries: []raft.Entry{entry(3, 1)}})
	to := r.offset
	save(t, r, raft.Write{Entries: []raft.Entry{entry(4, 1)}})
	size := headerBytes + len(encodeBatch(raft.HardState{}, []raft.Entry{entry(3, 1)}))
	for i := from; i < to && i < from+size; i++ {
		m[logFileName(0)][i] ^= 0x41
		if _, f, err := Open(m, testLayout); err == nil {
			t.Fatalf("byte %d damaged, and it opens with %d entries", i, len(f.Entries))
		}
		m[logFileName(0)][i] ^= 0x41
	}
	m[snapshotFileName][30] ^= 1
	if _, _, err := Open(m, testLayout); err == nil {
		t.Fatal("a damaged view opens")
	}
}

// TestRewriteReplacesTail: a later leader's entries replace a tail.
func TestRewriteReplacesTail(t *testing.T) {
	m, r := newLog(t)
	save(t, r, raft.Write{Entries: []raft.Entry{entry(2, 1), entry(3, 1), entry(4, 1)}})
	save(t, r, raft.Write{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(3, 2)}})
	if _, f := reopen(t, m); len(f.Entries) != 2 || f.Entries[1].Term != 2 {
		t.Fatalf("after a rewrite: %+v", f.Entries)
	}
}

func TestFullLogRefusesWrites(t *testing.T) {
	_, r := newLog(t)
	for i := 2; ; i++ {
		if err := r.Save(&raft.Write{Entries: []raft.Entry{entry(i, 1)}}); err != nil {
			if r.PercentUsed() < 100 {
				t.Fatalf("refused at %d%%: %v", r.PercentUsed(), err)
			}
			return
		}
		if i > 10000 {
			t.Fatal("entries the view does not cover were written over")
		}
	}
}

func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(7, encodeBatch(raft.HardState{Term: 1}, []raft.Entry{entry(2, 1)})))
	f.Fuzz(func(t *testing.T, data []byte) {
		if seq, body, ok := decodeRecord(data); ok {
			if h, list, err := decodeBatch(body); err == nil && !bytes.Equal(encodeBatch(h, list), body) {
				t.Errorf("record %d does not come back as it was", seq)
			}
		}
		_, _, _ = decodeBatch(data)
		_, _ = decodeSnapshot(data)
	})
}

// TestSnapshotWriter: a view goes down in slices with entries saved between them. Until
// the last one the old view counts, also after a crash; a draft that a view
// from the leader has overtaken changes nothing.
func TestSnapshotWriter(t *testing.T) {
	m, r := newLog(t)
	for i := 2; i <= 20; i++ {
		save(t, r, raft.Write{Entries: []raft.Entry{entry(i, 1)}})
	}
	d := NewSnapshotWriter(&raft.Snapshot{Index: 15, Term: 1, Members: []raft.Member{{ID: 5, Voter: true}}, Data: bytes.Repeat([]byte("v"), 3*chunkBytes)})
	slices := 0
	for over := false; !over; slices++ {
		var err error
		if over, err = r.WriteChunk(d); err != nil {
			t.Fatal(err)
		}
		save(t, r, raft.Write{Entries: []raft.Entry{entry(21+slices, 1)}})
		_, f := reopen(t, m)
		want, last := identifier.Index(1), 21+slices
		if over {
			want = 15
		}
		if f.Snapshot.Index != want || int(f.Snapshot.Index)+len(f.Entries) != last {
			t.Fatalf("after slice %d: view %d and %d entries, want view %d and entries to %d", slices, f.Snapshot.Index, len(f.Entries), want, last)
		}
	}
	if slices != 4 {
		t.Errorf("%d slices", slices)
	}
	old := NewSnapshotWriter(&raft.Snapshot{Index: 18, Term: 1, Data: bytes.Repeat([]byte("o"), 2*chunkBytes)})
	if over, err := r.WriteChunk(old); over || err != nil {
		t.Fatal(over, err)
	}
	save(t, r, raft.Write{Snapshot: &raft.Snapshot{Index: 30, Term: 2, Data: []byte("new")}})
	if over, err := r.WriteChunk(old); !over || err != nil {
		t.Fatal(over, err)
	}
	if _, f := reopen(t, m); f.Snapshot.Index != 30 || string(f.Snapshot.Data) != "new" {
		t.Errorf("a draft overtaken took the place of view 30: %d", f.Snapshot.Index)
	}
}

// TestWriteQueueOrder: one thing at a time, what gathers goes as one, and slices of a
// view take turns with writes; a newer view waits for the one half down, so
// that many views never keep each other from the disk.
func TestWriteQueueOrder(t *testing.T) {
	m, r := newLog(t)
	var c WriteQueue
	view := func(i identifier.Index) *raft.Snapshot {
		return &raft.Snapshot{Index: i, Term: 1, Members: []raft.Member{{ID: 5, Voter: true}}, Data: bytes.Repeat([]byte("v"), 2*chunkBytes)}
	}
	write := func(i int) []*raft.Write {
		return []*raft.Write{{Seq: uint64(i), Entries: []raft.Entry{entry(i, 1)}}}
	}
	c.Add(nil, write(2), nil)
	c.Add(nil, write(3), view(2))
	order := ""
	for i := 4; i < 14; i++ {
		x := c.Next()
		if x == nil || c.Next() != nil {
			t.Fatal("not one thing at a time")
		}
		c.Add(nil, write(i), view(identifier.Index(i-1)))
		if _, err := x.Do(m, testLayout, r); err != nil {
			t.Fatal(err)
		}
		c.Done(x)
		if x.Snapshot != nil {
			order += fmt.Sprint("v", x.Snapshot.snapshot.Index, " ")
		} else {
			order += fmt.Sprint("w", x.Write.Seq, " ")
		}
	}
	if order != "w3 v2 w5 v2 w7 v2 w9 v8 w11 v8 " {
		t.Errorf("done in the order %s", order)
	}
	if c.Bytes() == 0 {
		t.Error("the last writes are counted nowhere")
	}
}
