// Disk is the little of a file system that the ring needs, so that the
// simulator can stand in with one that loses what was not synced.

package wal

import (
	"os"

	"github.com/go-faster/errors"
)

// Disk is the set of file operations that the log needs. Each one that writes
// returns only when its effect would survive a power loss.
type Disk interface {
	// Read returns a file whole, or nil when there is none.
	Read(name string) ([]byte, error)
	// Create creates a file of so many zero bytes, synced, folder too.
	Create(name string, size int) error
	// Write writes at a place and syncs.
	Write(name string, off int, data []byte) error
	// Replace puts a whole new file in a name's place, synced, folder too.
	Replace(name string, data []byte) error
	// AppendReplacement writes a part of what is to take a name's place, synced; a part at
	// 0 begins it anew.
	AppendReplacement(name string, off int, data []byte) error
	// CommitReplacement puts what has grown in the name's place, synced, folder too.
	CommitReplacement(name string) error
}

// Folder is the real disk: one data folder, locked while it is open.
type Folder struct {
	files     fileSystem
	lock      *os.File
	openFiles map[string]file
}

// OpenFolder creates the data folder if need be and locks it. It fails when
// another process holds the lock.
func OpenFolder(path string) (*Folder, error) {
	var err error
	if err = createFolder(path); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	lock, err := lockFolder(path)
	if err != nil {
		return nil, err
	}
	d := &Folder{files: osFolder(path), lock: lock, openFiles: map[string]file{}}
	return d, d.files.syncFolder()
}

// Close closes the open files and releases the lock.
func (d *Folder) Close() {
	for _, f := range d.openFiles {
		f.Close()
	}
	d.lock.Close()
}

func (d *Folder) Read(name string) ([]byte, error) {
	data, err := d.files.read(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	return data, err
}

// Create creates a file of zero bytes, or replaces the one of that name, and syncs
// it and the folder.
func (d *Folder) Create(name string, size int) error {
	return d.Replace(name, make([]byte, size))
}

func (d *Folder) file(name string) (file, error) {
	var f file
	var err error
	if f = d.openFiles[name]; f != nil {
		return f, nil
	}
	f, err = d.files.open(name, os.O_RDWR)
	if err == nil {
		d.openFiles[name] = f
	}
	return f, err
}

// closeFile closes a file whose name is about to be given to another.
func (d *Folder) closeFile(name string) {
	if old := d.openFiles[name]; old != nil {
		old.Close()
		delete(d.openFiles, name)
	}
}

func (d *Folder) Write(name string, off int, data []byte) error {
	f, err := d.file(name)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(data, int64(off)); err != nil {
		return err
	}
	return f.syncData()
}

// Replace replaces a file as a whole: after a crash either the old content is there
// or all of the new.
func (d *Folder) Replace(name string, data []byte) error {
	if err := d.writeReplacement(name+newSuffix, 0, data); err != nil {
		return err
	}
	return d.rename(name+newSuffix, name)
}

// What is not yet in a name's place ends in fresh when it goes down at once,
// in grown when it goes down in parts.
const (
	newSuffix  = ".new"
	partSuffix = ".part"
)

// AppendReplacement writes a part of a replacement file and syncs it, without touching the
// file it is to replace. A part at offset 0 starts it anew.
func (d *Folder) AppendReplacement(name string, off int, data []byte) error {
	return d.writeReplacement(name+partSuffix, off, data)
}

// CommitReplacement puts the replacement file that Grow wrote in the place of the named
// one, and syncs the folder.
func (d *Folder) CommitReplacement(name string) error { return d.rename(name+partSuffix, name) }

// put writes into a file that may not be there yet, synced; what is written at
// its beginning begins it anew.
func (d *Folder) writeReplacement(name string, off int, data []byte) error {
	flags := os.O_CREATE | os.O_WRONLY
	if off == 0 {
		flags |= os.O_TRUNC
	}
	f, err := d.files.open(name, flags)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err = f.WriteAt(data, int64(off)); err != nil {
		return err
	}
	return f.Sync()
}

// rename puts a synced file in a name's place, synced.
func (d *Folder) rename(from, to string) error {
	d.closeFile(to)
	if err := d.files.rename(from, to); err != nil {
		return err
	}
	return d.files.syncFolder()
}
