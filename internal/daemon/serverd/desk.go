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
		return raft.Usual()
	}
	return raft.Paced(s.Elect)
}

// Desk runs a controlplane.Machine.
type Desk struct {
	log     *logging.Log
	clock   *clock.System
	link    *link.Link
	http    *httpserver.Server
	gauges  *httpserver.Gauges
	ready   atomic.Bool
	mach    *controlplane.Machine
	store   *store
	in      *lifecycle.Ring[input]
	errands *httpserver.Errands[*controlplane.Machine]
	pending *inflight.Requests
	next    atomic.Uint64
	todo    wal.Chores
	stop    fx.Shutdowner
	// left is closed once the machine has left its group in order.
	left     chan struct{}
	leftOnce sync.Once
}

// input is one frame.
type input struct {
	from wire.Peer
	msg  wire.Msg
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
func New(s Settings, c *lifecycle.Crew, log *logging.Log, life fx.Lifecycle, stop fx.Shutdowner) (*Desk, error) {
	var err error
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory / 10 * 8)
	}
	d := &Desk{log: log, clock: clock.NewSystem(), in: lifecycle.NewRing[input](8192), errands: httpserver.NewErrands[*controlplane.Machine](4096), pending: inflight.New(), stop: stop, left: make(chan struct{})}
	boot := controlplane.Boot{Addr: s.Addr, Domain: s.Domain, Seeds: s.Seeds, Seed: int64(random() >> 1), Timing: s.timing(), Level: state.Present, Found: s.Found, Cells: s.Cells, Diskless: s.Data == ""}
	if d.store, boot.ID, err = newStore(s); err != nil {
		return nil, err
	}
	d.mach = controlplane.New(boot, d.clock.Now())
	d.mach.Full = d.store.full
	found, err := d.store.open()
	if err != nil {
		return nil, err
	}
	if found != nil {
		if err = d.mach.Resume(found.Hard, found.View, found.List); err != nil {
			return nil, errors.Wrap(err, "view")
		}
		log.Event("resume", "view", found.View.Index, "entries", len(found.List), "term", found.Hard.Term, "tornTail", found.Cut)
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
func (d *Desk) begin(s Settings, c *lifecycle.Crew, life fx.Lifecycle, id identifier.Node) error {
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
		d.http.Life(life, c, d.log, "server", begin)
		return nil
	}
	d.gauges = httpserver.NewGauges()
	life.Append(fx.Hook{OnStart: func(context.Context) error {
		begin()
		return nil
	}})
	return nil
}

func (d *Desk) take(from wire.Peer, msg wire.Msg) { d.in.Offer(input{from, msg}) }

func (d *Desk) run(stop <-chan struct{}) {
	defer d.errands.Close()
	beat := time.NewTicker(controlplane.Tick.Duration())
	defer beat.Stop()
	for {
		if x := d.todo.Next(); x != nil {
			d.store.in.Offer(x)
		}
		select {
		case <-stop:
			return
		case x := <-d.in.Out():
			d.pending.Observe(d.clock.Now())
			d.mach.Frame(x.from, x.msg, d.clock.Now(), d.clock.Wall())
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
				d.log.Fault("disk-failed", "error", r.err, "action", "stepping aside")
				d.stop.Shutdown(fx.ExitCode(1))
				return
			}
			switch x := r.chore; {
			case x.Start != nil:
				d.mach.Started(x.Start, d.clock.Now(), d.clock.Wall())
			case x.Write != nil:
				d.mach.Synced(x.Write.Seq, d.clock.Now(), d.clock.Wall())
			}
		}
		d.dispatch()
		d.out(d.mach.Take())
		if d.mach.Left() {
			d.leftOnce.Do(func() { close(d.left) })
		}
	}
}

// dispatch gives the machine the requests that wait for it.
func (d *Desk) dispatch() {
	for _, one := range d.pending.Take() {
		d.mach.Frame(one.Peer, wire.Msg{Ask: one.Ask}, d.clock.Now(), d.clock.Wall())
	}
}

func (d *Desk) out(o controlplane.Out) {
	for _, e := range o.Events {
		d.log.Event(e.Name, e.Vals...)
	}
	d.todo.Add(o.Start, o.Writes, o.Draft)
	if o.Quit != "" {
		d.log.Fault("step-aside", "why", o.Quit)
		d.stop.Shutdown(fx.ExitCode(1))
	}
	for _, s := range o.Sends {
		if !s.To.Local() {
			d.link.Send(s.To, s.Msg)
			continue
		}
		if s.Msg.Reply != nil {
			d.pending.Complete(s.To, s.Msg.Reply, d.clock.Now())
		}
	}
}

// Ready tells whether this keeper knows who leads.
func (d *Desk) Ready() bool { return d.ready.Load() }

// Gauges are this keeper's numbers, for a face that shows them.
func (d *Desk) Gauges() *httpserver.Gauges { return d.gauges }
