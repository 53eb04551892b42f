// A Ring joins two duties and never holds more than its size: what comes when
// it is full is refused, and the one who offered it decides what that means.

package lifecycle

// Ring is a bounded queue between goroutines.
type Ring[T any] struct{ c chan T }

// NewRing makes an empty queue for size values.
func NewRing[T any](size int) *Ring[T] { return &Ring[T]{make(chan T, size)} }

// Offer adds a value without waiting; ok is false when the queue is full.
func (r *Ring[T]) Offer(v T) (ok bool) {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Push waits for room, or for the stop.
func (r *Ring[T]) Push(v T, stop <-chan struct{}) bool {
	select {
	case r.c <- v:
		return true
	case <-stop:
		return false
	}
}

// In lets a select offer to the ring among other cases.
func (r *Ring[T]) In() chan<- T { return r.c }

// Out is the channel to receive from. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.c }

// Len is the number of values that wait.
func (r *Ring[T]) Len() int { return len(r.c) }
