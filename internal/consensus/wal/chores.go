// Chores is what a disk has yet to do, one thing under way at a time: the
// founding of the ring, then writes, all that gathered meanwhile as one, and
// after each of them a slice of a view. A newer view waits until the one that
// is half down is done. The daemon and the simulator order their disks by it.

package wal

import "orchidward/internal/consensus/raft"

// Chore is one thing for the disk: exactly one of the pointers is set.
type Chore struct {
	Start *raft.Snapshot
	Write *raft.Write
	Draft *Draft
	over  bool
	// full is how full the ring was afterwards, in percent.
	full int
}

// draftFirst is how full the ring may be, in percent, before a view that is
// half down goes before all writes: only it frees the ring.
const draftFirst = 50

// Chores schedules the work of one disk: creating the log, writing batches, and
// writing a snapshot in chunks between them. At most one operation is under way.
// Its zero value has nothing to do.
type Chores struct {
	start *raft.Snapshot
	todo  raft.Backlog
	draft *Draft
	next  *raft.Snapshot
	wrote bool
	busy  bool
	full  int
}

// Add takes what one step of a keeper asks for.
func (c *Chores) Add(start *raft.Snapshot, writes []*raft.Write, draft *raft.Snapshot) {
	if start != nil {
		c.start = start
	}
	for _, w := range writes {
		c.todo.Add(w)
	}
	if draft != nil {
		c.next = draft
	}
}

// Bytes is the size of the batches that wait to be written, snapshots in the
// background not included.
func (c *Chores) Bytes() int { return c.todo.Bytes() }

// Next is what to do now, or nil while something is under way or nothing waits.
func (c *Chores) Next() *Chore {
	var x *Chore
	if c.draft == nil && c.next != nil {
		c.draft, c.next = NewDraft(c.next), nil
	}
	switch {
	case c.busy:
		return nil
	case c.start != nil:
		x, c.start = &Chore{Start: c.start}, nil
	case c.draft != nil && (c.wrote || c.todo.Len() == 0 || c.full >= draftFirst):
		x = &Chore{Draft: c.draft}
	case c.todo.Len() > 0:
		x = &Chore{Write: c.todo.Next()}
	default:
		return nil
	}
	c.busy, c.wrote = true, x.Draft == nil
	return x
}

// Done hears that the chore under way is over with.
func (c *Chores) Done(x *Chore) {
	c.busy, c.full = false, x.full
	if x.over {
		c.draft = nil
	}
}

// Do carries a chore out. A founding makes the ring, which is returned.
func (x *Chore) Do(d Disk, shape Shape, r *Ring) (*Ring, error) {
	var out *Ring
	var err error
	if out, err = x.carryOut(d, shape, r); out != nil {
		x.full = out.Full()
	}
	return out, err
}

func (x *Chore) carryOut(d Disk, shape Shape, r *Ring) (*Ring, error) {
	var err error
	switch {
	case x.Start != nil:
		return Start(d, shape, x.Start)
	case x.Write != nil:
		return r, r.Save(x.Write)
	}
	x.over, err = r.Slice(x.Draft)
	return r, err
}
