package agentd

import (
	"context"
	"testing"
	"time"

	"orchidward/internal/api/identifier"
	"orchidward/internal/daemon/lifecycle"
)

// TestCancelledHeartbeatNeverHandled checks that a heartbeat whose caller was told that the
// agent has not heard of it is never handled, also not when the loop comes to it later.
func TestCancelledHeartbeatNeverHandled(t *testing.T) {
	const cancelled, next identifier.Incarnation = "given-up", "the-next"
	group := lifecycle.New()
	controlPlane, addr := startControlPlane(t, group)
	d, life := newTestDaemon(t, group, addr)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, ok := d.Heartbeat(cancelledContext(ctx), heartbeat(cancelled, 0)); ok {
		t.Error("a heartbeat was answered before the loop began")
	}

	life.start(ctx, t)
	deadline := time.Now().Add(reportTimeout)
	sendUntilReported := func(incarnation identifier.Incarnation, failure string) {
		t.Helper()
		for seq := uint64(1); !controlPlane.reported(incarnation); seq++ {
			if _, ok := d.Heartbeat(ctx, heartbeat(incarnation, seq)); !ok || time.Now().After(deadline) {
				t.Fatal(failure)
			}
		}
	}
	sendUntilReported(next, "the next incarnation was not reported to the control plane")
	if controlPlane.reported(cancelled) {
		t.Fatal("a heartbeat that was given up was reported to the control plane")
	}
	// Had it been handled, its incarnation would count as replaced and never be reported.
	sendUntilReported(cancelled, "a heartbeat that was given up was heard of: its incarnation counts as past")
	if err := group.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}
