// Package sourceedit replaces pieces of source code in a copy of the tree, for tools that
// measure the effect of such a change: tests/mutation and tests/ablation.
package sourceedit

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	// File is the path from the top of the tree.
	File        string
	Original    string
	Replacement string
}

// CountError reports that the text to replace does not occur exactly once in its file.
type CountError struct {
	Edit  Edit
	Count int
}

func (e *CountError) Error() string {
	return fmt.Sprintf("%q occurs %d times in %s, want once", e.Edit.Original, e.Count, e.Edit.File)
}

// Check returns nil if the edit can be applied to the tree at dir, and otherwise a
// *CountError or the error of reading the file.
func (e Edit) Check(dir string) error {
	_, err := e.read(dir)
	return err
}

// Apply applies the edit to the tree at dir.
func (e Edit) Apply(dir string) error {
	text, err := e.read(dir)
	if err != nil {
		return err
	}
	changed := strings.Replace(text, e.Original, e.Replacement, 1)
	return os.WriteFile(filepath.Join(dir, e.File), []byte(changed), 0o644)
}

func (e Edit) read(dir string) (string, error) {
	text, err := os.ReadFile(filepath.Join(dir, e.File))
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(text), e.Original); count != 1 {
		return "", &CountError{e, count}
	}
	return string(text), nil
}

// CopyTree copies the working-tree versions of the files that git tracks to dir.
func CopyTree(dir string) error {
	output, err := exec.Command("sh", "-c", "git ls-files -z | xargs -0 cp --parents -t "+dir).CombinedOutput()
	if err != nil {
		return fmt.Errorf("copy the tree: %w: %s", err, output)
	}
	return nil
}
