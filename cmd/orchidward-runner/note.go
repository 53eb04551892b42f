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

func newNote(set runner.Boot) *note {
	return &note{page: eventlog.Page{Runner: set.Name, Inc: set.Inc, Domain: set.Domain, Labels: set.Labels, Cap: set.Cap}, next: 1}
}

func (n *note) add(at clock.Monotonic, e runner.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.page.Events = append(n.page.Events, eventlog.Event{N: n.next, At: at, What: e.What, Grant: e.Grant, Task: e.Task, Cost: e.Cost})
	n.next++
	if len(n.page.Events) > noteMost {
		n.page.Events = append([]eventlog.Event(nil), n.page.Events[len(n.page.Events)-noteMost/2:]...)
	}
}

func (n *note) broke() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.page.Broken++
}

// after copies what came after the given number.
func (n *note) after(num uint64, now clock.Monotonic) eventlog.Page {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.page
	p.Now, p.Events = now, []eventlog.Event{}
	for _, e := range n.page.Events {
		if e.N > num {
			p.Events = append(p.Events, e)
		}
	}
	return p
}

func (d *desk) events(c *gin.Context) {
	num, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		httpserver.Refuse(c, 400, "bad-request", "after wants a number")
		return
	}
	c.JSON(200, d.note.after(num, d.clock.Now()))
}
