package controlplane_test

import (
	"net/http"
	"testing"

	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const unknownDomainDrainPath = "/v1/closings/nowhere"

// drains counts the drains in the cluster's state.
func (c *testCluster) drains() int { return len(c.server.State().Drains) }

// sendDrain sends an order to drain a domain that no runner has reported from.
func (c *testCluster) sendDrain() (id uint64) {
	return c.sendToServer(wire.Request{Method: http.MethodPut, Path: unknownDomainDrainPath, Body: []byte(`{"unseen":true}`), Budget: requestTimeout})
}

// withdraw withdraws a request from the operator.
func (c *testCluster) withdraw(id uint64) { c.sendToServer(*wire.NewWithdrawal(0, id)) }

// TestWithdrawnOrderIsNotTaken checks that a leader drops an order that is withdrawn
// during its delay, even if the leader was suspended in that time, and that the order
// takes effect if it is not withdrawn or withdrawn too late.
func TestWithdrawnOrderIsNotTaken(t *testing.T) {
	for _, test := range []struct {
		name string
		// runFor is how long the leader runFor between order and withdrawal, stalls how
		// long it is then suspended.
		runFor     clock.Monotonic
		suspendFor clock.Monotonic
		want       int
	}{
		{"at once", 1, 0, 0},
		{"within the delay", 20, 0, 0},
		{"after a stall", 5, 400, 0},
		{"after the delay", 60, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, 1, 0)
			id := cluster.sendDrain()
			cluster.run(test.runFor)
			if test.suspendFor > 0 {
				cluster.now += test.suspendFor
				cluster.tick()
			}
			cluster.withdraw(id)
			cluster.run(200)
			if got := cluster.drains(); got != test.want {
				t.Errorf("%d drains, want %d", got, test.want)
			}
			if answered := cluster.responses[id] != nil; answered != (test.want == 1) {
				t.Errorf("answered: %t", answered)
			}
		})
	}
}

// TestDelayedOrdersKeepTheirOrder checks that orders are carried out in order of arrival,
// and that the withdrawal of one does not affect the others.
func TestDelayedOrdersKeepTheirOrder(t *testing.T) {
	cluster := newTestCluster(t, 1, 0)
	first := cluster.sendDrain()
	withdrawn := cluster.sendToServer(wire.Request{Method: http.MethodDelete, Path: unknownDomainDrainPath, Budget: requestTimeout})
	last := cluster.sendDrain()
	cluster.withdraw(withdrawn)
	cluster.run(200)
	for _, id := range []uint64{first, last} {
		if response := cluster.responses[id]; response == nil || response.Status != http.StatusOK {
			t.Errorf("order %d got response %+v", id, response)
		}
	}
	for _, drain := range cluster.server.State().Drains {
		if drain.Stage.Reopening() {
			t.Errorf("the domain is %s because of a withdrawn order", drain.Stage)
		}
	}
	if cluster.drains() != 1 {
		t.Errorf("%d drains, want 1", cluster.drains())
	}
}

// TestStoppingLeaderReturnsDelayedOrders checks that a stopping leader rejects the orders
// that it has not carried out.
func TestStoppingLeaderReturnsDelayedOrders(t *testing.T) {
	cluster := newTestCluster(t, 1, 0)
	id := cluster.sendDrain()
	cluster.run(1)
	cluster.server.Leave()
	cluster.sendServerOutput()
	cluster.run(200)
	response := cluster.responses[id]
	if response == nil || !response.NotLeader || cluster.drains() != 0 {
		t.Errorf("response %+v, %d drains", response, cluster.drains())
	}
}

// TestDelayedOrdersBounded checks that a leader delays orders only up to a bound, in
// number and in bytes, and answers those beyond it at once.
func TestDelayedOrdersBounded(t *testing.T) {
	const tooMany = 300
	cluster := newTestCluster(t, 1, 0)
	large := cluster.sendToServer(wire.Request{Method: http.MethodPut, Path: unknownDomainDrainPath, Body: make([]byte, 5<<10), Budget: requestTimeout})
	var ids []uint64
	for range tooMany {
		ids = append(ids, cluster.sendToServer(wire.Request{Method: http.MethodDelete, Path: unknownDomainDrainPath, Budget: requestTimeout}))
	}
	cluster.run(15)
	if response := cluster.responses[large]; response == nil || response.Status != http.StatusBadRequest {
		t.Errorf("a large body got response %+v", response)
	}
	answered := 0
	for _, id := range ids {
		if cluster.responses[id] != nil {
			answered++
		}
	}
	if answered != tooMany-256 {
		t.Errorf("%d of %d orders were answered at once, want only those beyond 256", answered, tooMany)
	}
	cluster.run(100)
	for _, id := range ids {
		if cluster.responses[id] == nil {
			t.Fatalf("order %d got no response", id)
		}
	}
}
