package serverd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/gateway"
)

// life runs its hooks at once when told to, and remembers a shutdown.
type life struct {
	hooks []fx.Hook
	down  chan bool
}

func (l *life) Append(h fx.Hook) { l.hooks = append(l.hooks, h) }

func (l *life) Shutdown(...fx.ShutdownOption) error {
	select {
	case l.down <- true:
	default:
	}
	return nil
}

func (l *life) start(t *testing.T) {
	t.Helper()
	for _, h := range l.hooks {
		if h.OnStart == nil {
			continue
		}
		if err := h.OnStart(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// free finds addresses nobody listens on, below the range that the kernel
// gives to outgoing connections.
func free(n int) []string {
	var list []string
	for len(list) < n {
		addr := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(22000))
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			list = append(list, addr)
		}
	}
	return list
}

// desk makes a keeper without an HTTP side of its own.
func desk(t *testing.T, c *lifecycle.Group, addr string, seeds []string) (d *Daemon, l *life) {
	t.Helper()
	log := logging.New()
	log.Quiet()
	l = &life{down: make(chan bool, 1)}
	d, err := New(Settings{Data: t.TempDir(), Addr: addr, Domain: "north", Seeds: seeds, Files: 4, FileKb: 256, MayFound: true}, c, log, l, l)
	if err != nil {
		t.Fatal(err)
	}
	return d, l
}

// TestAskAtKeepers: a request made at any keeper, leading or not, is settled
// by the leader, and what one accepted all of them know.
func TestAskAtKeepers(t *testing.T) {
	c, seeds, list := lifecycle.New(), free(3), []*Daemon{}
	defer c.Stop(context.Background())
	for _, addr := range seeds {
		d, l := desk(t, c, addr, seeds)
		l.start(t)
		list = append(list, d)
	}
	ctx, end := context.WithTimeout(context.Background(), 60*time.Second)
	defer end()
	for i, d := range list {
		a := settled(ctx, d, gateway.Request{Method: "PUT", Path: fmt.Sprintf("/v1/jobs/a/j%d", i), Body: []byte(`{"pending":"default","steps":[{"name":"s"}]}`)})
		if a.Status != 201 && a.Status != 200 {
			t.Fatalf("keeper %d answered %d %s", i, a.Status, a.Body)
		}
	}
	for i, d := range list {
		a := settled(ctx, d, gateway.Request{Method: "GET", Path: "/v1/jobs"})
		for j := range list {
			if !strings.Contains(string(a.Body), fmt.Sprintf("a/j%d", j)) {
				t.Errorf("keeper %d does not know job %d: %d %s", i, j, a.Status, a.Body)
			}
		}
		members := 0
		if !d.Inspect(ctx, func(m *controlplane.Server) { members = len(m.Raft().Members()) }) || members != 3 {
			t.Errorf("keeper %d shows %d members", i, members)
		}
		for !d.Ready() {
			if ctx.Err() != nil {
				t.Fatalf("keeper %d is not ready", i)
			}
		}
	}
}

// TestPorter: a keeper without a data folder keeps nothing and has no seat; a
// request made at it is settled by the leader all the same.
func TestPorter(t *testing.T) {
	c, addrs := lifecycle.New(), free(4)
	seeds, list := addrs[:3], []*Daemon{}
	defer c.Stop(context.Background())
	log := logging.New()
	log.Quiet()
	l := &life{down: make(chan bool, 1)}
	porter, err := New(Settings{Addr: addrs[3], Domain: "north", Seeds: seeds, MayFound: true}, c, log, l, l)
	if err != nil {
		t.Fatal(err)
	}
	l.start(t)
	if a := porter.Do(context.Background(), gateway.Request{Method: "GET", Path: "/v1/table", Budget: 300}); a.Status != 503 || !strings.Contains(string(a.Body), "no-leader") {
		t.Errorf("before there is a group: %d %s", a.Status, a.Body)
	}
	for _, addr := range seeds {
		d, l := desk(t, c, addr, seeds)
		l.start(t)
		list = append(list, d)
	}
	ctx, end := context.WithTimeout(context.Background(), 60*time.Second)
	defer end()
	a := settled(ctx, porter, gateway.Request{Method: "PUT", Path: "/v1/jobs/a/j", Body: []byte(`{"pending":"default","steps":[{"name":"s"}]}`)})
	if a.Status != 201 && a.Status != 200 {
		t.Fatalf("the porter answered %d %s", a.Status, a.Body)
	}
	if a = settled(ctx, list[0], gateway.Request{Method: "GET", Path: "/v1/jobs"}); !strings.Contains(string(a.Body), "a/j") {
		t.Errorf("a keeper does not know the porter's job: %d %s", a.Status, a.Body)
	}
	alone := false
	if !porter.Inspect(ctx, func(m *controlplane.Server) { alone = m.Raft() == nil }) || !alone || !porter.Ready() {
		t.Errorf("the porter has a log: %v, is ready: %v", !alone, porter.Ready())
	}
	members := 0
	if !list[0].Inspect(ctx, func(m *controlplane.Server) { members = len(m.Raft().Members()) }) || members != 3 {
		t.Errorf("%d members", members)
	}
}

// settled asks until a leader has settled it, as a caller would.
func settled(ctx context.Context, d *Daemon, r gateway.Request) gateway.Response {
	var a gateway.Response
	for ctx.Err() == nil {
		if a = d.Do(ctx, r); a.Status != 503 && a.Status != 504 {
			return a
		}
	}
	return a
}

// TestAskAlone: a keeper that knows no leader tells its caller to come back
// when the budget is up; one that ended, or is full, says so at once.
func TestAskAlone(t *testing.T) {
	c, seeds := lifecycle.New(), free(3)
	d, l := desk(t, c, seeds[0], seeds)
	ask := func(budget clock.Millis) gateway.Response {
		return d.Do(context.Background(), gateway.Request{Method: "GET", Path: "/v1/table", Budget: budget})
	}
	for i := 0; i < 4096; i++ {
		if !d.loop.Post(func(*controlplane.Server) {}) {
			t.Fatalf("full after %d", i)
		}
	}
	if a := ask(0); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("a full desk answered %d %s", a.Status, a.Body)
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	l.start(t)
	for end := time.Now().Add(60 * time.Second); !d.Inspect(context.Background(), func(*controlplane.Server) {}); {
		if time.Now().After(end) {
			t.Fatal("the desk does not come to its errands")
		}
	}
	if a := ask(300); a.Status != 503 || a.RetryAfter == 0 || !strings.Contains(string(a.Body), "no-leader") {
		t.Errorf("without a leader: %d %s", a.Status, a.Body)
	}
	if a := d.Do(left, gateway.Request{Method: "GET", Path: "/v1/table"}); a.Status != 504 {
		t.Errorf("a caller that left got %d", a.Status)
	}
	open := -1
	for end := time.Now().Add(60 * time.Second); open != 0; {
		d.Inspect(context.Background(), func(*controlplane.Server) { open = d.requests.Len() })
		if time.Now().After(end) {
			t.Fatalf("%d requests still wait", open)
		}
	}
	if err := c.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if a := ask(0); a.Status != 504 {
		t.Errorf("a desk that ended answered %d", a.Status)
	}
	if d.Inspect(context.Background(), func(*controlplane.Server) {}) {
		t.Error("a desk that ended took an errand")
	}
}
