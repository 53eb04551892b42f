package eventloop

import (
	"context"
	"sync/atomic"

	"orchidward/internal/daemon/lifecycle"
)

// CallQueue takes the calls that other goroutines make to a machine of type M. The
// event loop carries them out, one after another.
type CallQueue[M any] struct {
	queue *lifecycle.Queue[*Call[M]]
	done  chan struct{}
}

// Call is one function to be run on the machine.
type Call[M any] struct {
	run func(m M)
	// claimed says that the call has begun, or that its caller has given it up.
	claimed  atomic.Bool
	finished chan struct{}
}

// NewCallQueue makes a queue for so many calls.
func NewCallQueue[M any](size int) *CallQueue[M] {
	return &CallQueue[M]{queue: lifecycle.NewQueue[*Call[M]](size), done: make(chan struct{})}
}

// Out is where the event loop takes calls from.
func (q *CallQueue[M]) Out() <-chan *Call[M] { return q.queue.Out() }

// Done is closed once the event loop takes no more calls.
func (q *CallQueue[M]) Done() <-chan struct{} { return q.done }

// Close says that the event loop has ended; the loop calls it once.
func (q *CallQueue[M]) Close() { close(q.done) }

// Post queues a call and does not wait for it. It is false when the queue is full.
func (q *CallQueue[M]) Post(run func(m M)) bool {
	_, ok := q.push(run)
	return ok
}

// push queues a call that its caller may yet give up. ok is false when the queue is full.
func (q *CallQueue[M]) push(run func(m M)) (call *Call[M], ok bool) {
	call = newCall(run)
	return call, q.queue.TryPush(call)
}

// Do queues a call and waits until it has been carried out. When it is false, because the
// queue is full, the context ended or the loop did, the call never will be.
func (q *CallQueue[M]) Do(ctx context.Context, run func(m M)) bool {
	call, ok := q.push(run)
	if !ok {
		return false
	}
	select {
	case <-call.finished:
		return true
	case <-ctx.Done():
	case <-q.done:
	}
	if call.cancel() {
		return false
	}
	<-call.finished
	return true
}

func newCall[M any](run func(m M)) *Call[M] {
	return &Call[M]{run: run, finished: make(chan struct{})}
}

// cancel takes the call back, and reports whether it had not begun: then it never will.
func (c *Call[M]) cancel() bool { return c.claimed.CompareAndSwap(false, true) }

// Run carries the call out, unless its caller has given it up.
func (c *Call[M]) Run(m M) {
	if c.claimed.CompareAndSwap(false, true) {
		c.run(m)
		close(c.finished)
	}
}
