// Package promises_test holds docs/promises.md against the tree.
package promises_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	promisesPage = "../../docs/promises.md"
	mutationsDir = "../mutation"
	topDir       = "../.."
	// minRows and minTestFiles guard against a page or a tree that is not read.
	minRows      = 21
	minTestFiles = 15
)

// Columns of a row of the page, as split at the bars.
const (
	promiseColumn  = 1
	testColumn     = 4
	mutationColumn = 6
	columns        = 7
)

var (
	testName     = regexp.MustCompile("`(Test[A-Za-z]+)`")
	mutationName = regexp.MustCompile(`"([^"]+)"`)
	// faultSequence is the beginning of a sequence's name after the test that runs it.
	faultSequence = regexp.MustCompile("`TestFaultSequences` ([a-z ]+?)(?:[,;|]|, `| \\|)")
)

// TestNamedTestsExist: every test and fault sequence that the page names is there.
func TestNamedTestsExist(t *testing.T) {
	page := readFile(t, promisesPage)
	sources, files := testSources(t)
	if files < minTestFiles {
		t.Fatalf("only %d test files found", files)
	}
	for _, name := range testName.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(sources, "func "+name[1]+"(t *testing.T)") {
			t.Errorf("no test %s", name[1])
		}
	}
	for _, name := range faultSequence.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(sources, `{name: "`+strings.TrimSpace(name[1])) {
			t.Errorf("no fault sequence begins with %q", name[1])
		}
	}
}

// TestPromisesAreTested: every promise names a test, and a mutation that is there.
func TestPromisesAreTested(t *testing.T) {
	mutations := mutationSources(t)
	rows := 0
	for _, line := range strings.Split(readFile(t, promisesPage), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < columns || !strings.HasPrefix(strings.TrimSpace(cells[promiseColumn]), "P") {
			continue
		}
		rows++
		if !strings.Contains(cells[testColumn], "`Test") {
			t.Errorf("%s names no test", cells[promiseColumn])
		}
		names := mutationName.FindAllStringSubmatch(cells[mutationColumn], -1)
		if len(names) == 0 {
			t.Errorf("%s names no mutation", cells[promiseColumn])
		}
		for _, name := range names {
			if !hasMutation(mutations, name[1]) {
				t.Errorf("%s names a mutation that is not there: %s", cells[promiseColumn], name[1])
			}
		}
	}
	if rows < minRows {
		t.Errorf("only %d rows of promises", rows)
	}
}

func hasMutation(sources, name string) bool {
	return regexp.MustCompile(`\tname: +"` + regexp.QuoteMeta(name) + `",\n`).MatchString(sources)
}

// mutationSources is the text of the mutations' tables.
func mutationSources(t *testing.T) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(mutationsDir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, name := range names {
		all.WriteString(readFile(t, name))
	}
	return all.String()
}

// testSources is the text of all test files of the repository, one after the other, and
// their number.
func testSources(t *testing.T) (text string, files int) {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(topDir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		all.Write(source)
		files++
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String(), files
}

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
