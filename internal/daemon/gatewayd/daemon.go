// Package gatewayd runs a gateway as a daemon. It receives requests from its own HTTP server
// (routes.go) or, if it has none, by calls of Do from a frontend with another API, such as
// package platform. It exchanges messages with the control plane over the link.
package gatewayd

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/eventloop"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/linkmonitor"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

const (
	// callQueueSize bounds the queue of calls to the gateway.
	callQueueSize = 4096
	programName   = "gateway"
)

// Settings is the configuration of a gateway daemon. If HTTP is empty, the daemon has no HTTP
// server. BodyKb bounds a request's body in KiB. Memory is the memory limit of the process in
// bytes; 0 sets none.
type Settings struct {
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	BodyKb int64
	Memory int64
}

// Daemon runs a gateway.Gateway. It is safe for concurrent use.
type Daemon struct {
	log    *logging.Logger
	clock  *clock.System
	link   *link.Link
	gauges *httpserver.Gauges
	// connections publishes metrics of the link and logs stalled connections.
	connections *linkmonitor.Monitor
	gateway     *gateway.Gateway
	loop        *eventloop.Loop[*gateway.Gateway]
	// http is nil for a gateway without an HTTP server.
	http         *httpserver.Server
	maxBodyBytes int64

	ready         atomic.Bool
	lastRequestID atomic.Uint64
	// callers holds the response callbacks of the requests in flight, by request ID. Only the
	// event loop accesses it.
	callers map[uint64]func(gateway.Response)
}

// New opens the gateway's listening addresses. The gateway starts and stops with the process.
func New(settings Settings, group *lifecycle.Group, log *logging.Logger, hooks fx.Lifecycle) (*Daemon, error) {
	lifecycle.LimitMemory(settings.Memory)
	d := &Daemon{
		log:          log,
		clock:        clock.NewSystem(),
		callers:      map[uint64]func(gateway.Response){},
		maxBodyBytes: settings.BodyKb << 10,
	}
	d.gateway = gateway.New(settings.gateway(), d.clock.Now())
	d.loop = eventloop.New(d.gateway, callQueueSize)
	var err error
	if d.link, err = link.Listen(settings.Addr, group); err != nil {
		return nil, err
	}
	start := func() {
		d.connections = linkmonitor.New(d.link, log, d.gauges)
		d.link.Serve(d.loop.Receive)
		group.Go(d.run)
	}
	if settings.HTTP == "" {
		d.gauges = httpserver.NewGauges()
		log.Event("start", "program", programName, "addr", settings.Addr, "domain", settings.Domain)
		hooks.Append(fx.Hook{OnStart: func(context.Context) error {
			start()
			return nil
		}})
		return d, nil
	}
	if d.http, err = httpserver.New(settings.HTTP); err != nil {
		d.link.Close()
		return nil, err
	}
	d.gauges = d.http.Gauge
	d.addRoutes()
	log.Event("start", "program", programName, "addr", settings.Addr, "http", settings.HTTP, "domain", settings.Domain)
	d.http.Run(hooks, group, log, programName, start)
	return d, nil
}

// gateway returns the configuration of the gateway itself. A gateway without an HTTP server is
// identified by its address within the cluster.
func (s Settings) gateway() gateway.Config {
	name := s.HTTP
	if name == "" {
		name = s.Addr
	}
	return gateway.Config{Addr: s.Addr, HTTP: name, Domain: s.Domain, Seeds: s.Seeds, Seed: rand.Int64()}
}

func (d *Daemon) run(stop <-chan struct{}) {
	d.loop.Run(stop, eventloop.Handlers{
		TickInterval: gateway.TickInterval.Duration(),
		Tick:         d.tick,
		Message:      d.handleMessage,
		AfterInput:   d.processOutput,
	})
}

func (d *Daemon) tick() {
	d.gateway.Tick(d.clock.Now())
	d.updateMetrics()
}

func (d *Daemon) handleMessage(from wire.Peer, msg wire.Message) {
	d.gateway.HandleMessage(from, msg, d.clock.Now())
}

func (d *Daemon) processOutput() {
	out := d.gateway.TakeOutput()
	for _, event := range out.Events {
		d.log.Event(event.Name, event.Fields...)
	}
	for _, message := range out.Messages {
		d.link.Send(message.To, message.Message)
	}
	for _, response := range out.Responses {
		if answer := d.callers[response.ID]; answer != nil {
			answer(response)
			delete(d.callers, response.ID)
		}
	}
}

// Ready reports whether this gateway has contact with the leader.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// updateMetrics updates the metrics and the readiness on every tick.
func (d *Daemon) updateMetrics() {
	ready := d.gateway.Ready(d.clock.Now())
	d.ready.Store(ready)
	if d.http != nil {
		d.http.SetReady(ready)
	}
	counts := d.gateway.Counts
	d.gauges.Set("table_epoch", float64(d.gateway.Epoch()))
	d.gauges.Set("requests_in_flight", float64(d.gateway.InFlight()))
	d.gauges.Set("requests", float64(counts.Received))
	d.gauges.Set("requests_refused_here", float64(counts.Refused))
	d.gauges.Set("requests_returned_stale", float64(counts.Stale))
	d.gauges.Set("requests_without_key", float64(counts.WithoutKey))
	d.gauges.Set("requests_unknown_key", float64(counts.UnknownKey))
	d.gauges.Set("requests_keys_behind", float64(counts.KeysBehind))
	d.gauges.Set("requests_redirected", float64(counts.Redirected))
	d.gauges.Set("syncs_unanswered", float64(counts.SyncsUnanswered))
	d.connections.Tick(time.Now())
}
