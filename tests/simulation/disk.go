package simulation

import (
	"slices"

	"github.com/go-faster/errors"
)

// Disk is an in-memory disk. Synced data persists; a write in progress when power is
// lost is lost, torn or complete.
type Disk struct {
	// Full makes every write fail.
	Full bool

	files map[string][]byte
	// tornAt is the number of bytes of the next write after which power is lost, or
	// notTorn.
	tornAt int
}

const notTorn = -1

// partSuffix is the name suffix of a file's replacement that is not committed yet.
const partSuffix = ".part"

var (
	errPowerLost = errors.New("power lost")
	errDiskFull  = errors.New("no space left on the disk")
)

func newDisk() *Disk { return &Disk{files: map[string][]byte{}, tornAt: notTorn} }

// Read returns the content of a file, which is empty if the file does not exist.
func (d *Disk) Read(name string) ([]byte, error) { return slices.Clone(d.files[name]), nil }

// Create makes a file filled with zeros.
func (d *Disk) Create(name string, size int) error {
	d.files[name] = make([]byte, size)
	return nil
}

// Write writes to and syncs an existing file; power may be lost partway through.
func (d *Disk) Write(name string, offset int, data []byte) error {
	if d.Full {
		return errDiskFull
	}
	if d.tornAt >= 0 {
		copy(d.files[name][offset:], data[:min(d.tornAt, len(data))])
		return errPowerLost
	}
	copy(d.files[name][offset:], data)
	return nil
}

// AppendReplacement writes data at an offset of a file's replacement.
func (d *Disk) AppendReplacement(name string, offset int, data []byte) error {
	if err := d.writeError(); err != nil {
		return err
	}
	part := name + partSuffix
	d.files[part] = append(d.files[part][:offset:offset], data...)
	return nil
}

// CommitReplacement replaces a file by its replacement.
func (d *Disk) CommitReplacement(name string) error {
	if d.tornAt >= 0 {
		return errPowerLost
	}
	d.files[name] = d.files[name+partSuffix]
	delete(d.files, name+partSuffix)
	return nil
}

// Replace replaces the whole content of a file.
func (d *Disk) Replace(name string, data []byte) error {
	if err := d.writeError(); err != nil {
		return err
	}
	d.files[name] = slices.Clone(data)
	return nil
}

func (d *Disk) writeError() error {
	switch {
	case d.Full:
		return errDiskFull
	case d.tornAt >= 0:
		return errPowerLost
	}
	return nil
}
