package serverd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/wal"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/eventloop"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/linkmonitor"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/inflight"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

const (
	// callQueueSize bounds the queue of calls to the server.
	callQueueSize = 4096
	programName   = "server"
	// exitHalted is the exit code of a server that halted or whose disk failed.
	exitHalted = 1
)

// Daemon runs a controlplane.Server. It is safe for concurrent use.
type Daemon struct {
	log    *logging.Logger
	clock  *clock.System
	link   *link.Link
	gauges *httpserver.Gauges
	// connections publishes metrics of the link and logs stalled connections.
	connections *linkmonitor.Monitor
	server      *controlplane.Server
	loop        *eventloop.Loop[*controlplane.Server]
	// http is nil for a server without HTTP pages.
	http     *httpserver.Server
	shutdown fx.Shutdowner

	// store performs disk operations, and writes holds those that are pending. Only the event
	// loop accesses writes.
	store  *store
	writes wal.WriteQueue

	ready         atomic.Bool
	lastRequestID atomic.Uint64
	// requests holds the requests made at this server. Only the event loop accesses it.
	requests *inflight.Requests

	// tenantMetricsUpdatedAt is when the metrics by tenant were last updated.
	tenantMetricsUpdatedAt clock.Monotonic

	// left is closed once the server has left its group gracefully.
	left     chan struct{}
	leftOnce sync.Once
}

// New opens the server's data folder and listening addresses. The server starts and stops with
// the process, and shuts the process down when it must halt.
func New(settings Settings, group *lifecycle.Group, log *logging.Logger, hooks fx.Lifecycle, shutdown fx.Shutdowner) (*Daemon, error) {
	lifecycle.LimitMemory(settings.Memory)
	d := &Daemon{
		log:      log,
		clock:    clock.NewSystem(),
		requests: inflight.New(),
		shutdown: shutdown,
		left:     make(chan struct{}),
	}
	var id identifier.Node
	var err error
	if d.store, id, err = newStore(settings); err != nil {
		return nil, err
	}
	d.server = controlplane.New(settings.server(id), d.clock.Now())
	d.server.LogPercentUsed = d.store.percentUsed
	d.loop = eventloop.New(d.server, callQueueSize)
	if err = d.resume(); err != nil {
		return nil, err
	}
	if d.link, err = link.Listen(settings.Addr, group); err != nil {
		return nil, err
	}
	if err = d.start(settings, group, hooks, id); err != nil {
		d.link.Close()
		return nil, err
	}
	return d, nil
}

// resume restores the server's state from the disk.
func (d *Daemon) resume() error {
	recovered, err := d.store.open()
	if err != nil || recovered == nil {
		return err
	}
	if err = d.server.Resume(recovered.HardState, recovered.Snapshot, recovered.Entries); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	d.log.Event("resume", "snapshot", recovered.Snapshot.Index, "entries", len(recovered.Entries),
		"term", recovered.HardState.Term, "tornTail", recovered.TornTail)
	return nil
}

// start registers the server's goroutines with the process's lifecycle, through the HTTP server
// if there is one.
func (d *Daemon) start(settings Settings, group *lifecycle.Group, hooks fx.Lifecycle, id identifier.Node) error {
	start := func() {
		d.connections = linkmonitor.New(d.link, d.log, d.gauges)
		d.link.Serve(d.loop.Receive)
		group.Go(d.store.run)
		group.Go(d.run)
	}
	d.gauges = httpserver.NewGauges()
	if settings.HTTP != "" {
		var err error
		if d.http, err = httpserver.New(settings.HTTP); err != nil {
			return err
		}
		d.gauges = d.http.Gauge
	}
	d.log.Event("start", "program", programName, "node", id, "addr", settings.Addr, "domain", settings.Domain)
	if d.http != nil {
		d.http.Run(hooks, group, d.log, programName, start)
		return nil
	}
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		start()
		return nil
	}})
	return nil
}

func (d *Daemon) run(stop <-chan struct{}) {
	d.loop.Run(stop, eventloop.Handlers{
		TickInterval: controlplane.TickInterval.Duration(),
		Tick:         d.tick,
		Message:      d.handleMessage,
		BeforeCall:   d.observe,
		BeforeInput:  d.submitNextWrite,
		AfterInput:   d.processOutput,
		Completions:  d.store.completions(d.handleWritten),
	})
}

func (d *Daemon) tick() {
	d.server.Tick(d.clock.Now(), d.clock.Wall())
	d.requests.Tick(d.clock.Now(), d.server.Connected())
	d.updateMetrics()
	d.connections.Tick(time.Now())
}

func (d *Daemon) handleMessage(from wire.Peer, msg wire.Message) {
	d.observe()
	d.server.HandleMessage(from, msg, d.clock.Now(), d.clock.Wall())
}

// observe records that the process is running, so that a suspension can be detected.
func (d *Daemon) observe() { d.requests.Observe(d.clock.Now()) }

// processOutput passes pending local requests to the server, then handles the server's output:
// events, writes, messages and responses.
func (d *Daemon) processOutput() {
	for _, dispatch := range d.requests.TakeDispatches() {
		d.server.HandleMessage(dispatch.Peer, wire.Message{Request: dispatch.Request}, d.clock.Now(), d.clock.Wall())
	}
	out := d.server.TakeOutput()
	for _, event := range out.Events {
		d.log.Event(event.Name, event.Fields...)
	}
	d.writes.Add(out.CreateLog, out.Writes, out.Snapshot)
	if out.Quit != "" {
		d.log.Error("server-halted", "why", out.Quit)
		d.endProcess()
	}
	for _, message := range out.Messages {
		d.deliver(message)
	}
	if d.server.Left() {
		d.leftOnce.Do(func() { close(d.left) })
	}
}

// deliver sends a message to another process, or completes a request made at this server.
func (d *Daemon) deliver(message wire.Envelope) {
	if !message.To.Local() {
		d.link.Send(message.To, message.Message)
		return
	}
	if message.Message.Response != nil {
		d.requests.Complete(message.To, message.Message.Response, d.clock.Now())
	}
}

// submitNextWrite submits the next disk operation if none is in progress.
func (d *Daemon) submitNextWrite() {
	if operation := d.writes.Next(); operation != nil {
		d.store.submit(operation)
	}
}

// handleWritten processes the outcome of a disk operation. A disk failure ends the process,
// because the contents of the disk are then unknown.
func (d *Daemon) handleWritten(operation *wal.Operation, err error) error {
	d.writes.Done(operation)
	if err != nil {
		d.log.Error("disk-failed", "error", err, "action", "ending the process")
		d.endProcess()
		return err
	}
	switch {
	case operation.Create != nil:
		d.server.LogCreated(operation.Create, d.clock.Now(), d.clock.Wall())
	case operation.Write != nil:
		d.server.Synced(operation.Write.Seq, d.clock.Now(), d.clock.Wall())
	}
	return nil
}

func (d *Daemon) endProcess() { _ = d.shutdown.Shutdown(fx.ExitCode(exitHalted)) }

// Ready reports whether this server knows the leader.
func (d *Daemon) Ready() bool { return d.ready.Load() }
