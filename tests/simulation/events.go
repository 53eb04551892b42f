package simulation

import "container/heap"

// EventLoop is the virtual time of a cluster and what is due in it.
type EventLoop struct {
	// Now is the present in milliseconds since the start.
	Now int64

	queue    eventQueue
	sequence uint64
}

// At runs a function at a moment.
func (l *EventLoop) At(at int64, do func()) {
	l.sequence++
	heap.Push(&l.queue, event{at, l.sequence, do})
}

// After runs a function after a delay in ms.
func (l *EventLoop) After(ms int64, do func()) { l.At(l.Now+ms, do) }

// Run lets virtual time pass until a moment.
func (l *EventLoop) Run(until int64) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		next := heap.Pop(&l.queue).(event)
		l.Now = next.at
		next.do()
	}
	l.Now = until
}

// Poll runs a function now and every so many ms until it returns false.
func (l *EventLoop) Poll(ms int64, do func() (again bool)) {
	if do() {
		l.After(ms, func() { l.Poll(ms, do) })
	}
}

// event is something due at a time; of those due together the first added is the
// first done.
type event struct {
	at       int64
	sequence uint64
	do       func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
