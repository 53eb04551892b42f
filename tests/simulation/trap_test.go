package simulation

// snare takes whoever leads away as soon as its log has grown by n entries
// since it was armed, for a while.
type snare struct {
	w      *World
	how    string
	n      int
	away   int64
	base   uint64
	sprung bool
}

func (s *snare) set(w *World) {
	s.w = w
	w.trap = s.try
}

// arm counts entries from now on.
func (s *snare) arm() {
	if k := s.w.leader(); k != nil {
		s.base = uint64(k.mach.Raft().LastIndex())
	}
}

func (s *snare) try(k *keep) bool {
	if s.base == 0 || s.sprung || !k.leads() || uint64(k.mach.Raft().LastIndex()) < s.base+uint64(s.n) {
		return false
	}
	s.sprung = true
	switch s.how {
	case "crash":
		s.w.after(s.away, s.w.stopKeeper(k))
		return true
	case "freeze":
		s.w.after(s.away, s.w.hold(k.node))
	case "alone":
		s.w.after(s.away, s.w.apart(k.node, true, true))
	}
	return false
}

// longest measures the longest time without an answer between two moments.
func (w *World) longest(from, to int64, gap *int64) {
	last := int64(0)
	var look func()
	look = func() {
		if s := w.callers.served; s != last {
			if last > 0 {
				*gap = max(*gap, s-last)
			}
			last = s
		}
		if w.Now < to {
			w.after(10, look)
		}
	}
	w.at(from, look)
}
