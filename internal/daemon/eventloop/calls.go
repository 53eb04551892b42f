package eventloop

import (
	"context"
	"sync/atomic"

	"orchidward/internal/daemon/lifecycle"
)

// CallQueue queues the calls that other goroutines make to a machine of type M. The event loop
// executes them one after another.
type CallQueue[M any] struct {
	queue *lifecycle.Queue[*Call[M]]
	done  chan struct{}
}

// Call is one function to be run on the machine.
type Call[M any] struct {
	run func(m M)
	// claimed is set when the call begins or its caller cancels it, whichever is first.
	claimed  atomic.Bool
	finished chan struct{}
}

// NewCallQueue returns a queue with capacity for size calls.
func NewCallQueue[M any](size int) *CallQueue[M] {
	return &CallQueue[M]{queue: lifecycle.NewQueue[*Call[M]](size), done: make(chan struct{})}
}

// Out returns the channel from which the event loop receives calls.
func (q *CallQueue[M]) Out() <-chan *Call[M] { return q.queue.Out() }

// Done returns a channel that is closed once the event loop executes no more calls.
func (q *CallQueue[M]) Done() <-chan struct{} { return q.done }

// Close marks the event loop as ended. The loop calls it once.
func (q *CallQueue[M]) Close() { close(q.done) }

// Post queues a call and does not wait for it. It returns false if the queue is full.
func (q *CallQueue[M]) Post(run func(m M)) bool {
	_, ok := q.push(run)
	return ok
}

// push queues a call, which its caller may cancel until it begins. ok is false if the queue is
// full.
func (q *CallQueue[M]) push(run func(m M)) (call *Call[M], ok bool) {
	call = newCall(run)
	return call, q.queue.TryPush(call)
}

// Do queues a call and waits until it has been executed. It returns false if the queue is full,
// or if the context or the loop ended before the call began; the call then never runs.
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

// cancel cancels the call unless it has begun, and reports whether it did. A cancelled call
// never runs.
func (c *Call[M]) cancel() bool { return c.claimed.CompareAndSwap(false, true) }

// Run executes the call unless its caller has cancelled it.
func (c *Call[M]) Run(m M) {
	if c.claimed.CompareAndSwap(false, true) {
		c.run(m)
		close(c.finished)
	}
}
