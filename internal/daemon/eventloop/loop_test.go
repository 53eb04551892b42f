package eventloop

import (
	"context"
	"errors"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/wire"
)

// counter is a machine that counts its inputs.
type counter struct {
	messages int
	ticks    int
	calls    int
	outputs  int
	prepared int
}

func (c *counter) handlers() Handlers {
	return Handlers{
		TickInterval: time.Millisecond,
		Tick:         func() { c.ticks++ },
		Message:      func(wire.Peer, wire.Message) { c.messages++ },
		BeforeCall:   func() { c.calls++ },
		BeforeInput:  func() { c.prepared++ },
		AfterInput:   func() { c.outputs++ },
	}
}

// TestLoop checks that every input reaches the machine, that output is processed after each
// input, and that a loop that has ended executes no calls.
func TestLoop(t *testing.T) {
	c := &counter{}
	l := New(c, 16)
	group := lifecycle.New()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l.Receive("a", wire.Message{})
	group.Go(func(stop <-chan struct{}) { l.Run(stop, c.handlers()) })
	for ticked := false; !ticked; {
		ok := l.Do(ctx, func(m *counter) {
			ticked = m.ticks > 0 && m.messages == 1
			if m.outputs+1 != m.messages+m.ticks+m.calls || m.prepared != m.outputs+1 {
				t.Errorf("%+v: want one AfterInput and one BeforeInput per input", *m)
			}
		})
		if !ok {
			t.Fatal("the loop executes no calls")
		}
	}
	if err := group.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	<-l.Done()
	if l.Do(ctx, func(*counter) {}) {
		t.Error("a call was executed after the loop ended")
	}
}

// TestCompletions checks that a completion is processed as an input, and that a failed one ends
// the loop before the output is processed.
func TestCompletions(t *testing.T) {
	c := &counter{}
	l := New(c, 16)
	completions := make(chan func() error, 2)
	completed := 0
	completions <- func() error { completed++; return nil }
	completions <- func() error { completed++; return errors.New("disk failed") }
	h := c.handlers()
	h.TickInterval = time.Hour
	h.Completions = completions
	l.Run(nil, h)
	if completed != 2 || c.outputs != 1 {
		t.Errorf("%d completions, %d outputs: want 2 and 1", completed, c.outputs)
	}
}
