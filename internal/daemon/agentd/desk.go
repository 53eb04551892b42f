// Package agentd is the agent's main duty: it alone touches the machine.
// Frames from the core come in on one ring, and what its runner says, by way
// of whatever face the agent has, on another.
package agentd

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

// Settings are what an agent is started with. Memory is in bytes; 0 sets no
// limit.
type Settings struct {
	Boot   agent.Boot
	Memory int64
}

// Desk runs an agent.Machine.
type Desk struct {
	log     *logging.Log
	clock   *clock.System
	link    *link.Link
	mach    *agent.Machine
	in      *lifecycle.Ring[input]
	errands *httpserver.Errands[*agent.Machine]
}

// input is one frame.
type input struct {
	from wire.Peer
	msg  wire.Msg
}

// New opens the agent's address; it begins with the process's life.
func New(s Settings, c *lifecycle.Crew, log *logging.Log, life fx.Lifecycle) (*Desk, error) {
	var err error
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory / 10 * 8)
	}
	d := &Desk{log: log, clock: clock.NewSystem(), in: lifecycle.NewRing[input](8192), errands: httpserver.NewErrands[*agent.Machine](1024)}
	d.mach = agent.New(s.Boot, d.clock.Now())
	if d.link, err = link.Listen(s.Boot.Addr, c); err != nil {
		return nil, err
	}
	log.Event("start", "program", "agent", "name", s.Boot.Name, "addr", s.Boot.Addr, "domain", s.Boot.Domain)
	life.Append(fx.Hook{OnStart: func(context.Context) error {
		d.link.Serve(d.take)
		c.Go(d.run)
		return nil
	}})
	return d, nil
}

func (d *Desk) take(from wire.Peer, msg wire.Msg) { d.in.Offer(input{from, msg}) }

func (d *Desk) run(stop <-chan struct{}) {
	defer d.errands.Close()
	beat := time.NewTicker(agent.Tick.Duration())
	defer beat.Stop()
	for {
		select {
		case <-stop:
			return
		case x := <-d.in.Out():
			d.mach.Frame(x.from, x.msg, d.clock.Now())
		case x := <-d.errands.Out():
			x.Run(d.mach)
		case <-beat.C:
			d.mach.Tick(d.clock.Now())
		}
		d.out(d.mach.Take())
	}
}

func (d *Desk) out(o agent.Out) {
	for _, e := range o.Events {
		d.log.Event(e.Name, e.Vals...)
	}
	for _, s := range o.Sends {
		d.link.Send(s.To, s.Msg)
	}
}

// Beat answers a heartbeat of the runner. If not ok, the machine has not heard
// of it and won't.
func (d *Desk) Beat(ctx context.Context, b agent.Beat) (o agent.Orders, ok bool) {
	ok = d.errands.Do(ctx, func(m *agent.Machine) { o = m.Beat(b, d.clock.Now()) })
	return o, ok
}

// Leave tells that a runner says good-bye. If not ok, the machine has not
// heard of it and won't.
func (d *Desk) Leave(ctx context.Context, id identifier.Incarnation) (ok bool) {
	return d.errands.Do(ctx, func(m *agent.Machine) { m.Leave(id, d.clock.Now()) })
}

// Fence is the highest fence the agent knows of, 0 for none.
func (d *Desk) Fence(ctx context.Context) uint64 {
	var fence uint64
	d.errands.Do(ctx, func(m *agent.Machine) { fence = m.Fence() })
	return fence
}

// Stop says that the agent is about to end. It comes before the parting from
// the runner, whose last heartbeats are then answered with the longest hold.
func (d *Desk) Stop(ctx context.Context) bool {
	return d.errands.Do(ctx, func(m *agent.Machine) { m.Stop() })
}

// Look runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Desk) Look(ctx context.Context, f func(m *agent.Machine)) (ok bool) {
	return d.errands.Do(ctx, f)
}
