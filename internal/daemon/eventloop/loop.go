package eventloop

import (
	"context"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

// messageQueueSize bounds the queue of received messages.
const messageQueueSize = 8192

// Loop is the event loop of a machine of type M, usually a pointer.
type Loop[M any] struct {
	machine  M
	messages *lifecycle.Queue[message]
	calls    *CallQueue[M]
}

type message struct {
	from wire.Peer
	msg  wire.Message
}

// Handlers are the callbacks by which a daemon processes the inputs of its machine. All are
// called from the loop's goroutine.
type Handlers struct {
	// TickInterval is how often Tick is called.
	TickInterval time.Duration
	Tick         func()
	// Message handles one message from another process.
	Message func(from wire.Peer, msg wire.Message)
	// BeforeCall, if set, is called before each call to the machine.
	BeforeCall func()
	// BeforeInput, if set, is called before the loop waits for its next input.
	BeforeInput func()
	// AfterInput is called after each input to process the machine's output.
	AfterInput func()
	// Completions, if set, delivers completions of operations that run elsewhere. The loop
	// calls each function, and ends if it returns an error.
	Completions <-chan func() error
}

// New returns the event loop of a machine, with a queue for the given number of calls.
func New[M any](machine M, calls int) *Loop[M] {
	return &Loop[M]{
		machine:  machine,
		messages: lifecycle.NewQueue[message](messageQueueSize),
		calls:    NewCallQueue[M](calls),
	}
}

// Receive queues a message. If the queue is full the message is dropped: senders tolerate
// message loss.
func (l *Loop[M]) Receive(from wire.Peer, msg wire.Message) {
	l.messages.TryPush(message{from, msg})
}

// Do runs f on the loop's goroutine and waits for it. If Do returns false, f has not run and
// never will.
func (l *Loop[M]) Do(ctx context.Context, f func(m M)) bool { return l.calls.Do(ctx, f) }

// Post queues f to be run on the loop's goroutine and does not wait. It returns false if the
// queue is full.
func (l *Loop[M]) Post(f func(m M)) bool { return l.calls.Post(f) }

// Done returns a channel that is closed once the loop has ended.
func (l *Loop[M]) Done() <-chan struct{} { return l.calls.Done() }

// Run processes inputs until stop is closed or a completion returns an error.
func (l *Loop[M]) Run(stop <-chan struct{}, h Handlers) {
	defer l.calls.Close()
	ticker := time.NewTicker(h.TickInterval)
	defer ticker.Stop()
	for {
		if h.BeforeInput != nil {
			h.BeforeInput()
		}
		select {
		case <-stop:
			return
		case m := <-l.messages.Out():
			h.Message(m.from, m.msg)
		case call := <-l.calls.Out():
			if h.BeforeCall != nil {
				h.BeforeCall()
			}
			call.Run(l.machine)
		case <-ticker.C:
			h.Tick()
		case complete := <-h.Completions:
			if err := complete(); err != nil {
				return
			}
		}
		h.AfterInput()
	}
}
