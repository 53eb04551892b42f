package wal

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"
)

// TestFolderIsSynced checks that a new data folder and all parents created with it are
// durable: the parent of each created folder is synced.
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
			t.Errorf("%s is not synced; synced: %v", want, synced)
		}
	}
}

// TestFolderInUse checks that an open folder cannot be opened again until it is closed.
func TestFolderInUse(t *testing.T) {
	path := t.TempDir()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = OpenFolder(path); !errors.Is(err, ErrInUse) {
		t.Errorf("opening a folder that is already open: error %v, want ErrInUse", err)
	}
	folder.Close()
	again, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
