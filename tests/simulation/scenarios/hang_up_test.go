package scenarios

import (
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// hangUpBudget is the timeout that the caller announces, in ms.
	hangUpBudget = 700
	// maxAfterHangUp is how long after its caller has hung up an order may still take
	// effect, in ms: two hops of about 5 ms, the time for which the leader holds it back, a
	// tick, and the replication of its entry.
	maxAfterHangUp = 60
	// maxUndecided is the same for an order in the log of a leader that cannot commit it:
	// such an order cannot be withdrawn. It takes effect once the leader regains contact,
	// unless another leader is elected before that.
	maxUndecided = 1000
	// hangUpObserved is how long the cluster is observed after the order, in ms.
	hangUpObserved = 3000
)

// drainedBySome reports whether any running server has applied a drain of the domain.
func drainedBySome(cluster *simulation.Cluster, domain string) bool {
	for _, server := range cluster.Servers {
		if server.Machine == nil {
			continue
		}
		for _, drain := range server.Machine.State().Drains {
			if string(drain.Domain) == domain {
				return true
			}
		}
	}
	return false
}

// hangUpRun is one order whose caller hangs up hangUp ms after sending it, while its path
// is delayed for lasts ms.
type hangUpRun struct {
	delay   func(c *simulation.Cluster) (undo func())
	addrs   func(c *simulation.Cluster) (addrs []string)
	lasts   int64
	offset  int64
	hangUp  int64
	seed    int64
	timeout int64
}

// run returns how long after the hang-up the order took effect; ok is false if it never
// did, or did so before.
func (r hangUpRun) run() (after int64, ok bool) {
	spec := simulation.FastNetwork()
	spec.Runners = 0
	cluster := simulation.NewCluster(r.seed, spec)
	var addrs []string
	cluster.At(delayStart-10, func() { addrs = r.addrs(cluster) })
	cluster.At(delayStart, func() { cluster.After(r.lasts, r.delay(cluster)) })
	hungUpAt := int64(delayStart) + r.offset + r.hangUp
	cluster.At(delayStart+r.offset, func() {
		call := simulation.HTTPCall{
			From:        cluster.Clients.Process,
			Addr:        addrs[0],
			Method:      http.MethodPut,
			Path:        endpoint.DrainPath("east"),
			Body:        []byte(`{"unseen":true}`),
			Timeout:     r.timeout,
			HangUpAfter: r.hangUp,
		}
		cluster.Call(call, func(int, []byte) {})
	})
	cluster.Poll(1, func() (again bool) {
		if !drainedBySome(cluster, "east") {
			return true
		}
		after, ok = cluster.Now-hungUpAt, cluster.Now > hungUpAt
		return false
	})
	cluster.Run(delayStart + hangUpObserved)
	return after, ok
}

// noDelay injects no delay.
func noDelay(*simulation.Cluster) (undo func()) { return func() {} }

// TestHangUp has the caller of an order to drain a domain hang up, and thereby abandon the
// order, while it is in flight: to a gateway, a follower or the leader, through frozen
// processes and stalled connections, for less than the caller's timeout. The order must
// take effect before or shortly after the hang-up, or never.
func TestHangUp(t *testing.T) {
	t.Parallel()
	variants := append(orderDelays[:len(orderDelays):len(orderDelays)],
		orderDelay{name: "no delay, through a gateway", at: gatewayAddrs, delay: noDelay},
		orderDelay{name: "no delay, through a follower", at: followerFirst, delay: noDelay},
		orderDelay{name: "no delay, at the leader", at: leaderFirst, delay: noDelay},
	)
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			longest, late, runs := int64(0), 0, 0
			for i, lasts := range []int64{100, 500, 650} {
				for j, hangUp := range []int64{1, 10, 100, 450} {
					for k, offset := range []int64{-4, 1} {
						order := hangUpRun{variant.delay, variant.at, lasts, offset, hangUp, int64(i*100 + j*10 + k + 1), hangUpBudget}
						runs++
						if after, ok := order.run(); ok {
							late++
							longest = max(longest, after)
						}
					}
				}
			}
			t.Logf("%d of %d orders took effect after the hang-up, at most %d ms after it", late, runs, longest)
			limit := int64(maxAfterHangUp)
			if variant.undecided {
				limit = maxUndecided
			}
			if longest > limit {
				t.Errorf("an order took effect %d ms after its caller had hung up, want at most %d", longest, limit)
			}
		})
	}
}
