package agentd

import (
	"context"
	"testing"
	"time"

	"orchidward/internal/api/identifier"
	"orchidward/internal/daemon/lifecycle"
)

// TestCancelledHeartbeatNeverHandled checks that a heartbeat is never handled once its caller
// was told that the agent did not process it, even if its call is still in the loop's queue.
func TestCancelledHeartbeatNeverHandled(t *testing.T) {
	const cancelled, next identifier.Incarnation = "given-up", "the-next"
	group := lifecycle.New()
	controlPlane, addr := startControlPlane(t, group)
	d, life := newTestDaemon(t, group, addr)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, ok := d.Heartbeat(cancelledContext(ctx), heartbeat(cancelled, 0)); ok {
		t.Error("a heartbeat was answered before the loop started")
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
		t.Fatal("an abandoned heartbeat was reported to the control plane")
	}
	// If it had been handled, its incarnation would be superseded and never reported.
	sendUntilReported(cancelled, "an abandoned heartbeat was handled: its incarnation is superseded")
	if err := group.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}
