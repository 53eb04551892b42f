package main

import (
	"context"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/invariants"
	"orchidward/internal/transport/httpclient"
)

// Times without a unit of their own are in milliseconds.
const (
	// eventDelay is how long events are held back, so that those of other runners can be
	// sorted in.
	eventDelay = 700
	// maxQueued bounds the queue of results from other goroutines.
	maxQueued = 4096

	tickInterval  = 20 * time.Millisecond
	loadInterval  = 1000
	probeInterval = 200
	// maxOvertime is how long the drill waits for jobs to end after the load has ended.
	maxOvertime = 90000

	httpTimeout  = 500 * time.Millisecond
	firstTimeout = 2 * time.Second
)

// drill is the state of a drill. It implements invariants.Cluster for its checker.
type drill struct {
	flags      *flags
	goroutines *lifecycle.Group
	clock      *clock.System
	// results are functions that other goroutines queue for the drill's goroutine.
	results *lifecycle.Queue[func()]
	checker *invariants.Checker
	random  *rand.Rand
	http    *http.Client
	// now is the time of the event being processed; for events of runners it lies in the past.
	now     int64
	startAt int64

	runners map[string]*runnerLog
	// events are pending for the checker, which receives them in order of time.
	events []scheduled
	timers []scheduled
	ready  map[string]bool

	outage    outage
	service   service
	responses responses
	// openJobs is how many jobs are not known to have ended.
	openJobs int
}

// responses counts the requests of the drill.
type responses struct {
	sent int
	// retried counts requests that were rejected or got no response, and were sent again.
	retried int
	// broken counts responses that broke off.
	broken int
}

func newDrill(f *flags, goroutines *lifecycle.Group) *drill {
	d := &drill{
		flags:      f,
		goroutines: goroutines,
		clock:      clock.NewSystem(),
		results:    lifecycle.NewQueue[func()](maxQueued),
		random:     rand.New(rand.NewSource(time.Now().UnixNano())),
		http:       &http.Client{Timeout: httpTimeout},
		runners:    map[string]*runnerLog{},
		ready:      map[string]bool{},
	}
	d.checker = invariants.New(d)
	return d
}

// Time returns the time of the event being processed, in ms.
func (d *drill) Time() int64 { return d.now }

// Quiet returns false: a running cluster may have faults that the drill does not know of.
func (d *drill) Quiet() bool { return false }

// Undisturbed returns false, for the same reason as Quiet.
func (d *drill) Undisturbed() bool { return false }

// Logf prints violations as they are found. Other lines are dropped; the runners' logs have
// them.
func (d *drill) Logf(text string, args ...any) {
	if strings.HasPrefix(text, invariants.ViolationLog) {
		warnf(text, args...)
	}
}

func (d *drill) clockNow() int64 { return int64(d.clock.Now()) }

// run runs the drill until the load has been submitted and its jobs have ended.
func (d *drill) run() error {
	if err := d.requireGateway(); err != nil {
		return err
	}
	for _, addr := range d.flags.Runners {
		d.goroutines.Go(func(stop <-chan struct{}) { d.followRunner(addr, stop) })
	}
	for _, gateway := range d.flags.Gates {
		d.goroutines.Go(func(stop <-chan struct{}) { d.followReadiness(gateway, stop) })
	}
	d.startAt = d.clockNow()
	d.service.lastAnswerAt = d.startAt
	d.outage = newOutage(d.startAt, d.flags.LoadS)
	loadEnd := d.startAt + d.flags.LoadS*1000
	d.repeat(loadInterval, loadInterval, func() bool {
		if d.now >= loadEnd {
			return false
		}
		d.submitLoad()
		return true
	})
	d.repeat(0, probeInterval, func() bool {
		d.probe()
		return true
	})
	d.loop(loadEnd)
	d.releaseEvents(d.clockNow())
	d.checker.Finish()
	return nil
}

// requireGateway returns an error unless a gateway responds with success.
func (d *drill) requireGateway() error {
	client := httpclient.New(d.flags.Gates, firstTimeout)
	response, err := client.Do(context.Background(), http.MethodGet, endpoint.RunnersPath, nil)
	if err != nil {
		return err
	}
	if !response.OK() {
		return errors.New(response.Message())
	}
	return nil
}

// loop handles results as they arrive, and calls tick every tickInterval.
func (d *drill) loop(loadEnd int64) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case handle := <-d.results.Out():
			d.now = d.clockNow()
			handle()
		case <-ticker.C:
			d.tick()
			if d.finished(loadEnd) {
				return
			}
		}
	}
}

func (d *drill) finished(loadEnd int64) bool {
	done := d.now > loadEnd+eventDelay && d.openJobs == 0 && d.outage.ended
	return done || d.now > loadEnd+maxOvertime
}

func (d *drill) tick() {
	now := d.clockNow()
	d.releaseEvents(now - eventDelay)
	d.now = now - eventDelay
	d.checker.Sweep()
	d.now = now
	d.runTimers()
	d.advanceOutage()
}
