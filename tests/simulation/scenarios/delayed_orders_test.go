package scenarios

import (
	"encoding/json"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

// retryingClient sends one order at a time and gives each attempt up after a timeout.
type retryingClient struct {
	cluster *simulation.Cluster
	timeout int64
}

// send sends an order to one address, once.
func (o retryingClient) send(addr, method, path string, body []byte, done func(status int)) {
	o.cluster.Request(o.cluster.Clients.Process, addr, method, path, body, o.timeout, func(status int, _ []byte) { done(status) })
}

// sendUntilAnswered sends an order to one address after another until its outcome is
// known.
func (o retryingClient) sendUntilAnswered(addrs []string, method, path string, body []byte, done func(status int)) {
	o.send(addrs[0], method, path, body, func(status int) {
		if status == 0 || status >= 500 || status == http.StatusTooManyRequests {
			o.cluster.After(50, func() { o.sendUntilAnswered(append(addrs[1:], addrs[0]), method, path, body, done) })
			return
		}
		done(status)
	})
}

// delayedOrder is a run in which an order is sent, given up, sent again, acknowledged
// and withdrawn, while its first copy is still on its way.
type delayedOrder struct {
	// delay delays the first copy from the moment it is called until undone.
	delay func(w *simulation.Cluster) (undo func())
	// offset is how long after that the order is sent, in ms; it may be negative.
	offset int64
	seed   int64
	// at lists the addresses in the order they are tried; the first one gets the
	// first copy, the others all that follows.
	addresses func(w *simulation.Cluster) (addrs []string)
}

// gatewayAddrs are the addresses of the gateways.
func gatewayAddrs(cluster *simulation.Cluster) []string {
	var addrs []string
	for _, g := range cluster.Gateways {
		addrs = append(addrs, g.Addr)
	}
	return addrs
}

// followerFirst are the addresses of the servers, one that follows first.
func followerFirst(cluster *simulation.Cluster) []string {
	var addrs []string
	for _, server := range cluster.Servers {
		if server != cluster.Leader() {
			addrs = append(addrs, server.Addr)
		}
	}
	return append(addrs, cluster.Leader().Addr)
}

// leaderFirst are the addresses of the servers, the leader's first.
func leaderFirst(cluster *simulation.Cluster) []string {
	list := followerFirst(cluster)
	return append(list[len(list)-1:], list[:len(list)-1]...)
}

const (
	delayStart      = 7000
	delayDuration   = 6000
	observationTime = 3000
)

// run returns the cluster a few seconds after the first copy was let go. script sends
// the orders and calls acked once the last one is acknowledged; late says that this
// was before the first copy was let go.
func (s delayedOrder) run(script func(o retryingClient, addrs []string, acked func())) (cluster *simulation.Cluster, late bool) {
	cluster = simulation.NewCluster(s.seed, simulation.FastNetwork())
	addrs, ackedAt, releasedAt := []string{}, int64(0), int64(0)
	cluster.At(delayStart-10, func() { addrs = s.addresses(cluster) })
	cluster.At(delayStart+s.offset, func() {
		script(retryingClient{cluster, 1000}, addrs, func() { ackedAt = cluster.Now })
	})
	cluster.At(delayStart, func() {
		undo := s.delay(cluster)
		cluster.After(delayDuration, func() {
			releasedAt = cluster.Now
			undo()
		})
	})
	cluster.Run(delayStart + delayDuration + observationTime)
	return cluster, ackedAt > 0 && ackedAt < releasedAt
}

// play has an order given up, sent again elsewhere and withdrawn.
func (s delayedOrder) sendAndWithdraw(method, path string, body []byte, undoMethod string) (cluster *simulation.Cluster, late bool) {
	return s.run(func(o retryingClient, addrs []string, acked func()) {
		o.send(addrs[0], method, path, body, func(int) {
			o.sendUntilAnswered(addrs[1:], method, path, body, func(int) {
				o.sendUntilAnswered(addrs[1:], undoMethod, path, nil, func(int) { acked() })
			})
		})
	})
}

// sendAndCancel gives an order up and cancels it, without sending it again.
func (s delayedOrder) sendAndCancel(method, path string, body []byte) (cluster *simulation.Cluster, late bool) {
	return s.run(func(o retryingClient, addrs []string, acked func()) {
		o.send(addrs[0], method, path, body, func(status int) {
			if status != http.StatusOK && status != http.StatusCreated {
				o.sendUntilAnswered(addrs[1:], http.MethodDelete, path, nil, func(int) { acked() })
			}
		})
	})
}

// stallGatewayLinks stalls the gateways' links into a server.
func stallGatewayLinks(cluster *simulation.Cluster, server *simulation.Server) func() {
	undos := []func(){}
	for _, g := range cluster.Gateways {
		undos = append(undos, cluster.StallLink(g.Process, server.Process))
	}
	return simulation.UndoAll(undos)
}

// orderDelay is a way in which an order's first copy is delayed.
type orderDelay struct {
	name string
	// at lists the addresses that an order is sent to, the delayed one first.
	at    func(w *simulation.Cluster) (addrs []string)
	delay func(w *simulation.Cluster) (undo func())
	// undecided says that the leader takes an order in and cannot have it decided.
	undecided bool
}

// orderDelays are all of them.
var orderDelays = []orderDelay{
	{name: "asked at the leader, which is frozen", at: leaderFirst, delay: func(w *simulation.Cluster) func() { return w.Freeze(w.Leader().Process) }},
	{name: "asked at a follower, which is frozen", at: followerFirst, delay: func(w *simulation.Cluster) func() { return w.Freeze(w.Process(followerFirst(w)[0])) }},
	{name: "asked at a follower, its link to the leader stalled", at: followerFirst, delay: func(w *simulation.Cluster) func() {
		return w.StallLink(w.Process(followerFirst(w)[0]), w.Leader().Process)
	}},
	{name: "leader frozen", at: gatewayAddrs, delay: func(w *simulation.Cluster) func() { return w.Freeze(w.Leader().Process) }},
	{undecided: true, name: "leader cut off, links to it stalled", at: gatewayAddrs, delay: func(w *simulation.Cluster) func() {
		lead := w.Leader()
		return simulation.UndoAll([]func(){stallGatewayLinks(w, lead), w.Isolate(lead.Process, true, false)})
	}},
	{name: "links to the leader stalled", at: gatewayAddrs, delay: func(w *simulation.Cluster) func() { return stallGatewayLinks(w, w.Leader()) }},
	{name: "gateway frozen", at: gatewayAddrs, delay: func(w *simulation.Cluster) func() { return w.Freeze(w.Gateways[0].Process) }},
	{name: "links from one gateway stalled", at: gatewayAddrs, delay: func(w *simulation.Cluster) func() {
		undos := []func(){}
		for _, k := range w.Servers {
			undos = append(undos, w.StallLink(w.Gateways[0].Process, k.Process))
		}
		return simulation.UndoAll(undos)
	}},
	{undecided: true, name: "followers' links to the leader stalled, gateways cut from it", at: gatewayAddrs, delay: func(w *simulation.Cluster) func() {
		lead, undos := w.Leader(), []func(){}
		for _, k := range w.Servers {
			if k != lead {
				undos = append(undos, w.StallLink(k.Process, lead.Process))
			}
		}
		for _, g := range w.Gateways {
			undos = append(undos, w.BlockLink(g.Process, lead.Process, true))
		}
		return simulation.UndoAll(undos)
	}},
}

// eachDelayedOrder runs every delay with the order sent at offsets round its start.
func eachDelayedOrder(t *testing.T, seeds int64, play func(t *testing.T, s delayedOrder) (late bool)) {
	for _, loss := range orderDelays {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			late := 0
			for i, offset := range []int64{-4, -2, 1, 20, 90, 200, 400, 700} {
				for seed := int64(1); seed <= seeds; seed++ {
					if play(t, delayedOrder{loss.delay, offset, seed*100 + int64(i), loss.at}) {
						late++
					}
				}
			}
			if late == 0 {
				t.Error("no order was withdrawn while its first copy was on its way: the test shows nothing")
			}
			t.Logf("%d orders were withdrawn before their first copy arrived", late)
		})
	}
}

// checkOpen wants the domain that was reopened in a run to be open, if that was before the
// first copy of the order to drain it was let go.
func (s delayedOrder) checkOpen(t *testing.T, cluster *simulation.Cluster, late bool) {
	t.Helper()
	leader := cluster.Leader()
	if leader == nil {
		t.Fatalf("seed %d, offset %d: nobody leads in the end", s.seed, s.offset)
	}
	for _, drain := range leader.Machine.State().Drains {
		if late && drain.Stage.Cordons() {
			t.Errorf("seed %d, offset %d: the domain that was reopened is %s again", s.seed, s.offset, drain.Stage)
		}
	}
}

// checkCancelled wants the job that was cancelled in a run to be so, likewise.
func (s delayedOrder) checkCancelled(t *testing.T, cluster *simulation.Cluster, key identifier.JobKey, late bool) {
	t.Helper()
	leader := cluster.Leader()
	if leader == nil {
		t.Fatalf("seed %d, offset %d: nobody leads in the end", s.seed, s.offset)
	}
	j := leader.Machine.State().Jobs[key]
	if late && j != nil && j.EndState != state.Cancelled {
		t.Errorf("seed %d, offset %d: the job that was cancelled is %s", s.seed, s.offset, j.State())
	}
}

// lateJob is a job that is cancelled while its submission is on its way.
const lateJob identifier.JobKey = "gilde/late"

// lateJobText is the job as it is submitted.
func lateJobText(t *testing.T) []byte {
	t.Helper()
	body, err := json.Marshal(map[string]any{"pending": "default", "steps": []map[string]any{{"name": "s", "tasks": 1, "spanMs": 60000}}})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestDelayedDrainOrder: an order to drain a domain is sent, given up after a second,
// sent again, acknowledged and withdrawn; then its first copy, delayed in a frozen
// process or on a stalled link, arrives. The domain stays open.
func TestDelayedDrainOrder(t *testing.T) {
	t.Parallel()
	eachDelayedOrder(t, 2, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw(http.MethodPut, endpoint.DrainPath("east"), nil, http.MethodDelete)
		s.checkOpen(t, cluster, late)
		return late
	})
}

// TestDelayedReopenOrder is the same for an order to reopen and a later one to drain:
// the domain stays drained.
func TestDelayedReopenOrder(t *testing.T) {
	t.Parallel()
	eachDelayedOrder(t, 1, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw(http.MethodDelete, endpoint.DrainPath("east"), nil, http.MethodPut)
		down := 0
		for _, c := range cluster.Leader().Machine.State().Drains {
			if c.Stage.Cordons() {
				down++
			}
		}
		if late && down != 1 {
			t.Errorf("seed %d, offset %d: the domain that was drained is open again", s.seed, s.offset)
		}
		return late
	})
}

// TestDelayedJob: a job is submitted, given up, and cancelled while nobody knows of it;
// then its first copy arrives. It does not run.
func TestDelayedJob(t *testing.T) {
	t.Parallel()
	body := lateJobText(t)
	eachDelayedOrder(t, 1, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndCancel(http.MethodPut, endpoint.JobPath(lateJob), body)
		s.checkCancelled(t, cluster, lateJob, late)
		return late
	})
}
