package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"orchidward/tests/sourceedit"
)

// TestAblationsApply checks that the text that each edit replaces occurs once in its file.
func TestAblationsApply(t *testing.T) {
	for name, edits := range ablations {
		if len(edits) == 0 {
			t.Errorf("%s changes nothing", name)
		}
		for _, edit := range edits {
			if err := edit.Check("../.."); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			if edit.Original == edit.Replacement {
				t.Errorf("%s changes nothing in %s", name, edit.File)
			}
		}
	}
}

// TestAblationsBuild checks that the control plane builds with each edit. An overlay
// replaces the edited files, so that the tree need not be copied.
func TestAblationsBuild(t *testing.T) {
	t.Chdir("../..")
	for name, edits := range ablations {
		cmd := exec.Command("go", "build", "-overlay", writeOverlay(t, edits), "./internal/controlplane")
		if output, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%s: %v: %s", name, err, output)
		}
	}
}

// writeOverlay writes the edited files and the overlay file that lists them for the go
// command.
func writeOverlay(t *testing.T, edits []sourceedit.Edit) (path string) {
	t.Helper()
	dir := t.TempDir()
	replace := map[string]string{}
	for i, edit := range edits {
		text, err := os.ReadFile(edit.File)
		if err != nil {
			t.Fatal(err)
		}
		edited := filepath.Join(dir, fmt.Sprint(i, ".go"))
		changed := strings.Replace(string(text), edit.Original, edit.Replacement, 1)
		if err := os.WriteFile(edited, []byte(changed), 0o644); err != nil {
			t.Fatal(err)
		}
		replace[edit.File] = edited
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, overlay, 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const twoDays = `name = "site"
[[day]]
name = "a-1"
seed = 10
[[day]]
name = "b-1"
seed = 20
`

// TestMultiplyDays checks that a site file gets each chosen day once per seed, and no other
// day.
func TestMultiplyDays(t *testing.T) {
	have, err := multiplyDays(twoDays, []string{"b-1"}, 2)
	want := "name = \"site\"\n[[day]]\nname = \"b-1-s0\"\nseed = 20\n[[day]]\nname = \"b-1-s1\"\nseed = 7939\n"
	if err != nil || have != want {
		t.Errorf("got %q, %v", have, err)
	}
	if all, _ := multiplyDays(twoDays, []string{""}, 3); strings.Count(all, dayMark) != 6 {
		t.Errorf("all days, three seeds: %s", all)
	}
	if _, err := multiplyDays(twoDays, []string{"c"}, 1); !errors.Is(err, errNoSuchDay) {
		t.Errorf("an unknown day: %v", err)
	}
}

// TestCompare checks that differences are computed pair by pair, and that days drawn by the
// bench are excluded.
func TestCompare(t *testing.T) {
	day := func(name string, score float64) dayResult { return dayResult{Name: name, Score: score} }
	first := versionResult{"x", []dayResult{day("a-1-s0", 0.2), day("a-1-s1", 0.6), day("fresh-1", 1)}}
	second := versionResult{"y", []dayResult{day("a-1-s1", 0.9), day("a-1-s0", 0.3), day("fresh-2", 0)}}
	second.days[0].Rules = map[string]int64{"LOST": 1}
	rows := compare([]versionResult{first, second})
	last := rows[len(rows)-1]
	if last.version != "y" || last.day != "a-1" || last.pairs != 2 || last.broken != 1 {
		t.Fatalf("the last row is %+v", last)
	}
	if math.Abs(last.difference-0.2) > 1e-9 || math.Abs(last.standardError-0.1) > 1e-9 {
		t.Errorf("difference %f with a standard error of %f, want 0.2 and 0.1", last.difference, last.standardError)
	}
	path := t.TempDir() + "/plot.svg"
	if err := plot(path, rows); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		t.Errorf("no plot: %v", err)
	}
}
