package state

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestEarlierLevels: a view and entries that the last program of a level wrote are
// read, and done to the book as that program did: after each entry the answer
// and the sum are the ones it had. testdata/level-N.txt is its own output.
func TestEarlierLevels(t *testing.T) {
	for _, former := range []struct {
		level   uint16
		entries int
	}{{2, 15}, {3, 52}} {
		t.Run(fmt.Sprint(former.level), func(t *testing.T) { replayEntries(t, former.level, former.entries) })
	}
}

func replayEntries(t *testing.T, level uint16, entries int) {
	text, err := os.ReadFile(fmt.Sprintf("testdata/level-%d.txt", level))
	if err != nil {
		t.Fatal(err)
	}
	view, rest, ok := bytes.Cut(text, []byte("\n===\n"))
	b, err := Decode(view)
	if !ok || err != nil || b.Level != level {
		t.Fatalf("the former view: %v, level %d", err, b.Level)
	}
	lines := strings.Split(strings.TrimSpace(string(rest)), "\n")
	if len(lines) != 2*entries {
		t.Fatalf("%d lines, want %d entries and what came of them", len(lines), entries)
	}
	for i := 0; i < len(lines); i += 2 {
		c, err := DecodeCommand([]byte(lines[i]))
		if err != nil {
			t.Fatal(err)
		}
		r := b.Apply(c)
		if have := fmt.Sprint(r.Status, " ", b.Checksum); have != lines[i+1] {
			t.Fatalf("after %s: %s, the former program had %s", lines[i], have, lines[i+1])
		}
	}
	if back, err := Decode(b.Encode()); err != nil || back.Checksum != b.Checksum || back.Level != level {
		t.Errorf("read back: %v", err)
	}
}
