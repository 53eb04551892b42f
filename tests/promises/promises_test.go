// Package promises_test checks docs/promises.md against the source tree.
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
	// minRows and minTestFiles guard against reading an incomplete page or tree.
	minRows      = 21
	minTestFiles = 15
)

// Columns of a table row of the page, split at the vertical bars.
const (
	promiseColumn  = 1
	testColumn     = 4
	mutationColumn = 6
	columns        = 7
)

var (
	testName     = regexp.MustCompile("`(Test[A-Za-z]+)`")
	mutationName = regexp.MustCompile(`"([^"]+)"`)
	// faultSequence matches the beginning of a fault sequence's name, which follows the name
	// of the test that runs it.
	faultSequence = regexp.MustCompile("`TestFaultSequences` ([a-z ]+?)(?:[,;|]|, `| \\|)")
)

// TestNamedTestsExist checks that every test and fault sequence named on the page exists.
func TestNamedTestsExist(t *testing.T) {
	page := readFile(t, promisesPage)
	sources, files := testSources(t)
	if files < minTestFiles {
		t.Fatalf("found only %d test files", files)
	}
	for _, name := range testName.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(sources, "func "+name[1]+"(t *testing.T)") {
			t.Errorf("the page names test %s, which does not exist", name[1])
		}
	}
	for _, name := range faultSequence.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(sources, `{name: "`+strings.TrimSpace(name[1])) {
			t.Errorf("no fault sequence begins with %q", name[1])
		}
	}
}

// TestPromisesAreTested checks that every promise names a test and at least one mutation,
// and that the named mutations exist.
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
				t.Errorf("%s names a mutation that does not exist: %s", cells[promiseColumn], name[1])
			}
		}
	}
	if rows < minRows {
		t.Errorf("found only %d rows of promises", rows)
	}
}

func hasMutation(sources, name string) bool {
	return regexp.MustCompile(`\tname: +"` + regexp.QuoteMeta(name) + `",\n`).MatchString(sources)
}

// mutationSources returns the concatenated source of the mutation tables.
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

// testSources returns the concatenated text of all test files of the repository, and their
// number.
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
