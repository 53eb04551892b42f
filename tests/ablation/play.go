package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"orchidward/tests/sourceedit"
)

const (
	// maxAtOnce is how many runs of the bench may go on at once, benchJobs the cores that
	// each may use.
	maxAtOnce = 2
	benchJobs = "4"
	// freshDay begins the name of a day that the bench draws by itself.
	freshDay = "fresh-"
)

var errNoEntry = errors.New("the bench left no journal entry")

// dayResult is what the bench says of one day.
type dayResult struct {
	Name  string           `json:"name"`
	Score float64          `json:"score"`
	Rules map[string]int64 `json:"rules"`
	Fault any              `json:"fault"`
	Gate  bool             `json:"gate"`
}

func (d dayResult) broken() bool { return len(d.Rules) > 0 || d.Fault != nil }

// journalEntry is what is read of an entry of the bench's journal.
type journalEntry struct {
	OK    bool        `json:"ok"`
	Error string      `json:"error"`
	Days  []dayResult `json:"days"`
}

// played is a version with its days.
type played struct {
	version string
	days    []dayResult
}

// playAll plays each version, or takes what was played before.
func playAll(o options, site siteCopy) ([]played, error) {
	results := make([]played, len(o.versions))
	failures := make([]error, len(o.versions))
	done := make(chan struct{})
	free := make(chan struct{}, o.atOnce)
	for i, version := range o.versions {
		go func() {
			free <- struct{}{}
			results[i].version = version
			results[i].days, failures[i] = playOnce(o, site, version)
			<-free
			done <- struct{}{}
		}()
	}
	for range o.versions {
		<-done
	}
	return results, errors.Join(failures...)
}

// playOnce plays a version unless its result is there.
func playOnce(o options, site siteCopy, version string) ([]dayResult, error) {
	kept := filepath.Join(o.out, resultName(o, site, version))
	if text, err := os.ReadFile(kept); err == nil {
		var days []dayResult
		return days, json.Unmarshal(text, &days)
	}
	entry, err := play(o, site, version)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", version, err)
	}
	text, err := json.MarshalIndent(entry.Days, "", " ")
	if err != nil {
		return nil, err
	}
	return entry.Days, os.WriteFile(kept, text, 0o644)
}

// resultName is the name of the file that a version's days are kept in.
func resultName(o options, site siteCopy, version string) string {
	name := site.name + "-" + fileName(version)
	if o.small {
		name += "-small"
	}
	return name + ".json"
}

func fileName(version string) string { return strings.NewReplacer("/", "_", "+", "-").Replace(version) }

// play builds a version in a clone of its own and has the bench play the site's days.
func play(o options, site siteCopy, version string) (*journalEntry, error) {
	dir, err := os.MkdirTemp(o.out, "clone-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := checkOut(dir, version); err != nil {
		return nil, err
	}
	why := o.why + ", trial: " + version
	arguments := []string{"score", site.path, "--jobs", benchJobs, "--why", why}
	if o.small {
		arguments = append(arguments, "--small")
	}
	cmd := exec.Command(o.bench, arguments...)
	cmd.Dir = dir
	output, runErr := cmd.CombinedOutput()
	entry, err := takeEntry(dir)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, output)
	}
	// A failed gate is an exit code too; what counts is that the days were played.
	if len(entry.Days) == 0 {
		return nil, fmt.Errorf("no day was played: %w: %s", runErr, output)
	}
	return entry, nil
}

// checkOut clones the revision of a version and makes its edits.
func checkOut(dir, version string) error {
	revision, names, _ := strings.Cut(version, "+")
	script := `git clone -q . "$1" && git -C "$1" checkout -q "$(git rev-parse "$2")"`
	if output, err := exec.Command("sh", "-c", script, "sh", dir, revision).CombinedOutput(); err != nil {
		return fmt.Errorf("clone: %w: %s", err, output)
	}
	if names == "" {
		return nil
	}
	for _, name := range strings.Split(names, "+") {
		edits, ok := ablations[name]
		if !ok {
			return fmt.Errorf("no edit is called %q", name)
		}
		if err := applyAll(dir, edits); err != nil {
			return err
		}
	}
	return nil
}

func applyAll(dir string, edits []sourceedit.Edit) error {
	for _, edit := range edits {
		if err := edit.Apply(dir); err != nil {
			return err
		}
	}
	return nil
}

// takeEntry copies what the bench left in the journal of a clone into the journal here, and
// reads the entry of the run.
func takeEntry(dir string) (*journalEntry, error) {
	script := `git -C "$1" status --porcelain -uall journal | cut -c4-`
	names, err := exec.Command("sh", "-c", script, "sh", dir).Output()
	if err != nil {
		return nil, err
	}
	entry := &journalEntry{}
	found := errNoEntry
	for _, path := range strings.Fields(string(names)) {
		text, err := os.ReadFile(filepath.Join(dir, path))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return nil, err
		}
		if filepath.Dir(path) == "journal" {
			found = json.Unmarshal(text, entry)
		}
	}
	return entry, found
}
