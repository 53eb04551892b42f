// A Backlog is the writes a disk has yet to do, in order. Those that wait are
// done as one: a disk that takes its time for every sync falls behind by one
// write and no further, however many came meanwhile.

package raft

// Backlog queues the writes that a disk has yet to do, in order, and merges
// those that wait. Its zero value is empty and ready to use.
type Backlog struct {
	list  []*Write
	bytes int
}

// lotBytes is how much goes to the disk as one write.
const lotBytes = 1 << 20

// Add queues a write behind all others.
func (b *Backlog) Add(w *Write) {
	b.list = append(b.list, w)
	b.bytes += w.size()
}

// Len is the number of queued writes.
func (b *Backlog) Len() int { return len(b.list) }

// Bytes is the size of the queued entries and snapshots together.
func (b *Backlog) Bytes() int { return b.bytes }

// Next takes what is first in line, and with it all that can be written at
// once. A view goes alone, as what came before it must be down first.
func (b *Backlog) Next() *Write {
	if len(b.list) == 0 {
		return nil
	}
	one := *b.list[0]
	w, size, n := &one, one.size(), 1
	for ; n < len(b.list) && w.Snapshot == nil && b.list[n].Snapshot == nil && size < lotBytes; n++ {
		size += b.list[n].size()
		w.take(b.list[n])
	}
	b.list = b.list[n:]
	b.bytes -= size
	return w
}

// take adds a later write to this one: its entries replace a tail.
func (w *Write) take(next *Write) {
	w.Seq = next.Seq
	if next.HardState != nil {
		w.HardState = next.HardState
	}
	if len(next.Entries) == 0 {
		return
	}
	n := 0
	for n < len(w.Entries) && w.Entries[n].Index < next.Entries[0].Index {
		n++
	}
	w.Entries = append(append([]Entry(nil), w.Entries[:n]...), next.Entries...)
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
