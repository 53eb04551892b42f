package eventloop

import (
	"context"
	"errors"
)

// Errors of Await, besides that of its context.
var (
	// ErrQueueFull says that the call was not taken in and never will be.
	ErrQueueFull = errors.New("too many calls wait for the event loop")
	// ErrStopped says that the loop ended before there was a result.
	ErrStopped = errors.New("the event loop has ended")
)

// Await starts work on the machine and waits for its result, which may come with a later
// input: start runs on the loop's goroutine and keeps done, to be called at most once. When
// the context ends before start has begun, start never runs; when it ends later the work
// goes on, unless the caller has it cancelled. A result from before the loop ended is
// returned, not ErrStopped.
func Await[M, R any](ctx context.Context, l *Loop[M], start func(m M, done func(R))) (R, error) {
	var zero R
	results := make(chan R, 1)
	call, ok := l.calls.push(func(m M) { start(m, func(result R) { results <- result }) })
	if !ok {
		return zero, ErrQueueFull
	}
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
		call.cancel()
		return zero, ctx.Err()
	case <-l.Done():
	}
	select {
	case result := <-results:
		return result, nil
	default:
		return zero, ErrStopped
	}
}
