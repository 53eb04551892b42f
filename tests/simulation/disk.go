// A disk in memory. What was synced lasts; a write that was under way when
// the power went is lost, torn, or done, as the seed has it.

package simulation

import "github.com/go-faster/errors"

type disk struct {
	files map[string][]byte
	tear  int
	full  bool
}

func newDisk() *disk { return &disk{files: map[string][]byte{}, tear: -1} }

var errTorn = errors.New("power lost")
var errFull = errors.New("no space left on the disk")

func (d *disk) Read(name string) ([]byte, error) {
	return append([]byte(nil), d.files[name]...), nil
}

func (d *disk) Create(name string, size int) error {
	d.files[name] = make([]byte, size)
	return nil
}

func (d *disk) Write(name string, off int, data []byte) error {
	if d.full {
		return errFull
	}
	if d.tear >= 0 {
		copy(d.files[name][off:], data[:min(d.tear, len(data))])
		return errTorn
	}
	copy(d.files[name][off:], data)
	return nil
}

func (d *disk) AppendReplacement(name string, off int, data []byte) error {
	if d.full {
		return errFull
	}
	if d.tear >= 0 {
		return errTorn
	}
	d.files[name+".part"] = append(d.files[name+".part"][:off:off], data...)
	return nil
}

func (d *disk) CommitReplacement(name string) error {
	if d.tear >= 0 {
		return errTorn
	}
	d.files[name] = d.files[name+".part"]
	delete(d.files, name+".part")
	return nil
}

func (d *disk) Replace(name string, data []byte) error {
	if d.full {
		return errFull
	}
	if d.tear >= 0 {
		return errTorn
	}
	d.files[name] = append([]byte(nil), data...)
	return nil
}
