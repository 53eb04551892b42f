// The desk owns the observer. Everything that is seen comes to it on a ring;
// runners' events are first put in order of time, since their diaries are
// read one after another.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/eventlog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/invariants"
	"orchidward/internal/runner"
	"orchidward/internal/transport/httpclient"
)

// lag is how long events wait so that those of other runners catch up.
const lag = 700

type desk struct {
	f     *flags
	crew  *lifecycle.Group
	clock *clock.System
	in    *lifecycle.Queue[func()]
	watch *invariants.Checker
	rnd   *rand.Rand
	web   *http.Client
	at    int64

	places map[string]*place
	later  []seen
	dues   []due
	ready  map[string]bool
	begun  int64
	shutAt int64
	openAt int64
	left   int
	gap    int64
	lastOK int64
	halves int
	asked  int
	epochs []int64
	lost   int
}

// place is a runner as its diary shows it.
type place struct {
	page eventlog.Page
	life int
	live bool
	// read is when its diary was last read: nothing later is known of it.
	read int64
	// off sets its clock against the drill's, as told by the diary's page
	// that took the least time, rtt, to fetch.
	off, rtt int64
}

// seen is something to be told to the observer in the order of time.
type seen struct {
	at int64
	do func()
}

// due is something to be done later.
type due struct {
	at int64
	do func()
}

func (d *desk) after(ms int64, do func()) {
	d.dues = append(d.dues, due{int64(d.clock.Now()) + ms, do})
}

// prompt does what has come due.
func (d *desk) prompt(now int64) {
	rest := []due{}
	list := d.dues
	d.dues = nil
	for _, x := range list {
		if x.at <= now {
			x.do()
			continue
		}
		rest = append(rest, x)
	}
	d.dues = append(d.dues, rest...)
}

func newDesk(f *flags, c *lifecycle.Group) *desk {
	d := &desk{f: f, crew: c, clock: clock.NewSystem(), in: lifecycle.NewQueue[func()](4096), rnd: rand.New(rand.NewSource(time.Now().UnixNano())),
		web: &http.Client{Timeout: 500 * time.Millisecond}, places: map[string]*place{}, ready: map[string]bool{}}
	d.watch = invariants.New(d)
	return d
}

func (d *desk) Time() int64       { return d.at }
func (d *desk) Quiet() bool       { return false }
func (d *desk) Undisturbed() bool { return false }

// Logf prints breaches as they are found; the rest is in the runners' logs.
func (d *desk) Logf(text string, args ...any) {
	if strings.HasPrefix(text, "BREACH") {
		fmt.Fprintf(os.Stderr, "zone-drill: "+text+"\n", args...)
	}
}

func (d *desk) Runner(name string) invariants.RunnerView {
	var p invariants.RunnerView
	one := d.places[name]
	if one == nil {
		return p
	}
	return invariants.RunnerView{Domain: string(one.page.Domain), Incarnation: one.life, Live: one.live && one.read >= d.at, Labels: one.page.Labels, Capacity: one.page.Capacity}
}

// gate picks one that says it is ready, as the platform before the edge does.
func (d *desk) gate() string {
	ready := []string{}
	for _, g := range d.f.Gates {
		if d.ready[g] {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = d.f.Gates
	}
	return ready[d.rnd.Intn(len(ready))]
}

// mind follows one gate's readiness.
func (d *desk) mind(gate string, stop <-chan struct{}) {
	lifecycle.Every(100*time.Millisecond, stop, func() {
		res, err := d.web.Get("http://" + gate + "/ready")
		ok := err == nil && res.StatusCode == 200
		if err == nil {
			res.Body.Close()
		}
		d.in.Push(func() { d.ready[gate] = ok }, stop)
	})
}

// ask does one request on a caller of its own and hands the outcome to the
// desk's own duty.
func (d *desk) ask(verb, path string, body []byte, done func(got httpclient.Response, err error)) {
	gate := d.gate()
	d.asked++
	d.crew.Go(func(stop <-chan struct{}) {
		c := httpclient.NewKeepAlive([]string{gate}, 3*time.Second)
		c.Attempts = 1
		got, err := c.Do(context.Background(), verb, path, body)
		broken := c.BrokenResponses
		d.in.Push(func() {
			if len(d.f.Pids) == 0 {
				d.halves += broken
			}
			done(got, err)
		}, stop)
	})
}

func (d *desk) run() error {
	c := httpclient.New(d.f.Gates, 2*time.Second)
	got, err := c.Do(context.Background(), "GET", endpoint.RunnersPath, nil)
	if err != nil {
		return err
	}
	if !got.OK() {
		return errors.New(got.Message())
	}
	for _, addr := range d.f.Runners {
		d.crew.Go(func(stop <-chan struct{}) { d.follow(addr, stop) })
	}
	for _, g := range d.f.Gates {
		d.crew.Go(func(stop <-chan struct{}) { d.mind(g, stop) })
	}
	now := int64(d.clock.Now())
	d.begun, d.lastOK = now, now
	end := now + d.f.LoadS*1000
	d.shutAt, d.openAt = now+d.f.LoadS*333, now+d.f.LoadS*667
	outDone, backDone, nextLoad, nextProbe := false, false, now+1000, now
	beat := time.NewTicker(20 * time.Millisecond)
	defer beat.Stop()
	for {
		select {
		case do := <-d.in.Out():
			d.at = int64(d.clock.Now())
			do()
			continue
		case <-beat.C:
		}
		now = int64(d.clock.Now())
		d.flow(now - lag)
		d.at = now - lag
		d.watch.Sweep()
		d.at = now
		d.prompt(now)
		if now >= nextLoad && now < end {
			nextLoad += 1000
			d.load()
		}
		if now >= nextProbe {
			nextProbe += 200
			d.probe()
		}
		if !outDone && now >= d.shutAt {
			outDone = true
			d.out()
		}
		if !backDone && now >= d.openAt {
			backDone = true
			d.back()
		}
		if now > end+lag && d.left == 0 && backDone || now > end+90000 {
			break
		}
	}
	d.flow(int64(d.clock.Now()))
	d.watch.Finish()
	return nil
}

// flow hands the observer all events up to a moment, oldest first.
func (d *desk) flow(until int64) {
	sort.SliceStable(d.later, func(i, j int) bool { return d.later[i].at < d.later[j].at })
	n := 0
	for ; n < len(d.later) && d.later[n].at <= until; n++ {
		d.at = d.later[n].at
		d.later[n].do()
	}
	d.later = d.later[n:]
}

// follow reads one runner's diary.
func (d *desk) follow(addr string, stop <-chan struct{}) {
	last, bad, name := uint64(0), 0, ""
	inc := identifier.Incarnation("")
	lifecycle.Every(60*time.Millisecond, stop, func() {
		sent := int64(d.clock.Now())
		page, ok := d.page(addr, last)
		got := int64(d.clock.Now())
		if !ok {
			if bad++; bad == 5 && name != "" {
				gone := name
				d.in.Push(func() { d.dead(gone) }, stop)
			}
			return
		}
		bad = 0
		if page.Incarnation != inc {
			last, inc = 0, page.Incarnation
			sent = int64(d.clock.Now())
			page, ok = d.page(addr, 0)
			if got = int64(d.clock.Now()); !ok {
				inc = ""
				return
			}
		}
		name = string(page.Runner)
		for _, e := range page.Events {
			last = max(last, e.Seq)
		}
		d.in.Push(func() { d.turn(page, sent, got) }, stop)
	})
}

func (d *desk) page(addr string, after uint64) (p eventlog.Page, ok bool) {
	res, err := d.web.Get(fmt.Sprintf("http://%s/v1/stand-in/events?after=%d", addr, after))
	if err != nil {
		return p, false
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return p, err == nil && res.StatusCode == 200 && json.Unmarshal(text, &p) == nil
}

func (d *desk) turn(p eventlog.Page, sent, got int64) {
	name := string(p.Runner)
	one := d.places[name]
	if one == nil {
		one = &place{}
		d.places[name] = one
	}
	if one.page.Incarnation != p.Incarnation {
		if one.life > 0 {
			d.dead(name)
		}
		one.life++
		one.rtt = 1 << 40
	}
	if got-sent < one.rtt {
		one.off, one.rtt = (sent+got)/2-int64(p.Now), got-sent
	}
	if one.page.Incarnation == p.Incarnation && len(d.f.Pids) == 0 {
		d.halves += p.BrokenResponses - one.page.BrokenResponses
	}
	one.page, one.live, one.read = p, true, sent
	for _, e := range p.Events {
		at := int64(e.At) + one.off
		if at < d.begun {
			continue
		}
		if agent, _ := e.Task.Job.Split(); agent == agentName || e.Kind == runner.EventAcked {
			d.later = append(d.later, seen{at, func() {
				d.watch.PollAnswered(name)
				d.watch.RunnerEvent(name, runner.Event{Kind: e.Kind, Lease: e.Lease, Task: e.Task, Demand: e.Demand})
			}})
		}
	}
}

func (d *desk) dead(name string) {
	if one := d.places[name]; one != nil {
		one.live = false
	}
	d.watch.RunnerLogLost(name)
}

// out takes the zone out: by closing it, or by killing what was named.
func (d *desk) out() {
	if len(d.f.Pids) > 0 {
		for _, p := range d.f.Pids {
			if err := syscall.Kill(p, syscall.SIGKILL); err != nil {
				fmt.Fprintf(os.Stderr, "zone-drill: pid %d: %v\n", p, err)
			}
		}
		return
	}
	d.ask("PUT", endpoint.DrainPath(d.f.Domain), nil, func(got httpclient.Response, err error) {
		if err != nil || !got.OK() {
			d.after(300, d.out)
			return
		}
		d.watch.DrainAcked(d.f.Domain)
		d.shutAt = d.at
		d.openAt = d.at + max(6500, d.f.LoadS*333)
	})
}

func (d *desk) back() {
	if len(d.f.Pids) > 0 {
		return
	}
	d.watch.ReopenRequested(d.f.Domain)
	d.ask("DELETE", endpoint.DrainPath(d.f.Domain), nil, func(got httpclient.Response, err error) {
		if err != nil || !got.OK() {
			d.after(300, d.back)
		}
	})
}

// probe asks for the table: a sign of service, and of epochs going back.
func (d *desk) probe() {
	floor := int64(0)
	if len(d.epochs) > 0 {
		floor = d.epochs[len(d.epochs)-1]
	}
	d.ask("GET", endpoint.LimitsPath, nil, func(got httpclient.Response, err error) {
		if err != nil || !got.OK() {
			return
		}
		d.gap = max(d.gap, d.at-d.lastOK)
		d.lastOK = d.at
		var t struct {
			Epoch int64 `json:"epoch"`
		}
		if json.Unmarshal(got.Body, &t) != nil {
			d.halves++
			return
		}
		if t.Epoch < floor {
			d.watch.Violate("P10", "table epoch went back from %d to %d", floor, t.Epoch)
		}
		d.epochs = append(d.epochs, max(floor, t.Epoch))
	})
}
