package raft

import "orchidward/internal/api/identifier"

// entryOverhead is the estimated size of an entry without its data, in bytes.
const entryOverhead = 32

// tailLimit bounds the entries that are kept in memory although the newest snapshot
// covers them, so that a slightly lagging follower can catch up from the log. A follower
// that is receiving an older snapshot needs all entries after that snapshot: while such a
// transfer is in progress the tail may grow to transferBytes, with any number of entries.
type tailLimit struct {
	entries       identifier.Index
	bytes         int
	transferBytes int
}

var defaultTail = tailLimit{entries: 4096, bytes: 8 << 20, transferBytes: 16 << 20}

// log is the in-memory replicated log: the entries after base, and the newest snapshot,
// which covers base and possibly some of the entries.
type log struct {
	base     identifier.Index
	baseTerm identifier.Term
	entries  []Entry
	snapshot *Snapshot
}

// size is the approximate size of an entry in memory, in a message and on disk, in bytes.
func (e Entry) size() int { return len(e.Data) + entryOverhead }

func (l *log) last() identifier.Index { return l.base + identifier.Index(len(l.entries)) }

// term returns the term of the entry at an index; ok is false if the log does not
// contain that entry.
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

// entriesFrom returns the entries from index first on, at most maxBytes in total but at
// least one entry.
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

// entryBytes returns the total size of the entries from one index to another, both
// inclusive, that the log contains.
func (l *log) entryBytes(from, to identifier.Index) int {
	var bytes int
	for i := max(from, l.base+1); i <= min(to, l.last()); i++ {
		bytes += l.entries[i-l.base-1].size()
	}
	return bytes
}

// truncateFrom removes the entries from an index on.
func (l *log) truncateFrom(index identifier.Index) { l.entries = l.entries[:index-l.base-1] }

// compactionIndex returns the index up to which entries may be discarded so that the
// remaining tail is within the limit. oldestTransfer is the index of the oldest snapshot
// that is being sent, or that of the newest snapshot if none is.
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

// compactTo discards the entries up to and including index, which must not be after the
// snapshot's index.
func (l *log) compactTo(index identifier.Index) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = term
}
