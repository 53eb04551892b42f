package serverd

import (
	"context"
	"testing"
	"time"

	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/gateway"
)

// TestDepart: a leader that is told to stop hands on before its hook returns;
// requests made at it meanwhile and after are settled by the next leader.
func TestDepart(t *testing.T) {
	c, seeds, list, lives := lifecycle.New(), free(3), []*Daemon{}, []*life{}
	defer c.Stop(context.Background())
	for _, addr := range seeds {
		d, l := desk(t, c, addr, seeds)
		d.LeaveOnStop(l)
		l.start(t)
		list, lives = append(list, d), append(lives, l)
	}
	ctx, end := context.WithTimeout(context.Background(), 60*time.Second)
	defer end()
	job := gateway.Request{Method: "PUT", Path: "/v1/jobs/a/j", Body: []byte(`{"pending":"default","steps":[{"name":"s"}]}`)}
	if a := settled(ctx, list[0], job); a.Status != 201 && a.Status != 200 {
		t.Fatalf("before: %d %s", a.Status, a.Body)
	}
	old := leading(ctx, list)
	if old < 0 {
		t.Fatal("nobody leads")
	}
	hooks := lives[old].hooks
	if err := hooks[len(hooks)-1].OnStop(ctx); err != nil {
		t.Fatal(err)
	}
	if role(ctx, list[old]) == raft.Leader {
		t.Error("the hook returned, and the server still leads")
	}
	if next := leading(ctx, list); next < 0 || next == old {
		t.Errorf("server %d leads after server %d left", next, old)
	}
	if a := settled(ctx, list[old], job); a.Status != 200 {
		t.Errorf("asked at the server that left: %d %s", a.Status, a.Body)
	}
}

func role(ctx context.Context, d *Daemon) raft.Role {
	var r raft.Role
	d.Inspect(ctx, func(m *controlplane.Server) {
		if m.Raft() != nil {
			r = m.Raft().Role()
		}
	})
	return r
}

// leading is which of them leads, -1 when none does before the context ends.
func leading(ctx context.Context, list []*Daemon) int {
	for ctx.Err() == nil {
		for i, d := range list {
			if role(ctx, d) == raft.Leader {
				return i
			}
		}
	}
	return -1
}
