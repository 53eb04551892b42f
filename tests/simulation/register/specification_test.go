// The catalogue of queues, as operators see it, is a register: it holds one
// version and its content. A change names the version it builds on and the one
// it makes. This file is the specification, and decides whether a history of
// calls is one that such a register could have given (Wing and Gong, 1993).

package register

import (
	"fmt"
	"maps"
	"slices"
)

// changeWeight is what an operator asks for; every copy of it is the same.
type change struct {
	number        int
	replaces      bool
	base          uint64
	version       uint64
	queues        map[string]string // the pool of each queue that is put
	pools         []string
	droppedQueues []string // queues dropped by a patch
	droppedPools  []string // pools dropped by a patch
	source        string   // travels as the source, empty for none
}

// register is the state: what is in force.
type register struct {
	version uint64
	queues  map[string]string
	pools   map[string]bool
	source  string
}

func newRegister() register {
	return register{queues: map[string]string{}, pools: map[string]bool{}}
}

// with is the register after the change, unless its content can't be in force.
func (r register) with(c *change) (next register, ok bool) {
	next = newRegister()
	next.version = c.version
	if !c.replaces {
		next.queues, next.pools, next.source = maps.Clone(r.queues), maps.Clone(r.pools), r.source
	}
	if c.source != "" {
		next.source = c.source
	}
	for _, name := range c.droppedQueues {
		delete(next.queues, name)
	}
	for _, name := range c.droppedPools {
		delete(next.pools, name)
	}
	maps.Copy(next.queues, c.queues)
	for _, name := range c.pools {
		next.pools[name] = true
	}
	for _, pool := range next.queues {
		if !next.pools[pool] {
			return r, false
		}
	}
	return next, c.version > r.version
}

// String is the whole content, the same for registers that read the same.
func (r register) String() string {
	queues := []string{}
	for name, pool := range r.queues {
		queues = append(queues, name+":"+pool)
	}
	slices.Sort(queues)
	pools := slices.Sorted(maps.Keys(r.pools))
	return fmt.Sprintf("%d by %q queues %v pools %v", r.version, r.source, queues, pools)
}

// noAnswer is the end of a call that got no clear answer: it may take effect at
// any time after it began, or not at all.
const noAnswer = int64(1) << 62

// registerCall is one call of an operator and what came of it.
type registerCall struct {
	startedAt, endedAt int64
	change             *change // nil for a read
	status             int
	content            string // what a read showed
}

func (x *registerCall) unclear() bool { return x.endedAt == noAnswer }

func (x *registerCall) String() string {
	if x.change == nil {
		return fmt.Sprintf("%d..%d read: %s", x.startedAt, x.endedAt, x.content)
	}
	c, end := x.change, fmt.Sprint(x.endedAt)
	if x.unclear() {
		end = "?"
	}
	return fmt.Sprintf("%d..%s change %d, %d to %d, whole %v: %d", x.startedAt, end, c.number, c.base, c.version, c.replaces, x.status)
}

// effect is what a call can do at this point: nothing it could have answered as
// it did (wrong), nothing to the register (none), or to put the change in force.
type effect int

const (
	impossible effect = iota
	noEffect
	takesEffect
)

func (x *registerCall) effect(r register, accepted map[*change]bool) effect {
	c := x.change
	if c == nil {
		if x.content == r.String() {
			return noEffect
		}
		return impossible
	}
	_, valid := r.with(c)
	acceptable := !accepted[c] && r.version == c.base && valid
	switch {
	case x.unclear() && acceptable, x.status == 200 && acceptable:
		return takesEffect
	case x.status == 200 && accepted[c]:
		return noEffect
	case x.status == 412 && !accepted[c] && r.version != c.base:
		return noEffect
	case x.status == 422 && !accepted[c] && r.version == c.base && !valid:
		return noEffect
	case x.status == 429, x.status == 503:
		return noEffect
	}
	return impossible
}

// search looks for an order of the calls, each at a moment between its begin
// and its end, in which the register gives just these answers.
type search struct {
	calls    []*registerCall
	accepted map[*change]bool
	deadEnds map[string]bool
}

// linearizable tells whether the register, from its first state, could have
// answered all calls as they were answered. Some changes were accepted before.
func linearizable(first register, before []*change, calls []*registerCall) bool {
	s := &search{accepted: map[*change]bool{}, deadEnds: map[string]bool{}}
	for _, c := range before {
		s.accepted[c] = true
	}
	begun := map[*change]bool{}
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b *registerCall) int { return int(a.startedAt - b.startedAt) })
	for _, x := range calls {
		// Of several unclear calls of one change the first can do all that the
		// others can.
		if x.unclear() && begun[x.change] {
			continue
		}
		begun[x.change] = begun[x.change] || x.unclear()
		s.calls = append(s.calls, x)
	}
	return s.explore(first, make([]bool, len(s.calls)))
}

// explore continues from a state in which some calls are done. A call that does
// nothing to the register is done as soon as it can be; only which change comes
// next is tried in turn.
func (s *search) explore(r register, done []bool) bool {
	done = slices.Clone(done)
	var next []int
	for again := true; again; {
		again, next = false, nil
		first := s.firstEnd(done)
		for i, x := range s.calls {
			if done[i] || x.startedAt > first {
				continue
			}
			switch x.effect(r, s.accepted) {
			case noEffect:
				done[i], again = true, true
			case takesEffect:
				next = append(next, i)
			}
		}
	}
	if s.firstEnd(done) == noAnswer {
		return true
	}
	key := fmt.Sprint(r, done)
	if s.deadEnds[key] {
		return false
	}
	for _, i := range next {
		c := s.calls[i].change
		after, _ := r.with(c)
		s.accepted[c], done[i] = true, true
		if s.explore(after, done) {
			return true
		}
		s.accepted[c], done[i] = false, false
	}
	s.deadEnds[key] = true
	return false
}

// firstEnd is when the first call ends that is not done: no other can have taken
// effect before those that end earlier than it began.
func (s *search) firstEnd(done []bool) int64 {
	at := noAnswer
	for i, x := range s.calls {
		if !done[i] {
			at = min(at, x.endedAt)
		}
	}
	return at
}
