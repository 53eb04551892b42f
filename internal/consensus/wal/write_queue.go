package wal

import "orchidward/internal/consensus/raft"

// snapshotFirstPercent is how full the log may be before a snapshot that is being
// written takes precedence over all other writes: only it frees the log.
const snapshotFirstPercent = 50

// Operation is one piece of work for the disk: exactly one of the pointers is set.
type Operation struct {
	// Create lays out a new log that starts from this snapshot.
	Create *raft.Snapshot
	// Write saves a batch.
	Write *raft.Write
	// Snapshot writes the next chunk of a snapshot.
	Snapshot *SnapshotWriter

	// snapshotDone says that the chunk was the last one.
	snapshotDone bool
	// percentUsed is how full the log was afterwards.
	percentUsed int
}

// Do carries the operation out on a disk. log is nil for Create, which returns the
// new one; any other operation returns the log it was given.
func (o *Operation) Do(d Disk, layout Layout, log *Log) (*Log, error) {
	log, err := o.run(d, layout, log)
	if log != nil {
		o.percentUsed = log.PercentUsed()
	}
	return log, err
}

func (o *Operation) run(d Disk, layout Layout, log *Log) (*Log, error) {
	switch {
	case o.Create != nil:
		return Create(d, layout, o.Create)
	case o.Write != nil:
		return log, log.Save(o.Write)
	}
	var err error
	o.snapshotDone, err = log.WriteChunk(o.Snapshot)
	return log, err
}

// WriteQueue schedules the work of one disk, at most one operation at a time: first
// the creation of the log, then batches, all that wait merged into one, and after
// each of them a chunk of a snapshot. A newer snapshot waits until the one that is
// being written is done. The zero value has nothing to do.
type WriteQueue struct {
	create  *raft.Snapshot
	backlog raft.Backlog
	// writing is the snapshot being written, nextSnapshot the newest one after it.
	writing      *SnapshotWriter
	nextSnapshot *raft.Snapshot
	// busy says that an operation is under way.
	busy bool
	// lastWasWrite says that the last operation was not a chunk of a snapshot.
	lastWasWrite bool
	// percentUsed is how full the log was after the last operation.
	percentUsed int
}

// Add queues what a member asks for: the creation of its log, batches, and a
// snapshot of its own. Each may be nil.
func (q *WriteQueue) Add(create *raft.Snapshot, writes []*raft.Write, snapshot *raft.Snapshot) {
	if create != nil {
		q.create = create
	}
	for _, w := range writes {
		q.backlog.Add(w)
	}
	if snapshot != nil {
		q.nextSnapshot = snapshot
	}
}

// Bytes is the size of the batches that wait to be written, snapshots in the
// background not included.
func (q *WriteQueue) Bytes() int { return q.backlog.Bytes() }

// Next is the operation to carry out now, or nil while one is under way or nothing
// waits. The caller passes it to Done afterwards.
func (q *WriteQueue) Next() *Operation {
	if q.writing == nil && q.nextSnapshot != nil {
		q.writing = NewSnapshotWriter(q.nextSnapshot)
		q.nextSnapshot = nil
	}
	if q.busy {
		return nil
	}
	operation := q.choose()
	if operation != nil {
		q.busy = true
		q.lastWasWrite = operation.Snapshot == nil
	}
	return operation
}

func (q *WriteQueue) choose() *Operation {
	switch {
	case q.create != nil:
		create := q.create
		q.create = nil
		return &Operation{Create: create}
	case q.writing != nil && (q.lastWasWrite || q.backlog.Len() == 0 || q.percentUsed >= snapshotFirstPercent):
		return &Operation{Snapshot: q.writing}
	case q.backlog.Len() > 0:
		return &Operation{Write: q.backlog.Next()}
	}
	return nil
}

// Done notes that the operation under way has been carried out.
func (q *WriteQueue) Done(o *Operation) {
	q.busy = false
	q.percentUsed = o.percentUsed
	if o.snapshotDone {
		q.writing = nil
	}
}
