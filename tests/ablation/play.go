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
	// maxAtOnce bounds the concurrent runs of the bench; benchJobs is the number of cores
	// that each may use.
	maxAtOnce = 2
	benchJobs = "4"
	// freshDay is the name prefix of a day that the bench draws at random.
	freshDay = "fresh-"
)

var errNoEntry = errors.New("the bench left no journal entry")

// dayResult is the bench's result of one day.
type dayResult struct {
	Name  string           `json:"name"`
	Score float64          `json:"score"`
	Rules map[string]int64 `json:"rules"`
	Fault any              `json:"fault"`
	Gate  bool             `json:"gate"`
}

func (d dayResult) broken() bool { return len(d.Rules) > 0 || d.Fault != nil }

// journalEntry holds the fields that are read from an entry of the bench's journal.
type journalEntry struct {
	OK    bool        `json:"ok"`
	Error string      `json:"error"`
	Days  []dayResult `json:"days"`
}

// versionResult is a version with the results of its days.
type versionResult struct {
	version string
	days    []dayResult
}

// playAll runs the days on each version, or reads the results of an earlier run.
func playAll(o options, site siteCopy) ([]versionResult, error) {
	results := make([]versionResult, len(o.versions))
	failures := make([]error, len(o.versions))
	done := make(chan struct{})
	slots := make(chan struct{}, o.atOnce)
	for i, version := range o.versions {
		go func() {
			slots <- struct{}{}
			results[i].version = version
			results[i].days, failures[i] = playOnce(o, site, version)
			<-slots
			done <- struct{}{}
		}()
	}
	for range o.versions {
		<-done
	}
	return results, errors.Join(failures...)
}

// playOnce runs the days on a version unless its results are already stored.
func playOnce(o options, site siteCopy, version string) ([]dayResult, error) {
	path := filepath.Join(o.out, resultName(o, site, version))
	if text, err := os.ReadFile(path); err == nil {
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
	return entry.Days, os.WriteFile(path, text, 0o644)
}

// resultName returns the name of the file that stores the results of a version.
func resultName(o options, site siteCopy, version string) string {
	name := site.name + "-" + fileName(version)
	if o.small {
		name += "-small"
	}
	return name + ".json"
}

func fileName(version string) string { return strings.NewReplacer("/", "_", "+", "-").Replace(version) }

// play checks out a version in a new clone and runs the bench on the site's days.
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
	// The bench also exits with an error if a gate failed, so the exit code is ignored if
	// days were played.
	if len(entry.Days) == 0 {
		return nil, fmt.Errorf("no day was played: %w: %s", runErr, output)
	}
	return entry, nil
}

// checkOut clones the repository, checks out the version's revision and applies its edits.
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
			return fmt.Errorf("unknown edit %q", name)
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

// takeEntry copies the files that the bench added to the journal of a clone into the journal
// of the working directory, and returns the entry of the run.
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
