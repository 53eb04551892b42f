package eventloop

import (
	"context"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

// messageQueueSize bounds the messages that wait for the loop.
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

// Handlers is what a daemon does with the inputs of its machine. All are called from the
// loop's goroutine.
type Handlers struct {
	// TickInterval is how often Tick is called.
	TickInterval time.Duration
	Tick         func()
	// Message takes one message of another process.
	Message func(from wire.Peer, msg wire.Message)
	// BeforeCall, if set, comes before each call to the machine.
	BeforeCall func()
	// BeforeInput, if set, comes before the loop waits for its next input.
	BeforeInput func()
	// AfterInput comes after each input and hands on the machine's output.
	AfterInput func()
	// Completions, if set, brings work that has ended elsewhere. An error ends the loop.
	Completions <-chan func() error
}

// New makes the loop of a machine, with a queue for so many calls.
func New[M any](machine M, calls int) *Loop[M] {
	return &Loop[M]{
		machine:  machine,
		messages: lifecycle.NewQueue[message](messageQueueSize),
		calls:    NewCallQueue[M](calls),
	}
}

// Receive queues a message. It is dropped when the queue is full: senders reckon with lost
// messages.
func (l *Loop[M]) Receive(from wire.Peer, msg wire.Message) {
	l.messages.TryPush(message{from, msg})
}

// Do runs f on the loop's goroutine and waits for it. When it is false, f has not run and
// never will.
func (l *Loop[M]) Do(ctx context.Context, f func(m M)) bool { return l.calls.Do(ctx, f) }

// Post queues f to be run on the loop's goroutine and does not wait. It is false when too
// many calls wait.
func (l *Loop[M]) Post(f func(m M)) bool { return l.calls.Post(f) }

// Done is closed once the loop has ended.
func (l *Loop[M]) Done() <-chan struct{} { return l.calls.Done() }

// Run takes inputs until the stop, or until a completion ends with an error.
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
