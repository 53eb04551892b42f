package wal

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

const (
	fileMode   = 0o644
	folderMode = 0o755
)

// file is an open file. Sync syncs its data and metadata; syncData may leave its timestamps
// unsynced.
type file interface {
	WriteAt(data []byte, off int64) (int, error)
	Sync() error
	syncData() error
	Close() error
}

// fileSystem is the set of operations on one folder that Folder needs. A test replaces it
// by one that loses unsynced writes. The name of a created or renamed file is durable once
// the folder is synced.
type fileSystem interface {
	open(name string, flags int) (file, error)
	read(name string) ([]byte, error)
	rename(from, to string) error
	syncFolder() error
}

// osFolder is the path of a folder of the operating system.
type osFolder string

type osFile struct{ *os.File }

func (f osFile) syncData() error { return syscall.Fdatasync(int(f.Fd())) }

func (p osFolder) path(name string) string { return filepath.Join(string(p), name) }

func (p osFolder) open(name string, flags int) (file, error) {
	opened, err := os.OpenFile(p.path(name), flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{opened}, nil
}

func (p osFolder) read(name string) ([]byte, error) { return os.ReadFile(p.path(name)) }

func (p osFolder) rename(from, to string) error { return os.Rename(p.path(from), p.path(to)) }

func (p osFolder) syncFolder() error { return syncPath(string(p)) }

// syncPath syncs a folder. It is a variable so that a test can record the synced folders.
var syncPath = func(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// createFolder creates a folder and its missing parents, and syncs each parent: if a power
// loss removed the folder's name, everything in the folder would be lost too.
func createFolder(path string) error {
	path, err := filepath.Abs(path)
	if err != nil {
		return err
	}
	parent := filepath.Dir(path)
	_, err = os.Stat(path)
	existed := err == nil
	if !existed && parent != path {
		if err = createFolder(parent); err != nil {
			return err
		}
	}
	if err = os.Mkdir(path, folderMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	err = syncPath(parent)
	if existed && mayRefuseSync(err) {
		return nil
	}
	return err
}

// mayRefuseSync reports whether syncing the parent of a folder that already existed may
// fail with an error: this process may not read the parent, or its file system does not
// support syncing folders.
func mayRefuseSync(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.EROFS)
}
