package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlaces: the place that each wound breaks is still there, and only once;
// a wound that no longer wounds would go unseen until somebody ran them all.
func TestPlaces(t *testing.T) {
	if len(all()) < 40 {
		t.Errorf("only %d wounds", len(all()))
	}
	for _, w := range all() {
		for _, e := range append([]edit{{w.file, w.old, w.new}}, w.also...) {
			text, err := os.ReadFile(filepath.Join("../..", e.file))
			if err != nil {
				t.Error(err)
				continue
			}
			if n := strings.Count(string(text), e.old); n != 1 {
				t.Errorf("%s: %q stands %d times in %s", w.name, e.old, n, e.file)
			}
		}
	}
}
