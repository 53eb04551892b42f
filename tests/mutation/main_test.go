package main

import "testing"

// minMutations guards against a table that is no longer listed.
const minMutations = 205

// TestOriginals: the text that each mutation replaces stands in its file, and only once;
// otherwise it would be seen only when somebody runs them all.
func TestOriginals(t *testing.T) {
	if n := len(allMutations()); n < minMutations {
		t.Errorf("only %d mutations", n)
	}
	for _, m := range allMutations() {
		for _, e := range m.edits() {
			if err := e.Check("../.."); err != nil {
				t.Errorf("%s: %v", m.name, err)
			}
		}
	}
}

// TestNames: each mutation has a name of its own, and says what it wants.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for _, m := range allMutations() {
		if seen[m.name] {
			t.Errorf("two mutations are called %q", m.name)
		}
		seen[m.name] = true
		if m.want == "" || len(m.tests) == 0 || m.original == m.replacement {
			t.Errorf("%s: names no test or message, or changes nothing", m.name)
		}
	}
}
