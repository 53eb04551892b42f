// The store is the disk's duty: writes in, one at a time, and word of each
// once it is synced.
package coredesk

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"orchidward/crew"
	"orchidward/ring"
)

// done is word of a chore.
type done struct {
	chore *ring.Chore
	err   error
}

type store struct {
	disk  *ring.Folder
	shape ring.Shape
	ring  *ring.Ring
	in    *crew.Ring[*ring.Chore]
	out   *crew.Ring[done]
	fill  atomic.Int64
}

func newStore(disk *ring.Folder, shape ring.Shape) (s *store) {
	return &store{disk: disk, shape: shape, in: crew.NewRing[*ring.Chore](1), out: crew.NewRing[done](1)}
}

func (s *store) full() (percent int) { return int(s.fill.Load()) }

func (s *store) open() (found *ring.Found, err error) {
	if s.ring, found, err = ring.Open(s.disk, s.shape); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return found, nil
}

func (s *store) run(stop <-chan struct{}) {
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

func (s *store) do(x *ring.Chore) (d done) {
	d.chore = x
	if s.ring, d.err = x.Do(s.disk, s.shape, s.ring); d.err == nil {
		s.fill.Store(int64(s.ring.Full()))
	}
	return d
}
