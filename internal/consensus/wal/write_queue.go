package wal

import "orchidward/internal/consensus/raft"

// snapshotFirstPercent is the log usage from which on the snapshot being written takes
// precedence over all other writes, since only a snapshot frees space in the log.
const snapshotFirstPercent = 50

// Operation is one disk operation. Exactly one of Create, Write and Snapshot is set.
type Operation struct {
	// Create creates a new log that starts from this snapshot.
	Create *raft.Snapshot
	// Write writes this batch to the log.
	Write *raft.Write
	// Snapshot writes the next chunk of this snapshot.
	Snapshot *SnapshotWriter

	// snapshotDone is set if the chunk completed the snapshot.
	snapshotDone bool
	// percentUsed is the log usage after the operation.
	percentUsed int
}

// Do executes the operation on a disk. log is nil for Create, which returns the new log;
// any other operation returns the log it was given.
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

// WriteQueue schedules the operations of one disk, at most one at a time: first the
// creation of the log, then batches, into which queued writes are merged, each followed
// by a chunk of the snapshot being written. A newer snapshot waits until that one is
// done. The zero value is an empty queue ready to use.
type WriteQueue struct {
	create  *raft.Snapshot
	backlog raft.Backlog
	// writing is the snapshot being written, nextSnapshot the newest one that waits for it.
	writing      *SnapshotWriter
	nextSnapshot *raft.Snapshot
	// busy is set while an operation is in progress.
	busy bool
	// lastWasWrite is set if the last operation was not a chunk of a snapshot.
	lastWasWrite bool
	// percentUsed is the log usage after the last operation.
	percentUsed int
}

// Add queues the operations that a member requests: the creation of its log, writes, and a
// local snapshot. Each may be nil.
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

// Bytes returns the size of the queued writes, not including background snapshots.
func (q *WriteQueue) Bytes() int { return q.backlog.Bytes() }

// Next returns the operation to execute now, or nil if one is in progress or nothing is
// queued. The caller passes the operation to Done after executing it.
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

// Done records that the operation in progress has been executed.
func (q *WriteQueue) Done(o *Operation) {
	q.busy = false
	q.percentUsed = o.percentUsed
	if o.snapshotDone {
		q.writing = nil
	}
}
