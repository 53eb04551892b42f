package raft

// maxBatchBytes is the size from which on a batch takes no further writes.
const maxBatchBytes = 1 << 20

// Backlog queues the writes that a disk has yet to do, in order, and merges
// those that wait, so that a slow disk falls behind by one write and no further,
// however many come meanwhile. Its zero value is empty and ready to use.
type Backlog struct {
	writes []*Write
	bytes  int
}

// Add queues a write behind all others.
func (b *Backlog) Add(w *Write) {
	b.writes = append(b.writes, w)
	b.bytes += w.size()
}

// Len is the number of queued writes.
func (b *Backlog) Len() int { return len(b.writes) }

// Bytes is the size of the queued entries and snapshots together.
func (b *Backlog) Bytes() int { return b.bytes }

// Next removes the oldest write, merged with as many of those behind it as fit
// in a batch; nil when none waits. A snapshot is never merged with other writes,
// as those before it must be on disk first.
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

// merge adds a later write to this one. Its entries replace those from the first
// one's index on.
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
