package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"orchidward/internal/api/eventlog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/invariants"
	"orchidward/internal/runner"
)

const (
	pageInterval = 60 * time.Millisecond
	// maxPageFailures is the number of consecutive failed reads after which a runner
	// counts as dead.
	maxPageFailures = 5
)

// runnerLog is the state of a runner as derived from its event log.
type runnerLog struct {
	page        eventlog.Page
	incarnation int
	live        bool
	// readAt is the time of the last read of the log. The state is not known after it.
	readAt int64
	// clockOffset is how far the runner's clock is behind the drill's, as estimated from
	// the page with the shortest fetch time, which is roundTrip.
	clockOffset int64
	roundTrip   int64
}

// Runner returns the view of the named runner, which is empty for an unknown one.
func (d *drill) Runner(name string) invariants.RunnerView {
	log := d.runners[name]
	if log == nil {
		return invariants.RunnerView{}
	}
	return invariants.RunnerView{
		Domain:      string(log.page.Domain),
		Incarnation: log.incarnation,
		Live:        log.live && log.readAt >= d.now,
		Labels:      log.page.Labels,
		Capacity:    log.page.Capacity,
	}
}

// pageReader reads the event log of one runner, page by page.
type pageReader struct {
	drill       *drill
	addr        string
	name        string
	incarnation identifier.Incarnation
	lastEvent   uint64
	failures    int
}

// followRunner reads the event log of a runner until stop is closed.
func (d *drill) followRunner(addr string, stop <-chan struct{}) {
	reader := &pageReader{drill: d, addr: addr}
	lifecycle.Every(pageInterval, stop, func() { reader.next(stop) })
}

// next reads the next page, or the first page if the runner has restarted.
func (r *pageReader) next(stop <-chan struct{}) {
	page, sent, received, ok := r.fetch(r.lastEvent)
	if !ok {
		r.fail(stop)
		return
	}
	r.failures = 0
	if page.Incarnation != r.incarnation {
		r.lastEvent = 0
		r.incarnation = page.Incarnation
		if page, sent, received, ok = r.fetch(0); !ok {
			r.incarnation = ""
			return
		}
	}
	r.name = string(page.Runner)
	for _, e := range page.Events {
		r.lastEvent = max(r.lastEvent, e.Seq)
	}
	r.drill.results.Push(func() { r.drill.addPage(page, sent, received) }, stop)
}

func (r *pageReader) fail(stop <-chan struct{}) {
	r.failures++
	if r.failures == maxPageFailures && r.name != "" {
		name := r.name
		r.drill.results.Push(func() { r.drill.runnerDead(name) }, stop)
	}
}

// fetch reads the events after a sequence number. It also returns when the request was sent
// and when the response was received.
func (r *pageReader) fetch(after uint64) (page eventlog.Page, sent, received int64, ok bool) {
	sent = r.drill.clockNow()
	response, err := r.drill.http.Get(fmt.Sprintf("http://%s/v1/stand-in/events?after=%d", r.addr, after))
	if err != nil {
		return page, sent, 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	received = r.drill.clockNow()
	ok = err == nil && response.StatusCode == http.StatusOK && json.Unmarshal(body, &page) == nil
	return page, sent, received, ok
}

// addPage processes a page of a runner's event log.
func (d *drill) addPage(page eventlog.Page, sent, received int64) {
	name := string(page.Runner)
	log := d.runners[name]
	if log == nil {
		log = &runnerLog{}
		d.runners[name] = log
	}
	if log.page.Incarnation == page.Incarnation {
		d.countBroken(page.BrokenResponses - log.page.BrokenResponses)
	} else {
		d.newIncarnation(name, log)
	}
	if received-sent < log.roundTrip {
		log.clockOffset = (sent+received)/2 - int64(page.Now)
		log.roundTrip = received - sent
	}
	log.page = page
	log.live = true
	log.readAt = sent
	for _, e := range page.Events {
		d.addEvent(name, e, int64(e.At)+log.clockOffset)
	}
}

func (d *drill) newIncarnation(name string, log *runnerLog) {
	if log.incarnation > 0 {
		d.runnerDead(name)
	}
	log.incarnation++
	log.roundTrip = math.MaxInt64
}

// addEvent queues an event for the checker if it belongs to a job of the drill, or reports
// that the control plane has acknowledged an end.
func (d *drill) addEvent(name string, e eventlog.Event, at int64) {
	client, _ := e.Task.Job.Split()
	if at < d.startAt || client != clientName && e.Kind != runner.EventAcked {
		return
	}
	d.events = append(d.events, scheduled{at, func() {
		d.checker.PollAnswered(name)
		d.checker.RunnerEvent(name, runner.Event{Kind: e.Kind, Lease: e.Lease, Task: e.Task, Demand: e.Demand})
	}})
}

func (d *drill) runnerDead(name string) {
	if log := d.runners[name]; log != nil {
		log.live = false
	}
	d.checker.RunnerLogLost(name)
}
