package raft

// maxBatchBytes is the size at which no further writes are merged into a batch.
const maxBatchBytes = 1 << 20

// Backlog is a FIFO queue of writes to a disk. It merges queued writes into batches, so
// that a slow disk catches up in one write with the many that arrived during the previous
// one. The zero value is an empty backlog ready to use.
type Backlog struct {
	writes []*Write
	bytes  int
}

// Add appends a write to the queue.
func (b *Backlog) Add(w *Write) {
	b.writes = append(b.writes, w)
	b.bytes += w.size()
}

// Len returns the number of queued writes.
func (b *Backlog) Len() int { return len(b.writes) }

// Bytes returns the total size of the queued entries and snapshots.
func (b *Backlog) Bytes() int { return b.bytes }

// Next removes and returns the oldest write, merged with as many of the following ones as
// fit in a batch, or nil if the queue is empty. A snapshot is never merged with other
// writes, since the writes before it must be on disk first.
func (b *Backlog) Next() *Write {
	if len(b.writes) == 0 {
		return nil
	}
	batch := *b.writes[0]
	bytes := batch.size()
	count := 1
	for count < len(b.writes) && bytes < maxBatchBytes && batch.Snapshot == nil && b.writes[count].Snapshot == nil {
		bytes += b.writes[count].size()
		batch.merge(b.writes[count])
		count++
	}
	b.writes = b.writes[count:]
	b.bytes -= bytes
	return &batch
}

// merge merges a later write into this one. The later entries replace all earlier ones
// from the index of the first later entry on.
func (w *Write) merge(next *Write) {
	w.Seq = next.Seq
	if next.HardState != nil {
		w.HardState = next.HardState
	}
	if len(next.Entries) == 0 {
		return
	}
	kept := 0
	for kept < len(w.Entries) && w.Entries[kept].Index < next.Entries[0].Index {
		kept++
	}
	w.Entries = append(append([]Entry(nil), w.Entries[:kept]...), next.Entries...)
}

func (w *Write) size() int {
	var bytes int
	for _, e := range w.Entries {
		bytes += e.size()
	}
	if w.Snapshot != nil {
		bytes += len(w.Snapshot.Data)
	}
	return bytes
}
