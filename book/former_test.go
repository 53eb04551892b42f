package book

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestFormerLevel: a view and entries that the last program of level 2 wrote are
// read, and done to the book as that program did: after each entry the answer
// and the sum are the ones it had. testdata/level-2.txt is its own output.
func TestFormerLevel(t *testing.T) {
	text, err := os.ReadFile("testdata/level-2.txt")
	if err != nil {
		t.Fatal(err)
	}
	view, rest, ok := bytes.Cut(text, []byte("\n===\n"))
	b, err := Decode(view)
	if !ok || err != nil || b.Level != 2 {
		t.Fatalf("the former view: %v, level %d", err, b.Level)
	}
	lines := strings.Split(strings.TrimSpace(string(rest)), "\n")
	if len(lines) != 30 {
		t.Fatalf("%d lines, want 15 entries and what came of them", len(lines))
	}
	for i := 0; i < len(lines); i += 2 {
		c, err := DecodeCmd([]byte(lines[i]))
		if err != nil {
			t.Fatal(err)
		}
		r := b.Apply(c)
		if have := fmt.Sprint(r.Status, b.Sum); have != lines[i+1] {
			t.Fatalf("after %s: %s, the former program had %s", lines[i], have, lines[i+1])
		}
	}
	if back, err := Decode(b.Encode()); err != nil || back.Sum != b.Sum || back.Level != 2 {
		t.Errorf("read back: %v", err)
	}
}
