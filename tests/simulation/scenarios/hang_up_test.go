package scenarios

import (
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// hangUpBudget is how long the caller says that it waits, in ms.
	hangUpBudget = 700
	// maxAfterHangUp is how long after its caller has hung up an order may still take
	// effect, in ms: two hops of some 5 ms, the moment for which the leader keeps it, a
	// tick, and the replication of its entry.
	maxAfterHangUp = 60
	// maxUndecided is the same for an order that is in the log of a leader which cannot
	// have it decided: nobody can take it back. It takes effect once the leader is in
	// touch again, unless another one is elected before.
	maxUndecided = 1000
	// hangUpObserved is how long a run goes on after the order, in ms.
	hangUpObserved = 3000
)

// drainedBySome tells whether some server that runs has applied a drain of the domain.
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

// hangUpRun is one order whose caller hangs up: so many ms after it was sent, while
// its way is delayed for so many.
type hangUpRun struct {
	delay   func(w *simulation.Cluster) (undo func())
	addrs   func(w *simulation.Cluster) (addrs []string)
	lasts   int64
	offset  int64
	hangUp  int64
	seed    int64
	timeout int64
}

// play returns how long after the hang-up the order took effect; ok is false if it never
// did, or had before.
func (r hangUpRun) play() (after int64, ok bool) {
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

// noDelay leaves everything as it is.
func noDelay(*simulation.Cluster) (undo func()) { return func() {} }

// TestHangUp has the caller of an order to drain a domain hang up, and so give it up,
// while the order is on its way: to each door, through frozen processes and stalled
// connections, for less than the caller's time. The order takes effect before or in the
// next moments, or never.
func TestHangUp(t *testing.T) {
	t.Parallel()
	ways := append(orderDelays[:len(orderDelays):len(orderDelays)],
		orderDelay{name: "nothing, by way of a gateway", at: gatewayAddrs, delay: noDelay},
		orderDelay{name: "nothing, by way of a follower", at: followerFirst, delay: noDelay},
		orderDelay{name: "nothing, at the leader", at: leaderFirst, delay: noDelay},
	)
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			longest, late, played := int64(0), 0, 0
			for i, lasts := range []int64{100, 500, 650} {
				for j, hangUp := range []int64{1, 10, 100, 450} {
					for k, offset := range []int64{-4, 1} {
						run := hangUpRun{way.delay, way.at, lasts, offset, hangUp, int64(i*100 + j*10 + k + 1), hangUpBudget}
						played++
						if after, ok := run.play(); ok {
							late++
							longest = max(longest, after)
						}
					}
				}
			}
			t.Logf("%d of %d orders took effect after the hang-up, %d ms after it at most", late, played, longest)
			most := int64(maxAfterHangUp)
			if way.undecided {
				most = maxUndecided
			}
			if longest > most {
				t.Errorf("an order took effect %d ms after its caller had hung up, want %d at most", longest, most)
			}
		})
	}
}
