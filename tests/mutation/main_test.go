package main

import "testing"

// minMutations guards against a table that is missing from allMutations.
const minMutations = 205

// TestOriginals checks that the text that each mutation replaces occurs exactly once in its
// file. Without this test, an outdated text would be found only when all mutations are run
// by hand.
func TestOriginals(t *testing.T) {
	if n := len(allMutations()); n < minMutations {
		t.Errorf("found only %d mutations", n)
	}
	for _, m := range allMutations() {
		for _, e := range m.edits() {
			if err := e.Check("../.."); err != nil {
				t.Errorf("%s: %v", m.name, err)
			}
		}
	}
}

// TestNames checks that each mutation has a unique name, tests, a wanted message and an
// effect.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for _, m := range allMutations() {
		if seen[m.name] {
			t.Errorf("two mutations are named %q", m.name)
		}
		seen[m.name] = true
		if m.want == "" || len(m.tests) == 0 || m.original == m.replacement {
			t.Errorf("%s: names no test or message, or changes nothing", m.name)
		}
	}
}
