// The log in memory: entries after some base, and the view that stands for
// what came before.

package raft

import "orchidward/internal/api/identifier"

// entryOverhead is what an entry weighs besides its data.
const entryOverhead = 32

// tailLimit bounds the entries kept in memory behind the snapshot, so that a
// follower a little behind is served from the log. A follower that is loading
// an older snapshot needs all entries after that one: for its sake the tail may
// grow up to loadingBytes, whatever the number of entries.
type tailLimit struct {
	entries      identifier.Index
	bytes        int
	loadingBytes int
}

var defaultTail = tailLimit{entries: 4096, bytes: 8 << 20, loadingBytes: 16 << 20}

type log struct {
	base     identifier.Index
	baseTerm identifier.Term
	entries  []Entry
	snapshot *Snapshot
}

// entryBytes is what an entry weighs in memory, in a message and on disk.
func (e Entry) size() int { return len(e.Data) + entryOverhead }

func (l *log) last() identifier.Index { return l.base + identifier.Index(len(l.entries)) }

func (l *log) term(i identifier.Index) (t identifier.Term, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *log) lastTerm() identifier.Term {
	t, _ := l.term(l.last())
	return t
}

// from returns entries beginning at i, up to some bytes but at least one.
func (l *log) entriesFrom(first identifier.Index, bytes int) []Entry {
	var entries []Entry
	if first <= l.base || first > l.last() {
		return nil
	}
	for _, e := range l.entries[first-l.base-1:] {
		bytes -= e.size()
		if len(entries) > 0 && bytes < 0 {
			break
		}
		entries = append(entries, e)
	}
	return entries
}

// entryBytes is what the entries from one to another weigh, as far as they are here.
func (l *log) entryBytes(from, to identifier.Index) int {
	var n int
	for i := max(from, l.base+1); i <= min(to, l.last()); i++ {
		n += l.entries[i-l.base-1].size()
	}
	return n
}

func (l *log) truncateFrom(index identifier.Index) { l.entries = l.entries[:index-l.base-1] }

// retainFrom is the index behind which entries may be dropped: the tail up to
// the snapshot is within the limit. Oldest is the oldest snapshot that is being
// loaded, or the newest one when none is.
func (l *log) retainFrom(limit tailLimit, oldest identifier.Index) identifier.Index {
	var first identifier.Index
	bytes := 0
	for first = l.snapshot.Index; first > l.base; first-- {
		bytes += l.entries[first-l.base-1].size()
		inTail := l.snapshot.Index-first < limit.entries && bytes <= limit.bytes
		loading := first > oldest && bytes <= limit.loadingBytes
		if !inTail && !loading {
			break
		}
	}
	return first
}

// dropTo drops the entries up to and with keep, which must not be past the
// snapshot.
func (l *log) dropTo(keep identifier.Index) {
	term, ok := l.term(keep)
	if !ok || keep <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[keep-l.base:]...)
	l.base, l.baseTerm = keep, term
}
