package simulation

import (
	"slices"

	"github.com/go-faster/errors"
)

// Disk is a disk in memory. What was synced lasts; a write that was under way when
// power was lost is lost, torn or done.
type Disk struct {
	// Full makes every write fail.
	Full bool

	files map[string][]byte
	// tornAt is after how many bytes power is lost in the next write, or notTorn.
	tornAt int
}

const notTorn = -1

// partSuffix marks the replacement of a file that is not committed yet.
const partSuffix = ".part"

var (
	errPowerLost = errors.New("power lost")
	errDiskFull  = errors.New("no space left on the disk")
)

func newDisk() *Disk { return &Disk{files: map[string][]byte{}, tornAt: notTorn} }

// Read returns the content of a file, nothing for one that is not there.
func (d *Disk) Read(name string) ([]byte, error) { return slices.Clone(d.files[name]), nil }

// Create makes a file of zeros.
func (d *Disk) Create(name string, size int) error {
	d.files[name] = make([]byte, size)
	return nil
}

// Write writes and syncs within a file; power may be lost after a part of it.
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

// AppendReplacement writes on at the replacement of a file.
func (d *Disk) AppendReplacement(name string, offset int, data []byte) error {
	if err := d.writeError(); err != nil {
		return err
	}
	part := name + partSuffix
	d.files[part] = append(d.files[part][:offset:offset], data...)
	return nil
}

// CommitReplacement puts a replacement in place of its file.
func (d *Disk) CommitReplacement(name string) error {
	if d.tornAt >= 0 {
		return errPowerLost
	}
	d.files[name] = d.files[name+partSuffix]
	delete(d.files, name+partSuffix)
	return nil
}

// Replace replaces a file as a whole.
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
