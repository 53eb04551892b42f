package wal

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
)

// readFirstVersionFolder reads a data folder as the first version left it.
func readFirstVersionFolder(t *testing.T) memoryDisk {
	t.Helper()
	m := memoryDisk{}
	list, err := filepath.Glob("testdata/folder-1/*.gz")
	if err != nil || len(list) != 5 {
		t.Fatalf("files of the former version: %v %v", list, err)
	}
	for _, name := range list {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		z, err := gzip.NewReader(f)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(z)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		m[trimGzip(filepath.Base(name))] = text
	}
	return m
}

func trimGzip(name string) string { return name[:len(name)-len(".gz")] }

// TestFirstVersionFolder opens a folder of the first version, goes on in it, and
// applies the commands that version logged; then a step back: what this
// version added must again be read by the same rules.
func TestFirstVersionFolder(t *testing.T) {
	m := readFirstVersionFolder(t)
	r, f := reopen(t, m)
	if f.HardState != (raft.HardState{Term: 4, Vote: 5}) || f.Snapshot.Index != 3 || len(f.Entries) != 2 {
		t.Fatalf("hard %v, view at %d, %d entries", f.HardState, f.Snapshot.Index, len(f.Entries))
	}
	b, err := state.Decode(f.Snapshot.Data)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Entries {
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			t.Fatal(err)
		}
		if res := b.Apply(c); !res.OK() {
			t.Fatalf("entry %d: %+v", e.Index, res)
		}
	}
	if j := b.Jobs["gilde/old"]; j == nil || len(j.Steps) != 2 || b.Limits.Int("stock", "weight") != 3 || b.Drains["m1"] == nil {
		t.Fatalf("the former version's book reads as %s", b.Encode())
	}
	save(t, r, raft.Write{Entries: []raft.Entry{entry(6, 4)}})
	if _, f = reopen(t, m); len(f.Entries) != 3 || !bytes.Equal(f.Entries[2].Data, entry(6, 4).Data) {
		t.Fatalf("after going on: %d entries", len(f.Entries))
	}
}
