package agentd

import (
	"context"
	"strings"
	"sync"
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

const (
	// testTimeout bounds a test, and reportTimeout the wait for a report.
	testTimeout   = 60 * time.Second
	reportTimeout = 15 * time.Second
)

// fakeLifecycle records the hooks that a daemon registers.
type fakeLifecycle struct{ hooks []fx.Hook }

// Append implements fx.Lifecycle.
func (l *fakeLifecycle) Append(hook fx.Hook) { l.hooks = append(l.hooks, hook) }

func (l *fakeLifecycle) start(ctx context.Context, t *testing.T) {
	t.Helper()
	for _, hook := range l.hooks {
		if err := hook.OnStart(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// fakeControlPlane records the requests of agents and answers none.
type fakeControlPlane struct {
	mu       sync.Mutex
	requests int
	bodies   string
}

// startControlPlane listens for agents until the group stops.
func startControlPlane(t *testing.T, group *lifecycle.Group) (c *fakeControlPlane, addr string) {
	t.Helper()
	listener, err := link.Listen("127.0.0.1:0", group)
	if err != nil {
		t.Fatal(err)
	}
	c = &fakeControlPlane{}
	listener.Serve(func(_ wire.Peer, msg wire.Message) {
		if msg.Request != nil {
			c.record(msg.Request)
		}
	})
	return c, listener.Addr()
}

func (c *fakeControlPlane) record(request *wire.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.bodies += string(request.Body)
}

// anyRequest reports whether any request was received.
func (c *fakeControlPlane) anyRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests > 0
}

// reported reports whether any request contained the incarnation.
func (c *fakeControlPlane) reported(incarnation identifier.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.bodies, string(incarnation))
}

// newTestDaemon returns the agent of runner r1, not yet started.
func newTestDaemon(t *testing.T, group *lifecycle.Group, controlPlane string) (*Daemon, *fakeLifecycle) {
	t.Helper()
	log := logging.New()
	log.Quiet()
	life := &fakeLifecycle{}
	d, err := New(Settings{Agent: agent.Config{
		Name:              "r1",
		Addr:              "127.0.0.1:0",
		Domain:            "north",
		Seeds:             []string{controlPlane},
		Seed:              1,
		MaxLease:          10000,
		HeartbeatInterval: 500,
	}}, group, log, life)
	if err != nil {
		t.Fatal(err)
	}
	return d, life
}

// heartbeat returns a heartbeat of an incarnation on which nothing runs.
func heartbeat(incarnation identifier.Incarnation, seq uint64) agent.Heartbeat {
	return agent.Heartbeat{Runner: incarnation, Seq: seq, Domain: "north", Rack: "k", Capacity: job.Demand{Cores: 4, Mem: 1024}}
}

// cancelledContext returns a context that is already cancelled.
func cancelledContext(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	cancel()
	return ctx
}
