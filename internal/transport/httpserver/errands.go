// Errands are what callers on other duties want done on a desk's own: the desk
// alone touches its machine, and takes one errand after another off a ring.

package httpserver

import (
	"context"
	"sync/atomic"

	"orchidward/internal/daemon/lifecycle"
)

// Errands is the way in to a desk whose machine is an M.
type Errands[M any] struct {
	ring *lifecycle.Ring[*Errand[M]]
	over chan struct{}
}

// Errand is one thing to be done.
type Errand[M any] struct {
	do    func(m M)
	taken atomic.Bool
	done  chan struct{}
}

// NewErrands makes a ring for so many errands.
func NewErrands[M any](size int) *Errands[M] {
	return &Errands[M]{ring: lifecycle.NewRing[*Errand[M]](size), over: make(chan struct{})}
}

// Out is where the desk takes errands from.
func (e *Errands[M]) Out() <-chan *Errand[M] { return e.ring.Out() }

// Over is closed once the desk takes no more errands.
func (e *Errands[M]) Over() <-chan struct{} { return e.over }

// Close says that the desk has ended; the desk calls it once.
func (e *Errands[M]) Close() { close(e.over) }

// Offer hands an errand in and does not wait for it. A full ring refuses.
func (e *Errands[M]) Offer(do func(m M)) bool {
	return e.ring.Offer(&Errand[M]{do: do, done: make(chan struct{})})
}

// Do waits until the errand is done. If it is not, because the ring is full,
// the context ended or the desk did, it never will be.
func (e *Errands[M]) Do(ctx context.Context, do func(m M)) bool {
	x := &Errand[M]{do: do, done: make(chan struct{})}
	if !e.ring.Offer(x) {
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
func (x *Errand[M]) Run(m M) {
	if x.taken.CompareAndSwap(false, true) {
		x.do(m)
		close(x.done)
	}
}
