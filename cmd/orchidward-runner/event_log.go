package main

import (
	"sync"

	"orchidward/internal/api/eventlog"
	"orchidward/internal/clock"
	"orchidward/internal/runner"
)

// maxEvents bounds the number of retained events.
const maxEvents = 8192

// eventLog retains the latest events of attempts, with timestamps of this process's clock,
// for a drill to read. It is safe for concurrent use.
type eventLog struct {
	mu      sync.Mutex
	page    eventlog.Page
	nextSeq uint64
}

func newEventLog(config runner.Config) *eventLog {
	return &eventLog{
		nextSeq: 1,
		page: eventlog.Page{
			Runner:      config.Name,
			Incarnation: config.Incarnation,
			Domain:      config.Domain,
			Labels:      config.Labels,
			Capacity:    config.Capacity,
		},
	}
}

func (l *eventLog) add(at clock.Monotonic, e runner.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.page.Events = append(l.page.Events, eventlog.Event{Seq: l.nextSeq, At: at, Kind: e.Kind, Lease: e.Lease, Task: e.Task, Demand: e.Demand})
	l.nextSeq++
	if n := len(l.page.Events); n > maxEvents {
		l.page.Events = append([]eventlog.Event(nil), l.page.Events[n-maxEvents/2:]...)
	}
}

// countBrokenResponse counts a poll whose response broke off.
func (l *eventLog) countBrokenResponse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.page.BrokenResponses++
}

// after returns a copy of the events that follow the given sequence number.
func (l *eventLog) after(seq uint64, now clock.Monotonic) eventlog.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := l.page
	page.Now = now
	page.Events = []eventlog.Event{}
	for _, e := range l.page.Events {
		if e.Seq > seq {
			page.Events = append(page.Events, e)
		}
	}
	return page
}
