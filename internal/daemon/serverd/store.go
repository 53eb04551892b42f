// The store is the disk's duty: writes in, one at a time, and word of each
// once it is synced.

package serverd

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/wal"
	"orchidward/internal/daemon/lifecycle"
)

// done is word of a chore.
type done struct {
	chore *wal.Operation
	err   error
}

type store struct {
	disk  *wal.Folder
	shape wal.Layout
	ring  *wal.Log
	in    *lifecycle.Queue[*wal.Operation]
	out   *lifecycle.Queue[done]
	fill  atomic.Int64
}

// newStore opens the folder and reads or makes up the keeper's identity; a
// porter has neither.
func newStore(set Settings) (s *store, id identifier.Node, err error) {
	s = &store{in: lifecycle.NewQueue[*wal.Operation](1), out: lifecycle.NewQueue[done](1)}
	if set.Data == "" {
		return s, 0, nil
	}
	if s.disk, err = wal.OpenFolder(set.Data); err != nil {
		return nil, 0, err
	}
	id, s.shape, err = wal.Identity(s.disk, identifier.Node(random()), wal.Layout{Files: int(set.Files), Bytes: int(set.FileKb) << 10})
	return s, id, err
}

func (s *store) full() int { return int(s.fill.Load()) }

func (s *store) open() (*wal.Recovered, error) {
	var found *wal.Recovered
	var err error
	if s.disk == nil {
		return nil, nil
	}
	if s.ring, found, err = wal.Open(s.disk, s.shape); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return found, nil
}

func (s *store) run(stop <-chan struct{}) {
	if s.disk == nil {
		return
	}
	defer s.disk.Close()
	for {
		select {
		case <-stop:
			return
		case c := <-s.in.Out():
			s.out.Push(s.do(c), stop)
		}
	}
}

func (s *store) do(x *wal.Operation) done {
	var d done
	d.chore = x
	if s.ring, d.err = x.Do(s.disk, s.shape, s.ring); d.err == nil {
		s.fill.Store(int64(s.ring.PercentUsed()))
	}
	return d
}
