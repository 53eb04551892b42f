package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

type flags struct {
	Boot   string
	Addr   string
	Seeds  []string
	FileKb int64
	Slow   bool
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func parse(t *testing.T, text string, args ...string) (flags, error) {
	t.Helper()
	var f flags
	from, err := ReadFile(write(t, text))
	if err != nil {
		return f, err
	}
	k, err := kong.New(&f, kong.Resolvers(from))
	if err != nil {
		t.Fatal(err)
	}
	_, err = k.Parse(args)
	return f, err
}

// TestSettingsFile checks that values of every kind, including large numbers, are read as they
// were written, that the command line takes precedence, and that errors are reported.
func TestSettingsFile(t *testing.T) {
	text := `{"addr": "10.0.0.1:7001", "seeds": ["10.0.0.1:1", "10.0.0.2:2"], "file-kb": 1048576, "slow": true}`
	f, err := parse(t, text, "--addr", "10.0.0.9:9")
	if err != nil || f.Addr != "10.0.0.9:9" || strings.Join(f.Seeds, " ") != "10.0.0.1:1 10.0.0.2:2" || f.FileKb != 1048576 || !f.Slow {
		t.Errorf("%+v, %v", f, err)
	}
	for text, want := range map[string]string{
		`{"adr": "x", "zones": 1}`:  "unknown keys: adr, zones",
		`{"addr": `:                 "settings file",
		`{"file-kb": "many"}`:       "file-kb",
		`{"file-kb": 1.5}`:          "file-kb",
		`{"addr": "a"} {"addr": 1}`: "settings file",
	} {
		if _, err = parse(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// TestAllProblemsReported checks that every problem is reported, with its key.
func TestAllProblemsReported(t *testing.T) {
	v := &Validator{}
	v.Addr("addr", "localhost:1")
	v.Addrs("seeds", []string{"10.0.0.1:1", "10.0.0.2"}, 3)
	v.Name("domain", "no rth")
	v.Range("files", 2, 3, 99)
	got := strings.Join(v.Problems(), "; ")
	for _, want := range []string{
		"addr: want IP:PORT",
		"seeds: want at least 3, have 2",
		`seeds: want IP:PORT, have "10.0.0.2"`,
		"domain: want 1 to 64",
		"files: want 3 to 99, have 2",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%s does not contain %s", got, want)
		}
	}
	if problems := new(Validator).Problems(); len(problems) > 0 {
		t.Errorf("an unused validator reports problems: %v", problems)
	}
}
