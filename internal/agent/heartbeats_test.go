package agent

import "testing"

// TestPendingStartDropped checks that a start is never sent after it has expired, nor to a
// runner that has begun to drain, nor to another incarnation.
func TestPendingStartDropped(t *testing.T) {
	for _, test := range []struct {
		name       string
		next       func(a *Agent) Orders
		wantStarts int
	}{
		{"in time", func(a *Agent) Orders { return a.HandleHeartbeat(heartbeat(2), 1200) }, 1},
		{"late", func(a *Agent) Orders {
			a.Tick(2001)
			return a.HandleHeartbeat(heartbeat(2), 2002)
		}, 0},
		{"draining", func(a *Agent) Orders {
			b := heartbeat(2)
			b.Draining = true
			return a.HandleHeartbeat(b, 1200)
		}, 0},
		{"new incarnation", func(a *Agent) Orders { return a.HandleHeartbeat(firstHeartbeat("i-2"), 1200) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newTestAgent()
			a.HandleHeartbeat(heartbeat(1), 1000)
			_, poll := takeRequest(t, a)
			respond(t, a, "k1", poll.ID, startOf("q/b.0"), 1100)
			if orders := test.next(a); len(orders.Start) != test.wantStarts {
				t.Errorf("%d starts, want %d", len(orders.Start), test.wantStarts)
			}
		})
	}
}

// TestOldHeartbeatsIgnored checks that a late heartbeat, or one of a superseded incarnation,
// changes nothing and gets a response without orders.
func TestOldHeartbeatsIgnored(t *testing.T) {
	a := newTestAgent()
	a.HandleHeartbeat(heartbeat(5, "q/a.0"), 1000)
	_, poll := takeRequest(t, a)
	respond(t, a, "k1", poll.ID, stopOf("q/a.0"), 1010)
	if orders := a.HandleHeartbeat(heartbeat(4), 1100); len(orders.Stop) > 0 || orders.Lease > 0 {
		t.Errorf("response to a late heartbeat: %+v", orders)
	}
	if orders := a.HandleHeartbeat(heartbeat(6, "q/a.0"), 1200); len(orders.Stop) != 1 {
		t.Errorf("the stop order was lost: %+v", orders)
	}
	a.HandleHeartbeat(firstHeartbeat("i-2"), 1300)
	orders := a.HandleHeartbeat(heartbeat(7, "q/a.0"), 1400)
	if orders.Lease > 0 || len(orders.Start)+len(orders.Stop) > 0 {
		t.Errorf("response to a superseded incarnation: %+v", orders)
	}
}
