// Package promises_test holds the page of promises against the tree.
package promises_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestLedger holds docs/promises.md against the tree: every test and wound it
// names exists, and every promise names a scene and a wound.
func TestLedger(t *testing.T) {
	text, err := os.ReadFile("../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	tests, files := testSources(t)
	sources, err := filepath.Glob("../mutation/*.go")
	if err != nil {
		t.Fatal(err)
	}
	wounds := ""
	for _, name := range sources {
		one, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		wounds += string(one)
	}
	if files < 15 {
		t.Fatalf("only %d test files found", files)
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(text), -1) {
		if !strings.Contains(tests, "func "+name[1]+"(t *testing.T)") {
			t.Errorf("no test %s", name[1])
		}
	}
	rows := 0
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 7 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "P") {
			continue
		}
		rows++
		if !strings.Contains(cells[4], "`Test") {
			t.Errorf("%s names no scene", cells[1])
		}
		names := regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(cells[6], -1)
		if len(names) == 0 {
			t.Errorf("%s names no wound", cells[1])
		}
		for _, name := range names {
			if !strings.Contains(wounds, `{"`+name[1]+`", "`) {
				t.Errorf("%s names a wound that is not there: %s", cells[1], name[1])
			}
		}
	}
	if rows < 21 {
		t.Errorf("only %d rows of promises", rows)
	}
	for _, word := range regexp.MustCompile("`TestFaultSequences` ([a-z ]+?)(?:[,;|]|, `| \\|)").FindAllStringSubmatch(string(text), -1) {
		if !strings.Contains(tests, `{name: "`+strings.TrimSpace(word[1])) {
			t.Errorf("no trial begins with %q", word[1])
		}
	}
}

// testSources is the text of all test files of the repository, one after the
// other, and their number.
func testSources(t *testing.T) (text string, files int) {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		one, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		all.Write(one)
		files++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String(), files
}
