// Disk is the little of a file system that the ring needs, so that the
// simulator can stand in with one that loses what was not synced.
package ring

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

type Disk interface {
	// Read returns a file whole, or nil when there is none.
	Read(name string) (data []byte, err error)
	// Make creates a file of so many zero bytes, synced, folder too.
	Make(name string, size int) (err error)
	// Write writes at a place and syncs.
	Write(name string, off int, data []byte) (err error)
	// Swap puts a whole new file in a name's place, synced, folder too.
	Swap(name string, data []byte) (err error)
	// Grow writes a part of what is to take a name's place, synced; a part at
	// 0 begins it anew.
	Grow(name string, off int, data []byte) (err error)
	// Settle puts what has grown in the name's place, synced, folder too.
	Settle(name string) (err error)
}

// Folder is the real disk: one data folder, locked while it is open.
type Folder struct {
	path string
	lock *os.File
	open map[string]*os.File
}

func OpenFolder(path string) (d *Folder, err error) {
	if err = os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errors.Errorf("data folder %s is in use by another process", path)
	}
	d = &Folder{path: path, lock: lock, open: map[string]*os.File{}}
	return d, d.syncDir()
}

func (d *Folder) Close() {
	for _, f := range d.open {
		f.Close()
	}
	d.lock.Close()
}

func (d *Folder) syncDir() (err error) {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *Folder) Read(name string) (data []byte, err error) {
	data, err = os.ReadFile(filepath.Join(d.path, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return data, err
}

func (d *Folder) Make(name string, size int) (err error) {
	return d.Swap(name, make([]byte, size))
}

func (d *Folder) file(name string) (f *os.File, err error) {
	if f = d.open[name]; f != nil {
		return f, nil
	}
	f, err = os.OpenFile(filepath.Join(d.path, name), os.O_RDWR, 0)
	if err == nil {
		d.open[name] = f
	}
	return f, err
}

func (d *Folder) Write(name string, off int, data []byte) (err error) {
	f, err := d.file(name)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(data, int64(off)); err != nil {
		return err
	}
	return syscall.Fdatasync(int(f.Fd()))
}

func (d *Folder) Swap(name string, data []byte) (err error) {
	path := filepath.Join(d.path, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err = f.Write(data); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if old := d.open[name]; old != nil {
		old.Close()
		delete(d.open, name)
	}
	if err = os.Rename(path+".new", path); err != nil {
		return err
	}
	return d.syncDir()
}

const grown = ".part"

func (d *Folder) Grow(name string, off int, data []byte) (err error) {
	flags := os.O_CREATE | os.O_WRONLY
	if off == 0 {
		flags |= os.O_TRUNC
	}
	f, err := os.OpenFile(filepath.Join(d.path, name+grown), flags, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err = f.WriteAt(data, int64(off)); err != nil {
		return err
	}
	return f.Sync()
}

func (d *Folder) Settle(name string) (err error) {
	if old := d.open[name]; old != nil {
		old.Close()
		delete(d.open, name)
	}
	path := filepath.Join(d.path, name)
	if err = os.Rename(path+grown, path); err != nil {
		return err
	}
	return d.syncDir()
}
