// A Backlog is the writes a disk has yet to do, in order. Those that wait are
// done as one: a disk that takes its time for every sync falls behind by one
// write and no further, however many came meanwhile.

package raft

// Backlog queues the writes that a disk has yet to do, in order, and merges
// those that wait. Its zero value is empty and ready to use.
type Backlog struct {
	writes []*Write
	bytes  int
}

// maxBatchBytes is how much goes to the disk as one write.
const maxBatchBytes = 1 << 20

// Add queues a write behind all others.
func (b *Backlog) Add(w *Write) {
	b.writes = append(b.writes, w)
	b.bytes += w.size()
}

// Len is the number of queued writes.
func (b *Backlog) Len() int { return len(b.writes) }

// Bytes is the size of the queued entries and snapshots together.
func (b *Backlog) Bytes() int { return b.bytes }

// Next takes what is first in line, and with it all that can be written at
// once. A view goes alone, as what came before it must be down first.
func (b *Backlog) Next() *Write {
	if len(b.writes) == 0 {
		return nil
	}
	first := *b.writes[0]
	batch, size, count := &first, first.size(), 1
	for ; count < len(b.writes) && batch.Snapshot == nil && b.writes[count].Snapshot == nil && size < maxBatchBytes; count++ {
		size += b.writes[count].size()
		batch.merge(b.writes[count])
	}
	b.writes = b.writes[count:]
	b.bytes -= size
	return batch
}

// merge adds a later write to this one: its entries replace a tail.
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
	var n int
	for _, e := range w.Entries {
		n += e.size()
	}
	if w.Snapshot != nil {
		n += len(w.Snapshot.Data)
	}
	return n
}
