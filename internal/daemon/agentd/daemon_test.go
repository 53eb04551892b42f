package agentd

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/agent"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

type life struct{ hooks []fx.Hook }

func (l *life) Append(h fx.Hook) { l.hooks = append(l.hooks, h) }

// TestDesk: heartbeats are answered also without a core, what the machine has
// to say reaches the core, and a desk that ended answers nothing.
func TestDesk(t *testing.T) {
	c := lifecycle.New()
	core, err := link.Listen("127.0.0.1:0", c)
	if err != nil {
		t.Fatal(err)
	}
	var told atomic.Int64
	core.Serve(func(_ wire.Peer, msg wire.Message) {
		if msg.Request != nil {
			told.Add(1)
		}
	})
	log := logging.New()
	log.Quiet()
	l := &life{}
	d, err := New(Settings{Agent: agent.Config{Name: "r1", Addr: "127.0.0.1:0", Domain: "north", Seeds: []string{core.Addr()}, Seed: 1, MaxLease: 10000, HeartbeatInterval: 500}}, c, log, l)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithTimeout(context.Background(), 60*time.Second)
	defer end()
	left, leave := context.WithCancel(ctx)
	leave()
	if _, ok := d.Heartbeat(left, agent.Heartbeat{Runner: "x"}); ok {
		t.Error("a heartbeat was answered before the desk began")
	}
	for _, h := range l.hooks {
		if err = h.OnStart(ctx); err != nil {
			t.Fatal(err)
		}
	}
	o, ok := d.Heartbeat(ctx, agent.Heartbeat{Runner: "a", Domain: "north", Rack: "k", Capacity: job.Demand{Cores: 4, Mem: 1024}})
	if !ok || o.Lease != 0 || len(o.Start) > 0 || o.NextHeartbeat != 500 {
		t.Errorf("without a core: %v %+v", ok, o)
	}
	for told.Load() == 0 {
		if ctx.Err() != nil {
			t.Fatal("the core was not told of the runner")
		}
	}
	if !d.RunnerLeft(ctx, identifier.Incarnation("a")) || !d.Inspect(ctx, func(*agent.Agent) {}) {
		t.Error("the desk takes no errands")
	}
	if err = c.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if _, ok = d.Heartbeat(ctx, agent.Heartbeat{Runner: "a"}); ok {
		t.Error("a desk that ended answered a heartbeat")
	}
}
