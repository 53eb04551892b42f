// A disk in memory. What was synced lasts; a write that was under way when
// the power went is lost, torn, or done, as the seed has it.

package simulation

import "github.com/go-faster/errors"

type Disk struct {
	files map[string][]byte
	tornAt  int
	Full  bool
}

func newDisk() *Disk { return &Disk{files: map[string][]byte{}, tornAt: -1} }

var errPowerLost = errors.New("power lost")
var errDiskFull = errors.New("no space left on the disk")

func (d *Disk) Read(name string) ([]byte, error) {
	return append([]byte(nil), d.files[name]...), nil
}

func (d *Disk) Create(name string, size int) error {
	d.files[name] = make([]byte, size)
	return nil
}

func (d *Disk) Write(name string, off int, data []byte) error {
	if d.Full {
		return errDiskFull
	}
	if d.tornAt >= 0 {
		copy(d.files[name][off:], data[:min(d.tornAt, len(data))])
		return errPowerLost
	}
	copy(d.files[name][off:], data)
	return nil
}

func (d *Disk) AppendReplacement(name string, off int, data []byte) error {
	if d.Full {
		return errDiskFull
	}
	if d.tornAt >= 0 {
		return errPowerLost
	}
	d.files[name+".part"] = append(d.files[name+".part"][:off:off], data...)
	return nil
}

func (d *Disk) CommitReplacement(name string) error {
	if d.tornAt >= 0 {
		return errPowerLost
	}
	d.files[name] = d.files[name+".part"]
	delete(d.files, name+".part")
	return nil
}

func (d *Disk) Replace(name string, data []byte) error {
	if d.Full {
		return errDiskFull
	}
	if d.tornAt >= 0 {
		return errPowerLost
	}
	d.files[name] = append([]byte(nil), data...)
	return nil
}
