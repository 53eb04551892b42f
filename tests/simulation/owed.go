// What is owed: service, whenever a majority of keepers with sound disks hear
// one another and some gate reaches them and the callers. Whatever else is
// broken meanwhile, however much of it, is no excuse.

package simulation

// owed tells whether the machines as they stand owe service.
func (w *World) owed() bool {
	good, need := w.fit(), w.majority()
	for _, g := range w.gates {
		if !g.up || g.frozen || !w.talk(g.node, w.callers.node) {
			continue
		}
		reach := []*keep{}
		for _, k := range good {
			if w.talk(g.node, k.node) {
				reach = append(reach, k)
			}
		}
		if w.circle(reach, need) {
			return true
		}
	}
	return false
}

// talk tells whether two processes reach each other, both ways.
func (w *World) talk(a, b *node) bool { return a == b || !w.cut(a, b) && !w.cut(b, a) }

// fit lists the keepers that run, have a seat, and a disk that keeps up.
func (w *World) fit() []*keep {
	var list []*keep
	for _, k := range w.keepers {
		if !k.up || k.frozen || k.slow > 0 || k.stall > w.Now || k.mach == nil || k.mach.Raft() == nil {
			continue
		}
		if m, ok := k.mach.Raft().Member(k.mach.Config().ID); ok && m.Voter {
			list = append(list, k)
		}
	}
	return list
}

// majority is how many keepers must agree, by the newest list any knows.
func (w *World) majority() int {
	voters, at := 0, uint64(0)
	for _, k := range w.keepers {
		if k.mach == nil || k.mach.Raft() == nil || uint64(k.mach.Raft().LastIndex()) < at {
			continue
		}
		at, voters = uint64(k.mach.Raft().LastIndex()), 0
		for _, m := range k.mach.Raft().Members() {
			if m.Voter {
				voters++
			}
		}
	}
	return voters/2 + 1
}

// circle tells whether need of the keepers all hear one another.
func (w *World) circle(list []*keep, need int) bool {
	if need == 0 {
		return true
	}
	for i, k := range list {
		rest := []*keep{}
		for _, other := range list[i+1:] {
			if w.talk(k.node, other.node) {
				rest = append(rest, other)
			}
		}
		if w.circle(rest, need-1) {
			return true
		}
	}
	return false
}
