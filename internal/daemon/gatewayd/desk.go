// Package gatewayd is the gate's main duty: it alone touches the machine.
// Requests come in on one ring, from the HTTP side here or from a face of
// another dialect, and frames from the core on another.
package gatewayd

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

// Settings are what a gate is started with. Without HTTP it serves none of its
// own. Memory is in bytes; 0 sets no limit.
type Settings struct {
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	BodyKb int64
	Memory int64
}

// Daemon runs a gateway.Gateway.
type Daemon struct {
	log     *logging.Logger
	clock   *clock.System
	link    *link.Link
	http    *httpserver.Server
	gauges  *httpserver.Gauges
	ready   atomic.Bool
	mach    *gateway.Gateway
	in      *lifecycle.Queue[input]
	errands *httpserver.CallQueue[*gateway.Gateway]
	back    map[uint64]chan<- gateway.Response
	next    atomic.Uint64
	size    int64
}

// input is one frame.
type input struct {
	from wire.Peer
	msg  wire.Message
}

// New opens the gate's addresses; it begins with the process's life.
func New(s Settings, c *lifecycle.Group, log *logging.Logger, life fx.Lifecycle) (*Daemon, error) {
	var err error
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory / 10 * 8)
	}
	name := s.HTTP
	if name == "" {
		name = s.Addr
	}
	d := &Daemon{log: log, clock: clock.NewSystem(), in: lifecycle.NewQueue[input](8192), errands: httpserver.NewCallQueue[*gateway.Gateway](4096), back: map[uint64]chan<- gateway.Response{}, size: s.BodyKb << 10}
	d.mach = gateway.New(gateway.Config{Addr: s.Addr, HTTP: name, Domain: s.Domain, Seeds: s.Seeds, Seed: rand.Int64()}, d.clock.Now())
	if d.link, err = link.Listen(s.Addr, c); err != nil {
		return nil, err
	}
	begin := func() {
		d.link.Serve(d.take)
		c.Go(d.run)
	}
	if s.HTTP == "" {
		d.gauges = httpserver.NewGauges()
		log.Event("start", "program", "gateway", "addr", s.Addr, "domain", s.Domain)
		life.Append(fx.Hook{OnStart: func(context.Context) error {
			begin()
			return nil
		}})
		return d, nil
	}
	if d.http, err = httpserver.New(s.HTTP); err != nil {
		d.link.Close()
		return nil, err
	}
	d.gauges = d.http.Gauge
	d.routes()
	log.Event("start", "program", "gateway", "addr", s.Addr, "http", s.HTTP, "domain", s.Domain)
	d.http.Run(life, c, log, "gateway", begin)
	return d, nil
}

func (d *Daemon) take(from wire.Peer, msg wire.Message) { d.in.TryPush(input{from, msg}) }

func (d *Daemon) run(stop <-chan struct{}) {
	defer d.errands.Close()
	beat := time.NewTicker(gateway.TickInterval.Duration())
	defer beat.Stop()
	for {
		select {
		case <-stop:
			return
		case x := <-d.in.Out():
			d.mach.HandleMessage(x.from, x.msg, d.clock.Now())
		case x := <-d.errands.Out():
			x.Run(d.mach)
		case <-beat.C:
			d.mach.Tick(d.clock.Now())
			d.gauge()
		}
		d.out(d.mach.TakeOutput())
	}
}

func (d *Daemon) out(o gateway.Output) {
	for _, e := range o.Events {
		d.log.Event(e.Name, e.Fields...)
	}
	for _, s := range o.Messages {
		d.link.Send(s.To, s.Message)
	}
	for _, a := range o.Responses {
		if c := d.back[a.ID]; c != nil {
			c <- a
			delete(d.back, a.ID)
		}
	}
}

// Ready tells whether this gate is in touch with the leader.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Gauges are this gate's numbers, for a face that shows them.
func (d *Daemon) Gauges() *httpserver.Gauges { return d.gauges }

func (d *Daemon) gauge() {
	ready := d.mach.Ready(d.clock.Now())
	d.ready.Store(ready)
	if d.http != nil {
		d.http.SetReady(ready)
	}
	g, n := d.gauges, d.mach.Counts
	g.Set("table_epoch", float64(d.mach.Epoch()))
	g.Set("requests_in_hand", float64(d.mach.InFlight()))
	g.Set("requests", float64(n.Received))
	g.Set("requests_refused_here", float64(n.Refused))
	g.Set("requests_returned_stale", float64(n.Stale))
	g.Set("requests_moved", float64(n.Redirected))
	out, lost := d.link.FrameCounts()
	g.Set("frames_sent", float64(out))
	g.Set("frames_dropped", float64(lost))
}
