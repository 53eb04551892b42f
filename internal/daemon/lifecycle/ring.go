// A Ring joins two duties and never holds more than its size: what comes when
// it is full is refused, and the one who offered it decides what that means.

package lifecycle

// Queue is a bounded queue between goroutines.
type Queue[T any] struct{ c chan T }

// NewQueue makes an empty queue for size values.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{make(chan T, size)} }

// TryPush adds a value without waiting; ok is false when the queue is full.
func (r *Queue[T]) TryPush(v T) (ok bool) {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Push waits for room, or for the stop.
func (r *Queue[T]) Push(v T, stop <-chan struct{}) bool {
	select {
	case r.c <- v:
		return true
	case <-stop:
		return false
	}
}

// In lets a select offer to the ring among other cases.
func (r *Queue[T]) In() chan<- T { return r.c }

// Out is the channel to receive from. It is never closed.
func (r *Queue[T]) Out() <-chan T { return r.c }

// Len is the number of values that wait.
func (r *Queue[T]) Len() int { return len(r.c) }
