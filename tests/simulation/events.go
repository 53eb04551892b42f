package simulation

import "container/heap"

// EventLoop runs the events of a cluster in virtual time.
type EventLoop struct {
	// Now is the current virtual time in milliseconds since the start.
	Now int64

	queue    eventQueue
	sequence uint64
}

// At schedules a function at a time.
func (l *EventLoop) At(at int64, do func()) {
	l.sequence++
	heap.Push(&l.queue, event{at, l.sequence, do})
}

// After schedules a function after a delay in ms.
func (l *EventLoop) After(ms int64, do func()) { l.At(l.Now+ms, do) }

// Run advances virtual time to until and runs all events that are due by then.
func (l *EventLoop) Run(until int64) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		next := heap.Pop(&l.queue).(event)
		l.Now = next.at
		next.do()
	}
	l.Now = until
}

// Poll runs a function now and then every ms milliseconds until it returns false.
func (l *EventLoop) Poll(ms int64, do func() (again bool)) {
	if do() {
		l.After(ms, func() { l.Poll(ms, do) })
	}
}

// event is a function due at a time; events due at the same time run in the order in
// which they were added.
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
