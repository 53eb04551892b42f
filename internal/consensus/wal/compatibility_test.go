package wal

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
)

// readFirstVersionFolder reads a data folder that the first version wrote.
func readFirstVersionFolder(t *testing.T) memoryDisk {
	t.Helper()
	paths, err := filepath.Glob("testdata/folder-1/*.gz")
	if err != nil || len(paths) != 5 {
		t.Fatalf("files of the first version: %v, error %v", paths, err)
	}
	disk := memoryDisk{}
	for _, path := range paths {
		disk[strings.TrimSuffix(filepath.Base(path), ".gz")] = readGzip(t, path)
	}
	return disk
}

func readGzip(t *testing.T, path string) []byte {
	t.Helper()
	compressed, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer compressed.Close()
	reader, err := gzip.NewReader(compressed)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestFirstVersionFolder opens a folder written by the first version, applies the commands
// in its log, and appends to the log: entries of both versions must be read back.
func TestFirstVersionFolder(t *testing.T) {
	disk := readFirstVersionFolder(t)
	log, recovered := reopen(t, disk)
	if recovered.HardState != (raft.HardState{Term: 4, Vote: 5}) || recovered.Snapshot.Index != 3 || len(recovered.Entries) != 2 {
		t.Fatalf("recovered hard state %v, snapshot at %d, %d entries", recovered.HardState, recovered.Snapshot.Index, len(recovered.Entries))
	}
	b, err := state.Decode(recovered.Snapshot.Data)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range recovered.Entries {
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			t.Fatal(err)
		}
		if res := b.Apply(c); !res.OK() {
			t.Fatalf("entry %d: %+v", e.Index, res)
		}
	}
	if j := b.Jobs["gilde/old"]; j == nil || len(j.Steps) != 2 || b.Limits.Int("stock", "weight") != 3 || b.Drains["m1"] == nil {
		t.Fatalf("the first version's state is decoded as %s", b.Encode())
	}
	save(t, log, raft.Write{Entries: []raft.Entry{entry(6, 4)}})
	if _, recovered = reopen(t, disk); len(recovered.Entries) != 3 || !bytes.Equal(recovered.Entries[2].Data, entry(6, 4).Data) {
		t.Fatalf("after appending an entry, %d entries are read back", len(recovered.Entries))
	}
}
