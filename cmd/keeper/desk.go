// The desk is the keeper's main duty: it alone touches the machine. Frames and
// finished writes come in on rings; the disk has a duty of its own, so that
// heartbeats never wait for a sync.
package main

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"orchidward/book"
	"orchidward/crew"
	"orchidward/ids"
	"orchidward/keeper"
	"orchidward/link"
	"orchidward/logs"
	"orchidward/raft"
	"orchidward/ring"
	"orchidward/serve"
	"orchidward/wire"
)

type desk struct {
	log   *logs.Log
	clock *crew.Clock
	link  *link.Link
	http  *serve.Server
	mach  *keeper.Machine
	store *store
	in    *crew.Ring[input]
	todo  ring.Chores
	stop  fx.Shutdowner
}

// input is one frame.
type input struct {
	from wire.Peer
	msg  wire.Msg
}

func random() (n uint64) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func newDesk(f *flags, c *crew.Crew, log *logs.Log, life fx.Lifecycle, stop fx.Shutdowner) (d *desk, err error) {
	disk, err := ring.OpenFolder(f.Data)
	if err != nil {
		return nil, err
	}
	id, shape, err := ring.Identity(disk, ids.Node(random()), ring.Shape{Files: int(f.Files), Bytes: int(f.FileKb) << 10})
	if err != nil {
		return nil, err
	}
	d = &desk{log: log, clock: crew.NewClock(), in: crew.NewRing[input](8192), stop: stop}
	d.store = newStore(disk, shape)
	d.mach = keeper.New(keeper.Boot{ID: id, Addr: f.Addr, Domain: ids.Domain(f.Domain), Seeds: f.Seeds, Seed: int64(random() >> 1), Timing: raft.Usual(), Level: book.Present}, d.clock.Now())
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
	if d.link, err = link.Listen(f.Addr, c); err != nil {
		return nil, err
	}
	if d.http, err = serve.New(f.HTTP); err != nil {
		return nil, err
	}
	log.Event("start", "program", "keeper", "node", id, "addr", f.Addr, "domain", f.Domain)
	d.http.Life(life, c, log, "keeper", func() {
		d.link.Serve(d.take)
		c.Go(d.store.run)
		c.Go(d.run)
	})
	return d, nil
}

func (d *desk) take(from wire.Peer, msg wire.Msg) { d.in.Offer(input{from, msg}) }

func (d *desk) run(stop <-chan struct{}) {
	beat := time.NewTicker(keeper.Tick.Real())
	defer beat.Stop()
	for {
		if x := d.todo.Next(); x != nil {
			d.store.in.Offer(x)
		}
		select {
		case <-stop:
			return
		case x := <-d.in.Out():
			d.mach.Frame(x.from, x.msg, d.clock.Now(), d.clock.Wall())
		case <-beat.C:
			d.mach.Tick(d.clock.Now(), d.clock.Wall())
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
		d.out(d.mach.Take())
	}
}

func (d *desk) out(o keeper.Out) {
	for _, e := range o.Events {
		d.log.Event(e.Name, e.Vals...)
	}
	d.todo.Add(o.Start, o.Writes, o.Draft)
	if o.Quit != "" {
		d.log.Fault("step-aside", "why", o.Quit)
		d.stop.Shutdown(fx.ExitCode(1))
	}
	for _, s := range o.Sends {
		d.link.Send(s.To, s.Msg)
	}
}

func (d *desk) gauge() {
	r := d.mach.Raft()
	d.http.SetReady(r != nil && r.Lead() != 0)
	if r == nil {
		return
	}
	b := d.mach.Book()
	lead := 0.0
	if r.Role() == raft.Leader {
		lead = 1
	}
	g := d.http.Gauge
	g.Set("leader", lead)
	g.Set("term", float64(r.Term()))
	g.Set("commit_index", float64(r.Commit()))
	g.Set("view_index", float64(r.ViewAt()))
	g.Set("jobs", float64(len(b.Jobs)))
	g.Set("remembered_ids", float64(b.Known.Len()))
	g.Set("grants", float64(len(b.Grants)))
	g.Set("table_epoch", float64(b.Table.Epoch))
	g.Set("disk_backlog", float64(d.todo.Bytes()))
	waiting := int64(0)
	for _, row := range b.Table.Names() {
		waiting += b.Waiting(row)
	}
	g.Set("tasks_waiting", float64(waiting))
}
