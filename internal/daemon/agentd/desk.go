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
	Boot   agent.Config
	Memory int64
}

// Daemon runs an agent.Agent.
type Daemon struct {
	log     *logging.Logger
	clock   *clock.System
	link    *link.Link
	mach    *agent.Agent
	in      *lifecycle.Queue[input]
	errands *httpserver.CallQueue[*agent.Agent]
}

// input is one frame.
type input struct {
	from wire.Peer
	msg  wire.Message
}

// New opens the agent's address; it begins with the process's life.
func New(s Settings, c *lifecycle.Group, log *logging.Logger, life fx.Lifecycle) (*Daemon, error) {
	var err error
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory / 10 * 8)
	}
	d := &Daemon{log: log, clock: clock.NewSystem(), in: lifecycle.NewQueue[input](8192), errands: httpserver.NewCallQueue[*agent.Agent](1024)}
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

func (d *Daemon) take(from wire.Peer, msg wire.Message) { d.in.TryPush(input{from, msg}) }

func (d *Daemon) run(stop <-chan struct{}) {
	defer d.errands.Close()
	beat := time.NewTicker(agent.TickInterval.Duration())
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
		}
		d.out(d.mach.TakeOutput())
	}
}

func (d *Daemon) out(o agent.Output) {
	for _, e := range o.Events {
		d.log.Event(e.Name, e.Fields...)
	}
	for _, s := range o.Messages {
		d.link.Send(s.To, s.Message)
	}
}

// Heartbeat answers a heartbeat of the runner. If not ok, the machine has not heard
// of it and won't.
func (d *Daemon) Heartbeat(ctx context.Context, b agent.Heartbeat) (o agent.Orders, ok bool) {
	ok = d.errands.Do(ctx, func(m *agent.Agent) { o = m.HandleHeartbeat(b, d.clock.Now()) })
	return o, ok
}

// RunnerLeft tells that a runner says good-bye. If not ok, the machine has not
// heard of it and won't.
func (d *Daemon) RunnerLeft(ctx context.Context, id identifier.Incarnation) (ok bool) {
	return d.errands.Do(ctx, func(m *agent.Agent) { m.RunnerLeft(id, d.clock.Now()) })
}

// FencingToken is the highest fence the agent knows of, 0 for none.
func (d *Daemon) FencingToken(ctx context.Context) uint64 {
	var fence uint64
	d.errands.Do(ctx, func(m *agent.Agent) { fence = m.FencingToken() })
	return fence
}

// PrepareToStop says that the agent is about to end. It comes before the parting from
// the runner, whose last heartbeats are then answered with the longest hold.
func (d *Daemon) PrepareToStop(ctx context.Context) bool {
	return d.errands.Do(ctx, func(m *agent.Agent) { m.PrepareToStop() })
}

// Inspect runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Daemon) Inspect(ctx context.Context, f func(m *agent.Agent)) (ok bool) {
	return d.errands.Do(ctx, f)
}
