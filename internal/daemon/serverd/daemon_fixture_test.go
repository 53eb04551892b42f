package serverd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/gateway"
)

// testTimeout bounds each wait in the tests of this package.
const testTimeout = 60 * time.Second

// fakeLifecycle records hooks, runs the start hooks on demand and records a shutdown.
type fakeLifecycle struct {
	hooks    []fx.Hook
	shutdown chan bool
}

func newFakeLifecycle() *fakeLifecycle { return &fakeLifecycle{shutdown: make(chan bool, 1)} }

// Append implements fx.Lifecycle.
func (l *fakeLifecycle) Append(hook fx.Hook) { l.hooks = append(l.hooks, hook) }

// Shutdown implements fx.Shutdowner.
func (l *fakeLifecycle) Shutdown(...fx.ShutdownOption) error {
	select {
	case l.shutdown <- true:
	default:
	}
	return nil
}

func (l *fakeLifecycle) start(t *testing.T) {
	t.Helper()
	for _, hook := range l.hooks {
		if hook.OnStart == nil {
			continue
		}
		if err := hook.OnStart(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// freeAddrs returns unused addresses, with ports below the range that the kernel assigns to
// outgoing connections.
func freeAddrs(n int) []string {
	var list []string
	for len(list) < n {
		addr := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(22000))
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			list = append(list, addr)
		}
	}
	return list
}

// newTestDaemon returns a server without HTTP pages. It keeps its log in data; if data is empty,
// the server has no disk.
func newTestDaemon(t *testing.T, group *lifecycle.Group, data, addr string, seeds []string) (*Daemon, *fakeLifecycle) {
	t.Helper()
	log := logging.New()
	log.Quiet()
	life := newFakeLifecycle()
	settings := Settings{Data: data, Addr: addr, Domain: "north", Seeds: seeds, MayFound: true}
	if data != "" {
		settings.Files = 4
		settings.FileKb = 256
	}
	d, err := New(settings, group, log, life, life)
	if err != nil {
		t.Fatal(err)
	}
	return d, life
}

// startServers starts a server with a disk at each seed.
func startServers(t *testing.T, group *lifecycle.Group, seeds []string) []*Daemon {
	t.Helper()
	var servers []*Daemon
	for _, addr := range seeds {
		d, life := newTestDaemon(t, group, t.TempDir(), addr, seeds)
		life.start(t)
		servers = append(servers, d)
	}
	return servers
}

// submitJob returns a request that submits a job of one task.
func submitJob(id string) gateway.Request {
	return gateway.Request{Method: http.MethodPut, Path: "/v1/jobs/a/" + id, Body: []byte(`{"pending":"default","steps":[{"name":"s"}]}`)}
}

// submitted reports whether a response says that the job was accepted, by this request or an
// earlier one.
func submitted(response gateway.Response) bool {
	return response.Status == http.StatusCreated || response.Status == http.StatusOK
}

// retryUntilDecided retries a request until its outcome is known, as a caller would.
func retryUntilDecided(ctx context.Context, d *Daemon, request gateway.Request) gateway.Response {
	var response gateway.Response
	for ctx.Err() == nil {
		response = d.Do(ctx, request)
		if response.Status != http.StatusServiceUnavailable && response.Status != http.StatusGatewayTimeout {
			break
		}
	}
	return response
}

// memberCount returns the number of group members that a server knows, -1 if its loop does not
// run.
func memberCount(ctx context.Context, d *Daemon) int {
	count := -1
	d.Inspect(ctx, func(s *controlplane.Server) { count = len(s.Raft().Members()) })
	return count
}

// role returns a server's role in its group, the zero value if it has none.
func role(ctx context.Context, d *Daemon) raft.Role {
	var r raft.Role
	d.Inspect(ctx, func(s *controlplane.Server) {
		if s.Raft() != nil {
			r = s.Raft().Role()
		}
	})
	return r
}

// findLeader returns the index of the leader, or -1 if there is none before the context ends.
func findLeader(ctx context.Context, servers []*Daemon) int {
	for ctx.Err() == nil {
		for i, d := range servers {
			if role(ctx, d) == raft.Leader {
				return i
			}
		}
	}
	return -1
}

// waitFor waits until a condition is met.
func waitFor(t *testing.T, failure string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !met(); {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}
