// The catalogue of queues, as operators see it, is a register: it holds one
// version and its content. A change names the version it builds on and the one
// it makes. This file is the specification, and decides whether a history of
// calls is one that such a register could have given (Wing and Gong, 1993).

package simulation

import (
	"fmt"
	"maps"
	"slices"
)

// change is what an operator asks for; every copy of it is the same.
type change struct {
	number   int
	whole    bool
	base     uint64
	version  uint64
	queues   map[string]string // the pool of each queue that is put
	pools    []string
	dropped  []string // queues dropped by a patch
	unpooled []string // pools dropped by a patch
	author   string   // travels as the source, empty for none
}

// register is the state: what is in force.
type register struct {
	version uint64
	queues  map[string]string
	pools   map[string]bool
	author  string
}

func newRegister() register {
	return register{queues: map[string]string{}, pools: map[string]bool{}}
}

// with is the register after the change, unless its content can't be in force.
func (r register) with(c *change) (next register, ok bool) {
	next = newRegister()
	next.version = c.version
	if !c.whole {
		next.queues, next.pools, next.author = maps.Clone(r.queues), maps.Clone(r.pools), r.author
	}
	if c.author != "" {
		next.author = c.author
	}
	for _, name := range c.dropped {
		delete(next.queues, name)
	}
	for _, name := range c.unpooled {
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
	return fmt.Sprintf("%d by %q queues %v pools %v", r.version, r.author, queues, pools)
}

// never is the end of a call that got no clear answer: it may take effect at
// any time after it began, or not at all.
const never = int64(1) << 62

// exchange is one call of an operator and what came of it.
type exchange struct {
	begin, end int64
	change     *change // nil for a read
	status     int
	content    string // what a read showed
}

func (x *exchange) unclear() bool { return x.end == never }

func (x *exchange) String() string {
	if x.change == nil {
		return fmt.Sprintf("%d..%d read: %s", x.begin, x.end, x.content)
	}
	c, end := x.change, fmt.Sprint(x.end)
	if x.unclear() {
		end = "?"
	}
	return fmt.Sprintf("%d..%s change %d, %d to %d, whole %v: %d", x.begin, end, c.number, c.base, c.version, c.whole, x.status)
}

// effect is what a call can do at this point: nothing it could have answered as
// it did (wrong), nothing to the register (none), or to put the change in force.
type effect int

const (
	wrong effect = iota
	none
	accepts
)

func (x *exchange) effect(r register, accepted map[*change]bool) effect {
	c := x.change
	if c == nil {
		if x.content == r.String() {
			return none
		}
		return wrong
	}
	_, valid := r.with(c)
	acceptable := !accepted[c] && r.version == c.base && valid
	switch {
	case x.unclear() && acceptable, x.status == 200 && acceptable:
		return accepts
	case x.status == 200 && accepted[c]:
		return none
	case x.status == 412 && !accepted[c] && r.version != c.base:
		return none
	case x.status == 422 && !accepted[c] && r.version == c.base && !valid:
		return none
	case x.status == 429, x.status == 503:
		return none
	}
	return wrong
}

// search looks for an order of the calls, each at a moment between its begin
// and its end, in which the register gives just these answers.
type search struct {
	calls    []*exchange
	accepted map[*change]bool
	failed   map[string]bool
}

// linearizable tells whether the register, from its first state, could have
// answered all calls as they were answered. Some changes were accepted before.
func linearizable(first register, before []*change, calls []*exchange) bool {
	s := &search{accepted: map[*change]bool{}, failed: map[string]bool{}}
	for _, c := range before {
		s.accepted[c] = true
	}
	begun := map[*change]bool{}
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b *exchange) int { return int(a.begin - b.begin) })
	for _, x := range calls {
		// Of several unclear calls of one change the first can do all that the
		// others can.
		if x.unclear() && begun[x.change] {
			continue
		}
		begun[x.change] = begun[x.change] || x.unclear()
		s.calls = append(s.calls, x)
	}
	return s.from(first, make([]bool, len(s.calls)))
}

// from continues from a state in which some calls are done. A call that does
// nothing to the register is done as soon as it can be; only which change comes
// next is tried in turn.
func (s *search) from(r register, done []bool) bool {
	done = slices.Clone(done)
	var next []int
	for again := true; again; {
		again, next = false, nil
		first := s.firstEnd(done)
		for i, x := range s.calls {
			if done[i] || x.begin > first {
				continue
			}
			switch x.effect(r, s.accepted) {
			case none:
				done[i], again = true, true
			case accepts:
				next = append(next, i)
			}
		}
	}
	if s.firstEnd(done) == never {
		return true
	}
	key := fmt.Sprint(r, done)
	if s.failed[key] {
		return false
	}
	for _, i := range next {
		c := s.calls[i].change
		after, _ := r.with(c)
		s.accepted[c], done[i] = true, true
		if s.from(after, done) {
			return true
		}
		s.accepted[c], done[i] = false, false
	}
	s.failed[key] = true
	return false
}

// firstEnd is when the first call ends that is not done: no other can have taken
// effect before those that end earlier than it began.
func (s *search) firstEnd(done []bool) int64 {
	at := never
	for i, x := range s.calls {
		if !done[i] {
			at = min(at, x.end)
		}
	}
	return at
}
