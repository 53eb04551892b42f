package eventloop

import (
	"context"
	"errors"
)

// Errors returned by Await, besides the error of its context.
var (
	// ErrQueueFull means that the call was rejected and will never run.
	ErrQueueFull = errors.New("too many calls wait for the event loop")
	// ErrStopped means that the loop ended before there was a result.
	ErrStopped = errors.New("the event loop has ended")
)

// Await starts an operation on the machine and waits for its result, which a later input may
// produce. start runs on the loop's goroutine and arranges for done to be called at most once.
// If the context ends before start has begun, start never runs; if it ends later, the
// operation continues unless the caller cancels it. A result that was produced before the loop
// ended is returned in place of ErrStopped.
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
