package gatewayd

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

type life struct{ hooks []fx.Hook }

func (l *life) Append(h fx.Hook) { l.hooks = append(l.hooks, h) }

// core plays the leader: it answers discovery and syncs, answers reads of the
// table, and keeps silent about all else, which it counts.
func core(t *testing.T, c *lifecycle.Group) (addr string, silent *atomic.Int64) {
	t.Helper()
	l, err := link.Listen("127.0.0.1:0", c)
	if err != nil {
		t.Fatal(err)
	}
	silent = &atomic.Int64{}
	members := []raft.Member{{ID: 7, Addr: l.Addr(), Voter: true}}
	text, err := json.Marshal(controlplane.SyncResponse{Epoch: 1, Table: &controlplane.RoutingTable{Epoch: 1, Rows: limits.Default().Rows}, Leader: identifier.Node(7).String(), Members: members})
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(func(from wire.Peer, msg wire.Message) {
		switch a := msg.Request; {
		case msg.Announcement != nil && msg.Announcement.WantReply:
			l.Send(from, wire.Message{Announcement: &wire.Announcement{Role: wire.RoleServer, Node: 7, Founded: true, LeaderID: 7, Members: members}})
		case a != nil && a.Method == "SYNC":
			l.Send(from, wire.Message{Response: &wire.Response{ID: a.ID, Status: 200, Body: text}})
		case a != nil && a.Path == "/v1/table":
			l.Send(from, wire.Message{Response: &wire.Response{ID: a.ID, Status: 200, Body: []byte("the table")}})
		case a != nil:
			silent.Add(1)
		}
	})
	return l.Addr(), silent
}

func desk(t *testing.T, c *lifecycle.Group, seed string) (d *Daemon, l *life) {
	t.Helper()
	log := logging.New()
	log.Quiet()
	l = &life{}
	d, err := New(Settings{Addr: "127.0.0.1:0", Domain: "north", Seeds: []string{seed}, BodyKb: 16}, c, log, l)
	if err != nil {
		t.Fatal(err)
	}
	return d, l
}

func (l *life) start(t *testing.T) {
	t.Helper()
	for _, h := range l.hooks {
		if err := h.OnStart(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func until(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !met(); {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestAsk: a request made at the desk goes to the leader and its answer comes
// back; one whose caller leaves is forgotten by the machine.
func TestAsk(t *testing.T) {
	c := lifecycle.New()
	defer c.Stop(context.Background())
	addr, silent := core(t, c)
	d, l := desk(t, c, addr)
	l.start(t)
	until(t, "never in touch", d.Ready)
	a := d.Do(context.Background(), gateway.Request{Method: "GET", Path: "/v1/table"})
	if a.Status != 200 || string(a.Body) != "the table" {
		t.Errorf("got %d %s", a.Status, a.Body)
	}
	ctx, leave := context.WithCancel(context.Background())
	got := make(chan gateway.Response, 1)
	c.Go(func(<-chan struct{}) {
		got <- d.Do(ctx, gateway.Request{Method: "GET", Path: "/v1/jobs", Budget: 30000})
	})
	until(t, "the request did not reach the leader", func() bool { return silent.Load() > 0 })
	waiting := func() int {
		var n int
		if !d.Inspect(context.Background(), func(m *gateway.Gateway) { n = m.InFlight() + len(d.callers) }) {
			t.Fatal("no look at the machine")
		}
		return n
	}
	if n := waiting(); n != 2 {
		t.Errorf("%d in hand, want the request and its caller", n)
	}
	leave()
	if a = <-got; a.Status != 504 {
		t.Errorf("a caller that left got %d", a.Status)
	}
	until(t, "the request of a caller that left is still in hand", func() bool { return waiting() == 0 })
}

// TestAskRefused: out of touch, full and ended are said so at once.
func TestAskRefused(t *testing.T) {
	c := lifecycle.New()
	d, l := desk(t, c, "127.0.0.1:1")
	for d.loop.Post(func(*gateway.Gateway) {}) {
	}
	ask := func() gateway.Response {
		return d.Do(context.Background(), gateway.Request{Method: "GET", Path: "/v1/table", Budget: 30000})
	}
	if a := ask(); a.Status != 503 || a.RetryAfter == 0 || !strings.Contains(string(a.Body), "busy") {
		t.Errorf("a full desk answered %d %s", a.Status, a.Body)
	}
	l.start(t)
	until(t, "the desk does not come to its errands", func() bool { return d.Inspect(context.Background(), func(*gateway.Gateway) {}) })
	if a := ask(); a.Status != 503 || !strings.Contains(string(a.Body), "out-of-touch") {
		t.Errorf("out of touch: %d %s", a.Status, a.Body)
	}
	if err := c.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if a := ask(); a.Status != 504 {
		t.Errorf("a desk that ended answered %d", a.Status)
	}
}
