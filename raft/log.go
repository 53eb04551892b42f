// The log in memory: entries after some base, and the view that stands for
// what came before.
package raft

import "orchidward/ids"

type log struct {
	base     ids.Index
	baseTerm ids.Term
	list     []Entry
	view     *View
}

func (l *log) last() (i ids.Index) { return l.base + ids.Index(len(l.list)) }

func (l *log) term(i ids.Index) (t ids.Term, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.list[i-l.base-1].Term, true
}

func (l *log) lastTerm() (t ids.Term) {
	t, _ = l.term(l.last())
	return t
}

// from returns entries beginning at i, up to some bytes but at least one.
func (l *log) from(i ids.Index, bytes int) (out []Entry) {
	if i <= l.base || i > l.last() {
		return nil
	}
	for _, e := range l.list[i-l.base-1:] {
		bytes -= len(e.Data) + 32
		if len(out) > 0 && bytes < 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

// bytes is what the entries from one to another weigh, as far as they are here.
func (l *log) bytes(from, to ids.Index) (n int) {
	for i := max(from, l.base+1); i <= min(to, l.last()); i++ {
		n += len(l.list[i-l.base-1].Data) + 32
	}
	return n
}

func (l *log) cut(from ids.Index) { l.list = l.list[:from-l.base-1] }

// shed drops entries before keep, which must not be past the view.
func (l *log) shed(keep ids.Index) {
	if l.view == nil || keep > l.view.Index {
		return
	}
	if keep <= l.base {
		return
	}
	t, ok := l.term(keep)
	if !ok {
		return
	}
	l.list = append([]Entry(nil), l.list[keep-l.base:]...)
	l.base, l.baseTerm = keep, t
}
