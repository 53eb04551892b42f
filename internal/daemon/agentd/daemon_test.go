package agentd

import (
	"context"
	"testing"

	"orchidward/internal/agent"
	"orchidward/internal/daemon/lifecycle"
)

// TestDaemon checks that heartbeats are answered even if the control plane does not respond,
// that the agent's reports are sent, and that a daemon that is not running answers nothing.
func TestDaemon(t *testing.T) {
	group := lifecycle.New()
	controlPlane, addr := startControlPlane(t, group)
	d, life := newTestDaemon(t, group, addr)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, ok := d.Heartbeat(cancelledContext(ctx), agent.Heartbeat{Runner: "x"}); ok {
		t.Error("a heartbeat was answered before the loop started")
	}

	life.start(ctx, t)
	orders, ok := d.Heartbeat(ctx, heartbeat("a", 0))
	if !ok || orders.Lease != 0 || len(orders.Start) > 0 || orders.NextHeartbeat != 500 {
		t.Errorf("without a control plane: %v %+v", ok, orders)
	}
	for !controlPlane.anyRequest() {
		if ctx.Err() != nil {
			t.Fatal("the runner was not reported to the control plane")
		}
	}
	if !d.RunnerLeft(ctx, "a") || !d.Inspect(ctx, func(*agent.Agent) {}) {
		t.Error("the loop executes no calls")
	}

	if err := group.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if _, ok = d.Heartbeat(ctx, agent.Heartbeat{Runner: "a"}); ok {
		t.Error("a heartbeat was answered after the loop ended")
	}
}
