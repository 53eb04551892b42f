package wal

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"
)

// TestFolderIsSynced: a data folder that is created is synced in the folder above it,
// and so are those above that are created with it.
func TestFolderIsSynced(t *testing.T) {
	top := t.TempDir()
	var synced []string
	original := syncPath
	syncPath = func(path string) error {
		synced = append(synced, path)
		return original(path)
	}
	defer func() { syncPath = original }()
	path := filepath.Join(top, "one", "two")
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	for _, want := range []string{top, filepath.Join(top, "one"), path} {
		if !slices.Contains(synced, want) {
			t.Errorf("%s is not synced, only %v", want, synced)
		}
	}
}

// TestFolderInUse: a folder that is open cannot be opened a second time, until it is
// closed.
func TestFolderInUse(t *testing.T) {
	path := t.TempDir()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = OpenFolder(path); !errors.Is(err, ErrInUse) {
		t.Errorf("a folder that is open: %v", err)
	}
	folder.Close()
	again, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
