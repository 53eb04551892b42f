// The note is the stand-in's diary of attempts, read by the drill: the last
// few thousand events with the time on this process's own clock.
package main

import (
	"strconv"
	"sync"

	"github.com/gin-gonic/gin"

	"orchidward/internal/api/eventlog"
	"orchidward/internal/clock"
	"orchidward/internal/runner"
	"orchidward/internal/transport/httpserver"
)

const noteMost = 8192

type note struct {
	mu   sync.Mutex
	page eventlog.Page
	next uint64
}

func newNote(set runner.Config) *note {
	return &note{page: eventlog.Page{Runner: set.Name, Incarnation: set.Incarnation, Domain: set.Domain, Labels: set.Labels, Capacity: set.Capacity}, next: 1}
}

func (n *note) add(at clock.Monotonic, e runner.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.page.Events = append(n.page.Events, eventlog.Event{Seq: n.next, At: at, Kind: e.Kind, Lease: e.Lease, Task: e.Task, Demand: e.Demand})
	n.next++
	if len(n.page.Events) > noteMost {
		n.page.Events = append([]eventlog.Event(nil), n.page.Events[len(n.page.Events)-noteMost/2:]...)
	}
}

func (n *note) broke() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.page.BrokenResponses++
}

// after copies what came after the given number.
func (n *note) after(num uint64, now clock.Monotonic) eventlog.Page {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.page
	p.Now, p.Events = now, []eventlog.Event{}
	for _, e := range n.page.Events {
		if e.Seq > num {
			p.Events = append(p.Events, e)
		}
	}
	return p
}

func (d *desk) events(c *gin.Context) {
	num, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		httpserver.WriteError(c, 400, "bad-request", "after wants a number")
		return
	}
	c.JSON(200, d.note.after(num, d.clock.Now()))
}
