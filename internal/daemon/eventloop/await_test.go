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

// TestAwait checks that a result is returned whether it is available immediately or produced
// by a later input.
func TestAwait(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l := New(&counter{}, 16)
	group := runLoop(l)
	defer group.Stop(ctx)

	result, err := Await(ctx, l, func(_ *counter, done func(int)) { done(1) })
	if result != 1 || err != nil {
		t.Errorf("immediate result: %d, %v", result, err)
	}
	result, err = Await(ctx, l, func(_ *counter, done func(int)) {
		l.Post(func(*counter) { done(2) })
	})
	if result != 2 || err != nil {
		t.Errorf("result of a later call: %d, %v", result, err)
	}
}

// TestAwaitErrors checks the error of a call without a result: because the queue is full, the
// context ended or the loop ended.
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

// TestAwaitCancelledBeforeStart checks that a call is never executed if its caller's context
// ends while the call is queued, and that later calls are executed.
func TestAwaitCancelledBeforeStart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l := New(&counter{}, 16)
	begun := false
	left, leave := context.WithCancel(ctx)
	leave()
	if _, err := Await(left, l, func(*counter, func(int)) { begun = true }); !errors.Is(err, context.Canceled) {
		t.Fatalf("a cancelled context: %v", err)
	}
	group := runLoop(l)
	defer group.Stop(ctx)
	if !l.Do(ctx, func(*counter) {}) {
		t.Fatal("the next call was not executed")
	}
	if begun {
		t.Error("an abandoned call was executed")
	}
}
