package raft

import "orchidward/internal/api/identifier"

// entryOverhead is what an entry takes besides its data, in bytes, estimated.
const entryOverhead = 32

// tailLimit bounds the entries kept in memory behind the snapshot, so that a
// follower a little behind is served from the log. A follower that is being sent
// an older snapshot needs all entries after that one: for its sake the tail may
// grow up to transferBytes, whatever the number of entries.
type tailLimit struct {
	entries       identifier.Index
	bytes         int
	transferBytes int
}

var defaultTail = tailLimit{entries: 4096, bytes: 8 << 20, transferBytes: 16 << 20}

// log is the replicated log in memory: the entries after base, and the newest
// snapshot, which covers base and perhaps some of the entries.
type log struct {
	base     identifier.Index
	baseTerm identifier.Term
	entries  []Entry
	snapshot *Snapshot
}

// size is about what an entry takes in memory, in a message and on disk, in bytes.
func (e Entry) size() int { return len(e.Data) + entryOverhead }

func (l *log) last() identifier.Index { return l.base + identifier.Index(len(l.entries)) }

// term is the term of the entry at an index; ok is false when the log does not
// have it.
func (l *log) term(index identifier.Index) (term identifier.Term, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *log) lastTerm() identifier.Term {
	term, _ := l.term(l.last())
	return term
}

// entriesFrom returns the entries from an index on, up to maxBytes in all but at
// least one.
func (l *log) entriesFrom(first identifier.Index, maxBytes int) []Entry {
	var entries []Entry
	if first <= l.base || first > l.last() {
		return nil
	}
	for _, e := range l.entries[first-l.base-1:] {
		maxBytes -= e.size()
		if len(entries) > 0 && maxBytes < 0 {
			break
		}
		entries = append(entries, e)
	}
	return entries
}

// entryBytes is the size of the entries between two indexes, both included, as
// far as the log holds them.
func (l *log) entryBytes(from, to identifier.Index) int {
	var bytes int
	for i := max(from, l.base+1); i <= min(to, l.last()); i++ {
		bytes += l.entries[i-l.base-1].size()
	}
	return bytes
}

// truncateFrom drops the entries from an index on.
func (l *log) truncateFrom(index identifier.Index) { l.entries = l.entries[:index-l.base-1] }

// compactionIndex is the index up to which entries may be dropped, so that the tail
// behind it is within the limit. oldestTransfer is the index of the oldest
// snapshot that is being sent, or that of the newest snapshot when none is.
func (l *log) compactionIndex(limit tailLimit, oldestTransfer identifier.Index) identifier.Index {
	var index identifier.Index
	bytes := 0
	for index = l.snapshot.Index; index > l.base; index-- {
		bytes += l.entries[index-l.base-1].size()
		inTail := l.snapshot.Index-index < limit.entries && bytes <= limit.bytes
		transferring := index > oldestTransfer && bytes <= limit.transferBytes
		if !inTail && !transferring {
			break
		}
	}
	return index
}

// compactTo drops the entries up to and with index, which must not be past the
// snapshot.
func (l *log) compactTo(index identifier.Index) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = term
}
