package state

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestEarlierLevels checks that a snapshot and log entries written by the last program of
// an earlier level can be read and have the same effect as in that program: status and
// checksum match after each entry. testdata/level-N.txt is the output of that program.
func TestEarlierLevels(t *testing.T) {
	for _, recorded := range []struct {
		level   uint16
		entries int
	}{{2, 15}, {3, 52}, {4, 112}, {6, 240}} {
		t.Run(fmt.Sprint(recorded.level), func(t *testing.T) { replayEntries(t, recorded.level, recorded.entries) })
	}
}

func replayEntries(t *testing.T, level uint16, entries int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("testdata/level-%d.txt", level))
	if err != nil {
		t.Fatal(err)
	}
	snapshot, rest, ok := bytes.Cut(text, []byte("\n===\n"))
	if !ok {
		t.Fatal("no entries follow the snapshot")
	}
	store, err := Decode(snapshot)
	if err != nil || store.Level != level {
		t.Fatalf("snapshot of level %d: %v", level, err)
	}
	lines := strings.Split(strings.TrimSpace(string(rest)), "\n")
	if len(lines) != 2*entries {
		t.Fatalf("%d lines, want %d entries and their outcomes", len(lines), entries)
	}
	for i := 0; i < len(lines); i += 2 {
		entry, outcome := lines[i], lines[i+1]
		command, err := DecodeCommand([]byte(entry))
		if err != nil {
			t.Fatal(err)
		}
		result := store.Apply(command)
		if have := fmt.Sprint(result.Status, " ", store.Checksum); have != outcome {
			t.Fatalf("after %s: %s, the earlier program had %s", entry, have, outcome)
		}
	}
	loaded, err := Decode(store.Encode())
	if err != nil || loaded.Checksum != store.Checksum || loaded.Level != level {
		t.Errorf("read back: %v", err)
	}
}
