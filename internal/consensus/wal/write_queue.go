// Chores is what a disk has yet to do, one thing under way at a time: the
// founding of the ring, then writes, all that gathered meanwhile as one, and
// after each of them a slice of a view. A newer view waits until the one that
// is half down is done. The daemon and the simulator order their disks by it.

package wal

import "orchidward/internal/consensus/raft"

// Operation is one thing for the disk: exactly one of the pointers is set.
type Operation struct {
	Create       *raft.Snapshot
	Write        *raft.Write
	Snapshot     *SnapshotWriter
	snapshotDone bool
	// percentUsed is how full the ring was afterwards, in percent.
	percentUsed int
}

// snapshotFirstPercent is how full the ring may be, in percent, before a view that is
// half down goes before all writes: only it frees the ring.
const snapshotFirstPercent = 50

// WriteQueue schedules the work of one disk: creating the log, writing batches, and
// writing a snapshot in chunks between them. At most one operation is under way.
// Its zero value has nothing to do.
type WriteQueue struct {
	create       *raft.Snapshot
	backlog      raft.Backlog
	writing      *SnapshotWriter
	nextSnapshot *raft.Snapshot
	lastWasWrite bool
	busy         bool
	percentUsed  int
}

// Add takes what one step of a keeper asks for.
func (c *WriteQueue) Add(start *raft.Snapshot, writes []*raft.Write, draft *raft.Snapshot) {
	if start != nil {
		c.create = start
	}
	for _, w := range writes {
		c.backlog.Add(w)
	}
	if draft != nil {
		c.nextSnapshot = draft
	}
}

// Bytes is the size of the batches that wait to be written, snapshots in the
// background not included.
func (c *WriteQueue) Bytes() int { return c.backlog.Bytes() }

// Next is what to do now, or nil while something is under way or nothing waits.
func (c *WriteQueue) Next() *Operation {
	var x *Operation
	if c.writing == nil && c.nextSnapshot != nil {
		c.writing, c.nextSnapshot = NewSnapshotWriter(c.nextSnapshot), nil
	}
	switch {
	case c.busy:
		return nil
	case c.create != nil:
		x, c.create = &Operation{Create: c.create}, nil
	case c.writing != nil && (c.lastWasWrite || c.backlog.Len() == 0 || c.percentUsed >= snapshotFirstPercent):
		x = &Operation{Snapshot: c.writing}
	case c.backlog.Len() > 0:
		x = &Operation{Write: c.backlog.Next()}
	default:
		return nil
	}
	c.busy, c.lastWasWrite = true, x.Snapshot == nil
	return x
}

// Done hears that the chore under way is over with.
func (c *WriteQueue) Done(x *Operation) {
	c.busy, c.percentUsed = false, x.percentUsed
	if x.snapshotDone {
		c.writing = nil
	}
}

// Do carries a chore out. A founding makes the ring, which is returned.
func (x *Operation) Do(d Disk, shape Layout, r *Log) (*Log, error) {
	var out *Log
	var err error
	if out, err = x.run(d, shape, r); out != nil {
		x.percentUsed = out.PercentUsed()
	}
	return out, err
}

func (x *Operation) run(d Disk, shape Layout, r *Log) (*Log, error) {
	var err error
	switch {
	case x.Create != nil:
		return Create(d, shape, x.Create)
	case x.Write != nil:
		return r, r.Save(x.Write)
	}
	x.snapshotDone, err = r.WriteChunk(x.Snapshot)
	return r, err
}
