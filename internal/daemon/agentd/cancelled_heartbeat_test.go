package agentd

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"orchidward/internal/agent"
	"orchidward/internal/api/job"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

// TestGivenUp: a heartbeat whose caller was told that the agent has not heard of
// it is never heard of, also not when the desk gets to it later.
func TestGivenUp(t *testing.T) {
	c := lifecycle.New()
	core, err := link.Listen("127.0.0.1:0", c)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	told := ""
	core.Serve(func(_ wire.Peer, msg wire.Message) {
		if msg.Request != nil {
			mu.Lock()
			told += string(msg.Request.Body)
			mu.Unlock()
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
	room := job.Demand{Cores: 4, Mem: 1024}
	if _, ok := d.Heartbeat(left, agent.Heartbeat{Runner: "given-up", Domain: "north", Rack: "k", Capacity: room}); ok {
		t.Error("a heartbeat was answered before the desk began")
	}
	for _, h := range l.hooks {
		if err = h.OnStart(ctx); err != nil {
			t.Fatal(err)
		}
	}
	heard := func(name string) bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(told, name)
	}
	until := time.Now().Add(15 * time.Second)
	for seq := uint64(1); !heard("the-next"); seq++ {
		if _, ok := d.Heartbeat(ctx, agent.Heartbeat{Runner: "the-next", Seq: seq, Domain: "north", Rack: "k", Capacity: room}); !ok || time.Now().After(until) {
			t.Fatal("the core was not told of the next life")
		}
	}
	if heard("given-up") {
		t.Fatal("a heartbeat that was given up was told to the core")
	}
	// Had it been heard of, its life would now be a former one for good.
	for seq := uint64(1); !heard("given-up"); seq++ {
		if _, ok := d.Heartbeat(ctx, agent.Heartbeat{Runner: "given-up", Seq: seq, Domain: "north", Rack: "k", Capacity: room}); !ok || time.Now().After(until) {
			t.Fatal("a heartbeat that was given up was heard of: its life counts as past")
		}
	}
	if err = c.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}
