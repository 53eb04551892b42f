package eventloop

import (
	"context"
	"errors"
	"testing"
	"time"

	"orchidward/internal/daemon/lifecycle"
)

// runLoop runs a loop until the test stops its group.
func runLoop(l *Loop[*counter]) *lifecycle.Group {
	group := lifecycle.New()
	group.Go(func(stop <-chan struct{}) { l.Run(stop, l.machine.handlers()) })
	return group
}

// TestAwait checks that a result is returned, whether it is there at once or comes with a
// later input.
func TestAwait(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l := New(&counter{}, 16)
	group := runLoop(l)
	defer group.Stop(ctx)

	result, err := Await(ctx, l, func(_ *counter, done func(int)) { done(1) })
	if result != 1 || err != nil {
		t.Errorf("at once: %d, %v", result, err)
	}
	result, err = Await(ctx, l, func(_ *counter, done func(int)) {
		l.Post(func(*counter) { done(2) })
	})
	if result != 2 || err != nil {
		t.Errorf("by a later call: %d, %v", result, err)
	}
}

// TestAwaitErrors checks how a call ends that gets no result: by the full queue, by its
// context, or by the end of the loop.
func TestAwaitErrors(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	never := func(*counter, func(int)) {}

	full := New(&counter{}, 1)
	full.Post(func(*counter) {})
	if _, err := Await(ctx, full, never); !errors.Is(err, ErrQueueFull) {
		t.Errorf("a full queue: %v", err)
	}

	cancelled, cancelNow := context.WithCancel(ctx)
	cancelNow()
	if _, err := Await(cancelled, New(&counter{}, 16), never); !errors.Is(err, context.Canceled) {
		t.Errorf("a cancelled context: %v", err)
	}

	l := New(&counter{}, 16)
	group := runLoop(l)
	if err := group.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := Await(ctx, l, never); !errors.Is(err, ErrStopped) {
		t.Errorf("a loop that has ended: %v", err)
	}
}

// TestAwaitCancelledBeforeStart checks that work never begins whose caller left while it
// waited for the loop, and that the calls behind it do.
func TestAwaitCancelledBeforeStart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l := New(&counter{}, 16)
	begun := false
	left, leave := context.WithCancel(ctx)
	leave()
	if _, err := Await(left, l, func(*counter, func(int)) { begun = true }); !errors.Is(err, context.Canceled) {
		t.Fatalf("the caller has left: %v", err)
	}
	group := runLoop(l)
	defer group.Stop(ctx)
	if !l.Do(ctx, func(*counter) {}) {
		t.Fatal("the next call was not carried out")
	}
	if begun {
		t.Error("work began whose caller had left before the loop came to it")
	}
}
