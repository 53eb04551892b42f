package lifecycle

// Queue is a bounded queue between goroutines. TryPush rejects a value when the queue is full,
// and the sender decides how to handle that.
type Queue[T any] struct{ values chan T }

// NewQueue returns an empty queue with capacity for size values.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{make(chan T, size)} }

// TryPush adds a value without waiting. It returns false if the queue is full.
func (q *Queue[T]) TryPush(v T) bool {
	select {
	case q.values <- v:
		return true
	default:
		return false
	}
}

// Push adds a value, waiting while the queue is full. It returns false if stop is closed
// first.
func (q *Queue[T]) Push(v T, stop <-chan struct{}) bool {
	select {
	case q.values <- v:
		return true
	case <-stop:
		return false
	}
}

// Out returns the channel to receive from. It is never closed.
func (q *Queue[T]) Out() <-chan T { return q.values }

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.values) }
