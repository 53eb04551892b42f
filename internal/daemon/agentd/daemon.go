// Package agentd runs an agent as a daemon. It has no HTTP server of its own: it is called by
// the platform API (package platform) or by another frontend.
package agentd

import (
	"context"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/eventloop"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/linkmonitor"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

// callQueueSize bounds the queue of calls to the agent.
const callQueueSize = 1024

// Settings is the configuration of an agent daemon. Memory is the memory limit of the process
// in bytes; 0 sets none.
type Settings struct {
	Agent  agent.Config
	Memory int64
}

// Daemon runs an agent.Agent. It is safe for concurrent use.
type Daemon struct {
	log   *logging.Logger
	clock *clock.System
	link  *link.Link
	agent *agent.Agent
	loop  *eventloop.Loop[*agent.Agent]
	// connections publishes metrics of the link and logs stalled connections.
	connections *linkmonitor.Monitor
}

// New opens the agent's listening address. The agent starts and stops with the process.
func New(settings Settings, group *lifecycle.Group, log *logging.Logger, hooks fx.Lifecycle) (*Daemon, error) {
	lifecycle.LimitMemory(settings.Memory)
	d := &Daemon{log: log, clock: clock.NewSystem()}
	d.agent = agent.New(settings.Agent, d.clock.Now())
	d.loop = eventloop.New(d.agent, callQueueSize)
	var err error
	if d.link, err = link.Listen(settings.Agent.Addr, group); err != nil {
		return nil, err
	}
	d.connections = linkmonitor.New(d.link, log, httpserver.NewGauges())
	log.Event("start", "program", "agent", "name", settings.Agent.Name, "addr", settings.Agent.Addr, "domain", settings.Agent.Domain)
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		d.link.Serve(d.loop.Receive)
		group.Go(d.run)
		return nil
	}})
	return d, nil
}

func (d *Daemon) run(stop <-chan struct{}) {
	d.loop.Run(stop, eventloop.Handlers{
		TickInterval: agent.TickInterval.Duration(),
		Tick:         d.tick,
		Message:      d.handleMessage,
		AfterInput:   d.processOutput,
	})
}

func (d *Daemon) tick() {
	d.agent.Tick(d.clock.Now())
	d.connections.Tick(time.Now())
}

func (d *Daemon) handleMessage(from wire.Peer, msg wire.Message) {
	d.agent.HandleMessage(from, msg, d.clock.Now())
}

func (d *Daemon) processOutput() {
	out := d.agent.TakeOutput()
	for _, event := range out.Events {
		d.log.Event(event.Name, event.Fields...)
	}
	for _, message := range out.Messages {
		d.link.Send(message.To, message.Message)
	}
}

// Heartbeat processes a heartbeat of the runner and returns the agent's orders. If ok is false,
// the agent has not processed the heartbeat and never will.
func (d *Daemon) Heartbeat(ctx context.Context, heartbeat agent.Heartbeat) (orders agent.Orders, ok bool) {
	ok = d.loop.Do(ctx, func(a *agent.Agent) { orders = a.HandleHeartbeat(heartbeat, d.clock.Now()) })
	return orders, ok
}

// RunnerLeft processes the runner's leave notification. If it returns false, the agent has not
// processed the notification and never will.
func (d *Daemon) RunnerLeft(ctx context.Context, incarnation identifier.Incarnation) bool {
	return d.loop.Do(ctx, func(a *agent.Agent) { a.RunnerLeft(incarnation, d.clock.Now()) })
}

// FencingToken returns the highest fencing token that the agent knows, 0 for none.
func (d *Daemon) FencingToken(ctx context.Context) uint64 {
	var token uint64
	d.loop.Do(ctx, func(a *agent.Agent) { token = a.FencingToken() })
	return token
}

// PrepareToStop tells the agent that the process is about to exit. It must be called before
// the runner's requests are rejected, so that the runner's last heartbeats are answered with
// the longest lease.
func (d *Daemon) PrepareToStop(ctx context.Context) bool {
	return d.loop.Do(ctx, func(a *agent.Agent) { a.PrepareToStop() })
}

// Inspect runs f on the agent's event loop. If it returns false, f has not run and never will.
func (d *Daemon) Inspect(ctx context.Context, f func(a *agent.Agent)) bool {
	return d.loop.Do(ctx, f)
}
