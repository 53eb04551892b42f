package lifecycle

// Queue is a bounded queue between goroutines. What comes when it is full is refused, and
// the sender decides what that means.
type Queue[T any] struct{ values chan T }

// NewQueue makes an empty queue for size values.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{make(chan T, size)} }

// TryPush adds a value without waiting. It returns false when the queue is full.
func (q *Queue[T]) TryPush(v T) bool {
	select {
	case q.values <- v:
		return true
	default:
		return false
	}
}

// Push waits until the queue is not full, or for the stop; then it is false.
func (q *Queue[T]) Push(v T, stop <-chan struct{}) bool {
	select {
	case q.values <- v:
		return true
	case <-stop:
		return false
	}
}

// Out is the channel to receive from. It is never closed.
func (q *Queue[T]) Out() <-chan T { return q.values }

// Len is the number of values that wait.
func (q *Queue[T]) Len() int { return len(q.values) }
