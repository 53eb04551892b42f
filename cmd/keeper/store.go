// The store is the disk's duty: writes in, one at a time, and word of each
// once it is synced.
package main

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"orchidward/crew"
	"orchidward/raft"
	"orchidward/ring"
)

// chore is one thing for the disk to do.
type chore struct {
	start *raft.View
	write *raft.Write
	draft *raft.View
}

// done is word of a chore.
type done struct {
	seq   uint64
	start *raft.View
	draft *raft.View
	over  bool
	err   error
}

type store struct {
	disk  *ring.Folder
	shape ring.Shape
	ring  *ring.Ring
	part  *ring.Draft
	of    *raft.View
	in    *crew.Ring[chore]
	out   *crew.Ring[done]
	fill  atomic.Int64
}

func newStore(disk *ring.Folder, shape ring.Shape) (s *store) {
	return &store{disk: disk, shape: shape, in: crew.NewRing[chore](1), out: crew.NewRing[done](1)}
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

func (s *store) do(c chore) (d done) {
	if c.start != nil {
		d.start = c.start
		s.ring, d.err = ring.Start(s.disk, s.shape, c.start)
		return d
	}
	if c.draft != nil {
		if s.of != c.draft {
			s.part, s.of = ring.NewDraft(c.draft), c.draft
		}
		d.draft = c.draft
		d.over, d.err = s.ring.Slice(s.part)
		return d
	}
	d.seq = c.write.Seq
	d.err = s.ring.Save(c.write)
	s.fill.Store(int64(s.ring.Full()))
	return d
}
