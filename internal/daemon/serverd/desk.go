// Package serverd is the keeper's main duty: it alone touches the machine.
// Frames, finished writes and requests made here come in on rings; the disk
// has a duty of its own, so that heartbeats never wait for a sync.
package serverd

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/consensus/wal"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/inflight"
	"orchidward/internal/state"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

// Settings are what a keeper is started with. Without Data, a folder, it is a
// porter. Without HTTP it serves none of its own. Memory is in bytes; 0 sets no limit.
type Settings struct {
	Data   string
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	Files  int64
	FileKb int64
	Found  bool
	Cells  map[string]string
	Memory int64
	// Elect is the least time a keeper waits for word of a leader before it asks
	// for an election, in milliseconds; 0 is the usual 1000.
	Elect clock.Millis
}

func (s Settings) timing() raft.Timing {
	if s.Elect == 0 {
		return raft.DefaultTiming()
	}
	return raft.NewTiming(s.Elect)
}

// Daemon runs a controlplane.Server.
type Daemon struct {
	log     *logging.Logger
	clock   *clock.System
	link    *link.Link
	http    *httpserver.Server
	gauges  *httpserver.Gauges
	ready   atomic.Bool
	mach    *controlplane.Server
	store   *store
	in      *lifecycle.Queue[input]
	errands *httpserver.CallQueue[*controlplane.Server]
	pending *inflight.Requests
	next    atomic.Uint64
	todo    wal.WriteQueue
	stop    fx.Shutdowner
	// left is closed once the machine has left its group in order.
	left     chan struct{}
	leftOnce sync.Once
}

// input is one frame.
type input struct {
	from wire.Peer
	msg  wire.Message
}

func random() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// New opens the keeper's folder and addresses; it begins with the process's
// life, and ends the process when it must step aside.
func New(s Settings, c *lifecycle.Group, log *logging.Logger, life fx.Lifecycle, stop fx.Shutdowner) (*Daemon, error) {
	var err error
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory / 10 * 8)
	}
	d := &Daemon{log: log, clock: clock.NewSystem(), in: lifecycle.NewQueue[input](8192), errands: httpserver.NewCallQueue[*controlplane.Server](4096), pending: inflight.New(), stop: stop, left: make(chan struct{})}
	boot := controlplane.Config{Addr: s.Addr, Domain: s.Domain, Seeds: s.Seeds, Seed: int64(random() >> 1), Timing: s.timing(), Level: state.SupportedLevel, MayFound: s.Found, InitialLimits: s.Cells, Diskless: s.Data == ""}
	if d.store, boot.ID, err = newStore(s); err != nil {
		return nil, err
	}
	d.mach = controlplane.New(boot, d.clock.Now())
	d.mach.LogPercentUsed = d.store.full
	found, err := d.store.open()
	if err != nil {
		return nil, err
	}
	if found != nil {
		if err = d.mach.Resume(found.HardState, found.Snapshot, found.Entries); err != nil {
			return nil, errors.Wrap(err, "view")
		}
		log.Event("resume", "view", found.Snapshot.Index, "entries", len(found.Entries), "term", found.HardState.Term, "tornTail", found.TornTail)
	}
	if d.link, err = link.Listen(s.Addr, c); err != nil {
		return nil, err
	}
	if err = d.begin(s, c, life, boot.ID); err != nil {
		d.link.Close()
		return nil, err
	}
	return d, nil
}

// begin hooks the duties into the process's life, by way of the HTTP side if
// there is one.
func (d *Daemon) begin(s Settings, c *lifecycle.Group, life fx.Lifecycle, id identifier.Node) error {
	var err error
	begin := func() {
		d.link.Serve(d.take)
		c.Go(d.store.run)
		c.Go(d.run)
	}
	if s.HTTP != "" {
		if d.http, err = httpserver.New(s.HTTP); err != nil {
			return err
		}
		d.gauges = d.http.Gauge
	}
	d.log.Event("start", "program", "server", "node", id, "addr", s.Addr, "domain", s.Domain)
	if d.http != nil {
		d.http.Run(life, c, d.log, "server", begin)
		return nil
	}
	d.gauges = httpserver.NewGauges()
	life.Append(fx.Hook{OnStart: func(context.Context) error {
		begin()
		return nil
	}})
	return nil
}

func (d *Daemon) take(from wire.Peer, msg wire.Message) { d.in.TryPush(input{from, msg}) }

func (d *Daemon) run(stop <-chan struct{}) {
	defer d.errands.Close()
	beat := time.NewTicker(controlplane.TickInterval.Duration())
	defer beat.Stop()
	for {
		if x := d.todo.Next(); x != nil {
			d.store.in.TryPush(x)
		}
		select {
		case <-stop:
			return
		case x := <-d.in.Out():
			d.pending.Observe(d.clock.Now())
			d.mach.HandleMessage(x.from, x.msg, d.clock.Now(), d.clock.Wall())
		case x := <-d.errands.Out():
			d.pending.Observe(d.clock.Now())
			x.Run(d.mach)
		case <-beat.C:
			d.mach.Tick(d.clock.Now(), d.clock.Wall())
			d.pending.Tick(d.clock.Now(), d.mach.Connected())
			d.gauge()
		case r := <-d.store.out.Out():
			d.todo.Done(r.chore)
			if r.err != nil {
				d.log.Error("disk-failed", "error", r.err, "action", "stepping aside")
				d.stop.Shutdown(fx.ExitCode(1))
				return
			}
			switch x := r.chore; {
			case x.Create != nil:
				d.mach.LogCreated(x.Create, d.clock.Now(), d.clock.Wall())
			case x.Write != nil:
				d.mach.Synced(x.Write.Seq, d.clock.Now(), d.clock.Wall())
			}
		}
		d.dispatch()
		d.out(d.mach.TakeOutput())
		if d.mach.Left() {
			d.leftOnce.Do(func() { close(d.left) })
		}
	}
}

// dispatch gives the machine the requests that wait for it.
func (d *Daemon) dispatch() {
	for _, one := range d.pending.TakeDispatches() {
		d.mach.HandleMessage(one.Peer, wire.Message{Request: one.Request}, d.clock.Now(), d.clock.Wall())
	}
}

func (d *Daemon) out(o controlplane.Output) {
	for _, e := range o.Events {
		d.log.Event(e.Name, e.Fields...)
	}
	d.todo.Add(o.CreateLog, o.Writes, o.Snapshot)
	if o.Quit != "" {
		d.log.Error("step-aside", "why", o.Quit)
		d.stop.Shutdown(fx.ExitCode(1))
	}
	for _, s := range o.Messages {
		if !s.To.Local() {
			d.link.Send(s.To, s.Message)
			continue
		}
		if s.Message.Response != nil {
			d.pending.Complete(s.To, s.Message.Response, d.clock.Now())
		}
	}
}

// Ready tells whether this keeper knows who leads.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Gauges are this keeper's numbers, for a face that shows them.
func (d *Daemon) Gauges() *httpserver.Gauges { return d.gauges }
