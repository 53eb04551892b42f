package register

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
)

// change is a change that an operator requests; all copies of it are identical.
type change struct {
	number        int
	replaces      bool
	base          uint64
	version       uint64
	queues        map[string]string // the pool of each queue that is added or replaced
	pools         []string
	droppedQueues []string // queues dropped by a patch
	droppedPools  []string // pools dropped by a patch
	source        string   // empty for none
}

// register holds one version of the catalog and its content. A change names the version
// it is based on and the one it creates.
type register struct {
	version uint64
	queues  map[string]string
	pools   map[string]bool
	source  string
}

func newRegister() register {
	return register{queues: map[string]string{}, pools: map[string]bool{}}
}

// with returns the register after a change; ok is false if the change is not valid.
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

// String formats the content; registers with equal content have equal strings.
func (r register) String() string {
	queues := []string{}
	for name, pool := range r.queues {
		queues = append(queues, name+":"+pool)
	}
	slices.Sort(queues)
	pools := slices.Sorted(maps.Keys(r.pools))
	return fmt.Sprintf("%d by %q queues %v pools %v", r.version, r.source, queues, pools)
}

// noAnswer is the end time of a call whose outcome is unknown: the call may take effect at
// any time after its start, or never.
const noAnswer = int64(1) << 62

// registerCall is one call of an operator and its outcome.
type registerCall struct {
	startedAt, endedAt int64
	change             *change // nil for a read
	status             int
	content            string // the content that a read returned
}

func (x *registerCall) outcomeUnknown() bool { return x.endedAt == noAnswer }

func (x *registerCall) String() string {
	if x.change == nil {
		return fmt.Sprintf("%d..%d read: %s", x.startedAt, x.endedAt, x.content)
	}
	c, end := x.change, fmt.Sprint(x.endedAt)
	if x.outcomeUnknown() {
		end = "?"
	}
	return fmt.Sprintf("%d..%s change %d, %d to %d, replaces %v: %d", x.startedAt, end, c.number, c.base, c.version, c.replaces, x.status)
}

// effect is what a call can do in a state of the register: its response contradicts the
// state (impossible), it does not change the register (noEffect), or its change takes
// effect.
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
	case x.outcomeUnknown() && acceptable, x.status == http.StatusOK && acceptable:
		return takesEffect
	case x.status == http.StatusOK && accepted[c]:
		return noEffect
	case x.status == http.StatusPreconditionFailed && !accepted[c] && r.version != c.base:
		return noEffect
	case x.status == http.StatusUnprocessableEntity && !accepted[c] && r.version == c.base && !valid:
		return noEffect
	case x.status == http.StatusTooManyRequests, x.status == http.StatusServiceUnavailable:
		return noEffect
	}
	return impossible
}

// search looks for an order of the calls, each at a point between its start and its end,
// in which the register gives the observed responses (Wing and Gong, Testing and Verifying
// Concurrent Objects, 1993).
type search struct {
	calls    []*registerCall
	accepted map[*change]bool
	deadEnds map[string]bool
}

// linearizable reports whether a register could have given the responses of all calls.
// before are the changes accepted before the first call.
func linearizable(first register, before []*change, calls []*registerCall) bool {
	s := &search{accepted: map[*change]bool{}, deadEnds: map[string]bool{}}
	for _, c := range before {
		s.accepted[c] = true
	}
	begun := map[*change]bool{}
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b *registerCall) int { return int(a.startedAt - b.startedAt) })
	for _, x := range calls {
		// Of several calls of one change with unknown outcomes, the first can take effect
		// whenever the others can.
		if x.outcomeUnknown() && begun[x.change] {
			continue
		}
		begun[x.change] = begun[x.change] || x.outcomeUnknown()
		s.calls = append(s.calls, x)
	}
	return s.explore(first, make([]bool, len(s.calls)))
}

// explore continues from a state in which some calls are done. Calls without effect are
// done as soon as possible; the search branches only on which change takes effect next.
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

// firstEnd is the earliest end of a call that is not done: a call that started later
// cannot take effect before that one.
func (s *search) firstEnd(done []bool) int64 {
	at := noAnswer
	for i, x := range s.calls {
		if !done[i] {
			at = min(at, x.endedAt)
		}
	}
	return at
}
