// Errands are what callers on other duties want done on a desk's own: the desk
// alone touches its machine, and takes one errand after another off a ring.

package httpserver

import (
	"context"
	"sync/atomic"

	"orchidward/internal/daemon/lifecycle"
)

// CallQueue is the way in to a desk whose machine is an M.
type CallQueue[M any] struct {
	ring *lifecycle.Queue[*Call[M]]
	over chan struct{}
}

// Call is one thing to be done.
type Call[M any] struct {
	do    func(m M)
	taken atomic.Bool
	done  chan struct{}
}

// NewCallQueue makes a ring for so many errands.
func NewCallQueue[M any](size int) *CallQueue[M] {
	return &CallQueue[M]{ring: lifecycle.NewQueue[*Call[M]](size), over: make(chan struct{})}
}

// Out is where the desk takes errands from.
func (e *CallQueue[M]) Out() <-chan *Call[M] { return e.ring.Out() }

// Over is closed once the desk takes no more errands.
func (e *CallQueue[M]) Over() <-chan struct{} { return e.over }

// Close says that the desk has ended; the desk calls it once.
func (e *CallQueue[M]) Close() { close(e.over) }

// Offer hands an errand in and does not wait for it. A full ring refuses.
func (e *CallQueue[M]) Offer(do func(m M)) bool {
	return e.ring.TryPush(&Call[M]{do: do, done: make(chan struct{})})
}

// Do waits until the errand is done. If it is not, because the ring is full,
// the context ended or the desk did, it never will be.
func (e *CallQueue[M]) Do(ctx context.Context, do func(m M)) bool {
	x := &Call[M]{do: do, done: make(chan struct{})}
	if !e.ring.TryPush(x) {
		return false
	}
	select {
	case <-x.done:
		return true
	case <-ctx.Done():
	case <-e.over:
	}
	if x.taken.CompareAndSwap(false, true) {
		return false
	}
	<-x.done
	return true
}

// Run does the errand, unless its caller has given it up.
func (x *Call[M]) Run(m M) {
	if x.taken.CompareAndSwap(false, true) {
		x.do(m)
		close(x.done)
	}
}
