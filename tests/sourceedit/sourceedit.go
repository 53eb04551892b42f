// Package sourceedit changes single places of the source code in a copy of the tree, for
// tools that ask what the change does: tests/mutation and tests/ablation.
package sourceedit

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Edit replaces a text that stands once in a file.
type Edit struct {
	// File is the path from the top of the tree.
	File        string
	Original    string
	Replacement string
}

// CountError says that the text to replace does not stand in its file once.
type CountError struct {
	Edit  Edit
	Count int
}

func (e *CountError) Error() string {
	return fmt.Sprintf("%q stands %d times in %s, want once", e.Edit.Original, e.Count, e.Edit.File)
}

// Check reports whether the edit can be made in the tree at dir: nil, a *CountError, or
// the error of reading the file.
func (e Edit) Check(dir string) error {
	_, err := e.read(dir)
	return err
}

// Apply makes the edit in the tree at dir.
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

// CopyTree copies the files that git tracks, as they are in the working tree, to dir.
func CopyTree(dir string) error {
	output, err := exec.Command("sh", "-c", "git ls-files -z | xargs -0 cp --parents -t "+dir).CombinedOutput()
	if err != nil {
		return fmt.Errorf("copy the tree: %w: %s", err, output)
	}
	return nil
}
