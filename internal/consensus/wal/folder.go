package wal

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

const (
	lockFileName = "lock"
	// newSuffix marks a replacement written in one operation, partSuffix one written in
	// parts.
	newSuffix  = ".new"
	partSuffix = ".part"
)

// Folder implements Disk on a data folder, which is locked while it is open.
type Folder struct {
	files     fileSystem
	lock      *os.File
	openFiles map[string]file
}

// OpenFolder creates the data folder if it does not exist and locks it. It returns
// ErrInUse if another process holds the lock.
func OpenFolder(path string) (*Folder, error) {
	if err := createFolder(path); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	lock, err := lockFolder(path)
	if err != nil {
		return nil, err
	}
	f := &Folder{files: osFolder(path), lock: lock, openFiles: map[string]file{}}
	return f, f.files.syncFolder()
}

func lockFolder(path string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errors.Wrapf(ErrInUse, "data folder %s", path)
	}
	return lock, nil
}

// Close closes the open files and releases the lock.
func (f *Folder) Close() {
	for _, open := range f.openFiles {
		open.Close()
	}
	f.lock.Close()
}

// Read returns the content of a file, or nil if the file does not exist.
func (f *Folder) Read(name string) ([]byte, error) {
	data, err := f.files.read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return data, err
}

// Create creates a zero-filled file, or replaces the existing file of that name.
func (f *Folder) Create(name string, size int) error {
	return f.Replace(name, make([]byte, size))
}

// Write overwrites part of a file and syncs its data. The file stays open for later writes.
func (f *Folder) Write(name string, offset int, data []byte) error {
	open, err := f.openFile(name)
	if err != nil {
		return err
	}
	if _, err = open.WriteAt(data, int64(offset)); err != nil {
		return err
	}
	return open.syncData()
}

func (f *Folder) openFile(name string) (file, error) {
	if open := f.openFiles[name]; open != nil {
		return open, nil
	}
	opened, err := f.files.open(name, os.O_RDWR)
	if err != nil {
		return nil, err
	}
	f.openFiles[name] = opened
	return opened, nil
}

// Replace replaces a file atomically.
func (f *Folder) Replace(name string, data []byte) error {
	if err := f.writeReplacement(name+newSuffix, 0, data); err != nil {
		return err
	}
	return f.rename(name+newSuffix, name)
}

// AppendReplacement writes a part of a replacement file. A part at offset 0 discards the
// parts written before.
func (f *Folder) AppendReplacement(name string, offset int, data []byte) error {
	return f.writeReplacement(name+partSuffix, offset, data)
}

// CommitReplacement atomically replaces a file by the parts that AppendReplacement wrote.
func (f *Folder) CommitReplacement(name string) error { return f.rename(name+partSuffix, name) }

// writeReplacement writes a part of a file, which it creates if needed, and syncs the
// file. A part at offset 0 truncates the file first.
func (f *Folder) writeReplacement(name string, offset int, data []byte) error {
	flags := os.O_CREATE | os.O_WRONLY
	if offset == 0 {
		flags |= os.O_TRUNC
	}
	replacement, err := f.files.open(name, flags)
	if err != nil {
		return err
	}
	defer replacement.Close()
	if _, err = replacement.WriteAt(data, int64(offset)); err != nil {
		return err
	}
	return replacement.Sync()
}

// rename renames a synced file, replacing any file with the new name, and syncs the folder.
func (f *Folder) rename(from, to string) error {
	f.closeFile(to)
	if err := f.files.rename(from, to); err != nil {
		return err
	}
	return f.files.syncFolder()
}

// closeFile closes a file that is about to be replaced.
func (f *Folder) closeFile(name string) {
	if open := f.openFiles[name]; open != nil {
		open.Close()
		delete(f.openFiles, name)
	}
}
