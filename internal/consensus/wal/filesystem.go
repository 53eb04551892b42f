// The operations of a file system that a data folder is made of, so that a test
// can lose any of them that was not synced.

package wal

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// file is an open file; syncData may leave its times unsynced, Sync nothing.
type file interface {
	WriteAt(data []byte, off int64) (int, error)
	Sync() error
	syncData() error
	Close() error
}

// fileSystem is one folder. Names made or renamed last once the folder is
// synced.
type fileSystem interface {
	open(name string, flags int) (file, error)
	read(name string) ([]byte, error)
	rename(from, to string) error
	syncFolder() error
}

// osFolder is a folder of the operating system, by its path.
type osFolder string

type osFile struct{ *os.File }

func (f osFile) syncData() error { return syscall.Fdatasync(int(f.Fd())) }

func (p osFolder) path(name string) string { return filepath.Join(string(p), name) }

func (p osFolder) open(name string, flags int) (file, error) {
	made, err := os.OpenFile(p.path(name), flags, 0o644)
	if err != nil {
		return nil, err
	}
	return osFile{made}, nil
}

func (p osFolder) read(name string) ([]byte, error) { return os.ReadFile(p.path(name)) }

func (p osFolder) rename(from, to string) error { return os.Rename(p.path(from), p.path(to)) }

func (p osFolder) syncFolder() error { return syncPath(string(p)) }

// syncPath is a variable so that a test can see which folders are synced.
var syncPath = func(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// createFolder makes a folder, with those above it, and syncs the one above: a
// folder whose name is lost with the power takes all that is in it along.
func createFolder(path string) error {
	var err error
	path, err = filepath.Abs(path)
	if err != nil {
		return err
	}
	parent := filepath.Dir(path)
	_, err = os.Stat(path)
	there := err == nil
	if !there && parent != path {
		if err = createFolder(parent); err != nil {
			return err
		}
	}
	if err = os.Mkdir(path, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	err = syncPath(parent)
	if there && mayRefuseSync(err) {
		return nil
	}
	return err
}

// mayRefuseSync tells whether a folder that was there before may answer so: it
// is not ours to read, or its file system can't sync folders.
func mayRefuseSync(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.EROFS)
}

func lockFolder(path string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errors.Errorf("data folder %s is in use by another process", path)
	}
	return lock, nil
}
