// The desk is the runner's main duty. Polls go out from duties of their own
// and their answers come back on a ring.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/runner"
	"orchidward/internal/transport/httpclient"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

type desk struct {
	log   *logging.Logger
	crew  *lifecycle.Group
	clock *clock.System
	link  *link.Link
	http  *httpserver.Server
	mach  *runner.Runner
	name  string
	in    *lifecycle.Queue[func()]
	web   *http.Client
	seeds []string
	self  wire.Announcement
	known []raft.Member
	asked clock.Monotonic
	note  *note
	stop  fx.Shutdowner
}

func newDesk(f *flags, c *lifecycle.Group, log *logging.Logger, life fx.Lifecycle, stop fx.Shutdowner) (*desk, error) {
	var err error
	var b [16]byte
	if _, err = rand.Read(b[:]); err != nil {
		return nil, err
	}
	d := &desk{log: log, crew: c, clock: clock.NewSystem(), name: f.Name, in: lifecycle.NewQueue[func()](1024), web: &http.Client{}, seeds: f.Seeds, asked: -10000, stop: stop}
	set := runner.Config{Name: identifier.Runner(f.Name), Incarnation: identifier.Incarnation(fmt.Sprintf("%x", b[:8])), Capacity: job.Demand{Cores: f.Cores, Mem: f.MemMb},
		Domain: identifier.Domain(f.Domain), Rack: identifier.Rack(f.Rack), Seed: int64(binary.LittleEndian.Uint64(b[8:]) >> 1), SlowdownPercent: f.Slow, DefectPercent: f.Faulty}
	sort.Strings(f.Labels)
	for _, l := range f.Labels {
		set.Labels = append(set.Labels, identifier.Label(l))
	}
	d.mach = runner.New(set, d.clock.Now())
	if d.link, err = link.Listen(f.Addr, c); err != nil {
		return nil, err
	}
	if d.http, err = httpserver.New(f.HTTP); err != nil {
		return nil, err
	}
	d.self = wire.Announcement{Role: wire.RoleRunner, Addr: f.Addr, Domain: set.Domain}
	d.http.Gin.POST("/v1/stand-in", d.control)
	d.http.Gin.GET("/v1/stand-in/events", d.events)
	d.note = newNote(set)
	log.Event("start", "program", "runner", "name", f.Name, "incarnation", set.Incarnation, "domain", f.Domain, "rack", f.Rack)
	d.http.Run(life, c, log, "runner", func() {
		d.link.Serve(d.take)
		c.Go(d.run)
	})
	return d, nil
}

// take answers discovery, and learns gates and members from it.
func (d *desk) take(from wire.Peer, msg wire.Message) {
	if t := msg.Announcement; t != nil {
		d.in.TryPush(func() { d.tell(from, t) })
	}
}

func (d *desk) tell(from wire.Peer, t *wire.Announcement) {
	if t.WantReply {
		back := d.self
		back.Members, back.Gateways, back.Founded = d.known, d.mach.Gateways(), len(d.known) > 0
		d.link.Send(from, wire.Message{Announcement: &back})
		return
	}
	if len(t.Members) > 0 {
		d.known = t.Members
	}
	if !d.http.Ready() {
		d.mach.LearnGateways(t.Gateways)
	}
}

// seek asks seeds and members for gates: often while there are none that
// answer, and now and then to keep the members known for others that ask.
func (d *desk) seek() {
	gap := clock.Millis(500)
	if d.http.Ready() {
		gap = 5000
	}
	if d.clock.Now().Since(d.asked) < gap {
		return
	}
	d.asked = d.clock.Now()
	ask := d.self
	ask.WantReply = true
	to := map[string]bool{}
	for _, m := range d.known {
		to[m.Addr] = true
	}
	if len(d.known) == 0 || !d.http.Ready() {
		for _, s := range d.seeds {
			to[s] = true
		}
	}
	delete(to, d.self.Addr)
	for a := range to {
		d.link.Send(wire.Peer(a), wire.Message{Announcement: &ask})
	}
}

func (d *desk) run(stop <-chan struct{}) {
	beat := time.NewTicker(runner.TickInterval.Duration())
	defer beat.Stop()
	for {
		select {
		case <-stop:
			return
		case do := <-d.in.Out():
			do()
		case <-beat.C:
			d.mach.Tick(d.clock.Now())
			d.http.SetReady(d.mach.InContact())
			d.seek()
			d.http.Gauge.Set("tasks", float64(d.mach.Running()))
			if d.mach.Retired {
				d.log.Error("retired", "name", d.name, "why", "a newer process has this runner's name")
				d.stop.Shutdown(fx.ExitCode(1))
				return
			}
		}
		o := d.mach.TakeOutput()
		for _, e := range o.Events {
			d.log.Event(e.Kind, "grant", e.Lease, "task", e.Task)
			d.note.add(d.clock.Now(), e)
		}
		for _, p := range o.Polls {
			d.crew.Go(func(<-chan struct{}) { d.poll(p, stop) })
		}
	}
}

func (d *desk) poll(p runner.Poll, stop <-chan struct{}) {
	ctx, end := context.WithTimeout(context.Background(), p.Timeout.Duration())
	defer end()
	status, body := 0, []byte(nil)
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.Gateway+endpoint.PollPath(identifier.Runner(d.name)), bytes.NewReader(p.Body))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
		res, err := d.web.Do(req)
		if err == nil {
			if res.Close {
				d.in.Push(func() { d.mach.SwitchGateway() }, stop)
			}
			if body, err = io.ReadAll(io.LimitReader(res.Body, 8<<20)); err == nil {
				status = res.StatusCode
			}
			res.Body.Close()
		}
		if err != nil && httpclient.BrokeOff(err) {
			d.note.broke()
		}
	}
	d.in.Push(func() { d.mach.HandlePollResponse(p.Seq, status, body, d.clock.Now()) }, stop)
}

// control lets an operator, or a drill, tell the stand-in how to behave.
func (d *desk) control(c *gin.Context) {
	text, err := io.ReadAll(io.LimitReader(c.Request.Body, 4096))
	if err != nil {
		httpserver.WriteError(c, 400, "bad-request", "the body could not be read")
		return
	}
	var f jsondoc.FieldErrors
	o := jsondoc.Parse(text, &f)
	if o == nil {
		c.Data(f.Status(), "application/json", f.ErrorBody())
		return
	}
	mode := o.OneOf("mode", runnerapi.ModeActive, runnerapi.ModeActive, runnerapi.ModeDraining)
	departs := clock.Millis(o.Int("departsMs", 0, 0, 1<<40))
	slow, faulty := o.Int("slow", 0, 0, 100000), o.Int("faulty", 0, 0, 100)
	cut := clock.Millis(o.Int("cutMs", 0, 0, 600000))
	o.Done()
	if f.Any() {
		c.Data(f.Status(), "application/json", f.ErrorBody())
		return
	}
	d.in.TryPush(func() {
		d.mach.SetFaults(slow, faulty)
		d.mach.Isolate(cut)
		d.mach.SetMode(mode, departs, d.clock.Now())
	})
	c.JSON(200, gin.H{"mode": mode})
}
