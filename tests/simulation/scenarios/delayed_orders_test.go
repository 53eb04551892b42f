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

// retryingClient sends one order at a time and abandons each attempt after a timeout.
type retryingClient struct {
	cluster *simulation.Cluster
	timeout int64
}

// send sends an order to one address, once.
func (o retryingClient) send(addr, method, path string, body []byte, done func(status int)) {
	o.cluster.Request(o.cluster.Clients.Process, addr, method, path, body, o.timeout, func(status int, _ []byte) { done(status) })
}

// sendUntilAnswered sends an order to one address after another until its outcome is known.
func (o retryingClient) sendUntilAnswered(addrs []string, method, path string, body []byte, done func(status int)) {
	o.send(addrs[0], method, path, body, func(status int) {
		if status == 0 || status >= 500 || status == http.StatusTooManyRequests {
			o.cluster.After(50, func() { o.sendUntilAnswered(append(addrs[1:], addrs[0]), method, path, body, done) })
			return
		}
		done(status)
	})
}

// delayedOrder is a run in which an order is sent, abandoned, resent, acknowledged and
// withdrawn, while its first copy is still in flight.
type delayedOrder struct {
	// delay delays the first copy from its call until undone.
	delay func(c *simulation.Cluster) (undo func())
	// offset is how long after that the order is sent, in ms; it may be negative.
	offset int64
	seed   int64
	// addresses lists the addresses in the order in which they are tried; the first one
	// gets the first copy, the others get all later requests.
	addresses func(c *simulation.Cluster) (addrs []string)
}

// gatewayAddrs lists the addresses of the gateways.
func gatewayAddrs(cluster *simulation.Cluster) []string {
	var addrs []string
	for _, g := range cluster.Gateways {
		addrs = append(addrs, g.Addr)
	}
	return addrs
}

// followerFirst lists the addresses of the servers, a follower's first and the leader's
// last.
func followerFirst(cluster *simulation.Cluster) []string {
	var addrs []string
	for _, server := range cluster.Servers {
		if server != cluster.Leader() {
			addrs = append(addrs, server.Addr)
		}
	}
	return append(addrs, cluster.Leader().Addr)
}

// leaderFirst lists the addresses of the servers, the leader's first.
func leaderFirst(cluster *simulation.Cluster) []string {
	list := followerFirst(cluster)
	return append(list[len(list)-1:], list[:len(list)-1]...)
}

const (
	delayStart      = 7000
	delayDuration   = 6000
	observationTime = 3000
)

// run returns the cluster a few seconds after the delay of the first copy ended. script
// sends the orders and calls acked once the last one is acknowledged; late reports whether
// this was before the delay ended.
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

// sendAndWithdraw sends an order, abandons it, resends it elsewhere and withdraws it.
func (s delayedOrder) sendAndWithdraw(method, path string, body []byte, undoMethod string) (cluster *simulation.Cluster, late bool) {
	return s.run(func(o retryingClient, addrs []string, acked func()) {
		o.send(addrs[0], method, path, body, func(int) {
			o.sendUntilAnswered(addrs[1:], method, path, body, func(int) {
				o.sendUntilAnswered(addrs[1:], undoMethod, path, nil, func(int) { acked() })
			})
		})
	})
}

// sendAndCancel sends an order, abandons it and cancels it, without resending it.
func (s delayedOrder) sendAndCancel(method, path string, body []byte) (cluster *simulation.Cluster, late bool) {
	return s.run(func(o retryingClient, addrs []string, acked func()) {
		o.send(addrs[0], method, path, body, func(status int) {
			if status != http.StatusOK && status != http.StatusCreated {
				o.sendUntilAnswered(addrs[1:], http.MethodDelete, path, nil, func(int) { acked() })
			}
		})
	})
}

// stallGatewayLinks stalls the links from the gateways to a server.
func stallGatewayLinks(cluster *simulation.Cluster, server *simulation.Server) func() {
	undos := []func(){}
	for _, g := range cluster.Gateways {
		undos = append(undos, cluster.StallLink(g.Process, server.Process))
	}
	return simulation.UndoAll(undos)
}

// orderDelay is a way to delay the first copy of an order.
type orderDelay struct {
	name string
	// at lists the addresses that the order is sent to, the delayed one first.
	at    func(c *simulation.Cluster) (addrs []string)
	delay func(c *simulation.Cluster) (undo func())
	// undecided is set if the leader appends the order to its log but cannot commit it.
	undecided bool
}

// orderDelays are all ways to delay an order.
var orderDelays = []orderDelay{
	{name: "sent to the leader, which is frozen", at: leaderFirst, delay: func(c *simulation.Cluster) func() { return c.Freeze(c.Leader().Process) }},
	{name: "sent to a follower, which is frozen", at: followerFirst, delay: func(c *simulation.Cluster) func() { return c.Freeze(c.Process(followerFirst(c)[0])) }},
	{name: "sent to a follower, its link to the leader stalled", at: followerFirst, delay: func(c *simulation.Cluster) func() {
		return c.StallLink(c.Process(followerFirst(c)[0]), c.Leader().Process)
	}},
	{name: "leader frozen", at: gatewayAddrs, delay: func(c *simulation.Cluster) func() { return c.Freeze(c.Leader().Process) }},
	{undecided: true, name: "links from the leader blocked, links to it stalled", at: gatewayAddrs, delay: func(c *simulation.Cluster) func() {
		lead := c.Leader()
		return simulation.UndoAll([]func(){stallGatewayLinks(c, lead), c.Isolate(lead.Process, true, false)})
	}},
	{name: "links to the leader stalled", at: gatewayAddrs, delay: func(c *simulation.Cluster) func() { return stallGatewayLinks(c, c.Leader()) }},
	{name: "gateway frozen", at: gatewayAddrs, delay: func(c *simulation.Cluster) func() { return c.Freeze(c.Gateways[0].Process) }},
	{name: "links from one gateway stalled", at: gatewayAddrs, delay: func(c *simulation.Cluster) func() {
		undos := []func(){}
		for _, server := range c.Servers {
			undos = append(undos, c.StallLink(c.Gateways[0].Process, server.Process))
		}
		return simulation.UndoAll(undos)
	}},
	{undecided: true, name: "followers' links to the leader stalled, gateways' links blocked", at: gatewayAddrs, delay: func(c *simulation.Cluster) func() {
		lead, undos := c.Leader(), []func(){}
		for _, server := range c.Servers {
			if server != lead {
				undos = append(undos, c.StallLink(server.Process, lead.Process))
			}
		}
		for _, g := range c.Gateways {
			undos = append(undos, c.BlockLink(g.Process, lead.Process, true))
		}
		return simulation.UndoAll(undos)
	}},
}

// eachDelayedOrder runs every delay with the order sent at several offsets from the start
// of the delay.
func eachDelayedOrder(t *testing.T, seeds int64, run func(t *testing.T, s delayedOrder) (late bool)) {
	for _, variant := range orderDelays {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			late := 0
			for i, offset := range []int64{-4, -2, 1, 20, 90, 200, 400, 700} {
				for seed := int64(1); seed <= seeds; seed++ {
					if run(t, delayedOrder{variant.delay, offset, seed*100 + int64(i), variant.at}) {
						late++
					}
				}
			}
			if late == 0 {
				t.Error("no order was withdrawn while its first copy was in flight: the test proves nothing")
			}
			t.Logf("%d orders were withdrawn before their first copy arrived", late)
		})
	}
}

// checkOpen requires that the domain that was reopened in a run is open, if the reopening
// was acknowledged before the delay of the first drain order ended.
func (s delayedOrder) checkOpen(t *testing.T, cluster *simulation.Cluster, late bool) {
	t.Helper()
	leader := cluster.Leader()
	if leader == nil {
		t.Fatalf("seed %d, offset %d: there is no leader at the end", s.seed, s.offset)
	}
	for _, drain := range leader.Machine.State().Drains {
		if late && drain.Stage.Cordons() {
			t.Errorf("seed %d, offset %d: the domain that was reopened is %s again", s.seed, s.offset, drain.Stage)
		}
	}
}

// checkCancelled requires that the job that was cancelled in a run is cancelled, under the
// same condition.
func (s delayedOrder) checkCancelled(t *testing.T, cluster *simulation.Cluster, key identifier.JobKey, late bool) {
	t.Helper()
	leader := cluster.Leader()
	if leader == nil {
		t.Fatalf("seed %d, offset %d: there is no leader at the end", s.seed, s.offset)
	}
	j := leader.Machine.State().Jobs[key]
	if late && j != nil && j.EndState != state.Cancelled {
		t.Errorf("seed %d, offset %d: the job that was cancelled is %s", s.seed, s.offset, j.State())
	}
}

// lateJob is a job that is cancelled while its submission is in flight.
const lateJob identifier.JobKey = "gilde/late"

// lateJobText is the body of the job's submission.
func lateJobText(t *testing.T) []byte {
	t.Helper()
	body, err := json.Marshal(map[string]any{"pending": "default", "steps": []map[string]any{{"name": "s", "tasks": 1, "spanMs": 60000}}})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestDelayedDrainOrder sends an order to drain a domain, which is abandoned after a second,
// resent, acknowledged and withdrawn; then its first copy, delayed in a frozen process or on
// a stalled link, arrives. The domain must stay open.
func TestDelayedDrainOrder(t *testing.T) {
	t.Parallel()
	eachDelayedOrder(t, 2, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw(http.MethodPut, endpoint.DrainPath("east"), nil, http.MethodDelete)
		s.checkOpen(t, cluster, late)
		return late
	})
}

// TestDelayedReopenOrder is the same for an order to reopen a domain and a later one to
// drain it: the domain must stay drained.
func TestDelayedReopenOrder(t *testing.T) {
	t.Parallel()
	eachDelayedOrder(t, 1, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw(http.MethodDelete, endpoint.DrainPath("east"), nil, http.MethodPut)
		cordoned := 0
		for _, c := range cluster.Leader().Machine.State().Drains {
			if c.Stage.Cordons() {
				cordoned++
			}
		}
		if late && cordoned != 1 {
			t.Errorf("seed %d, offset %d: the domain that was drained is open again", s.seed, s.offset)
		}
		return late
	})
}

// TestDelayedJob submits a job, abandons the submission, and cancels the job before the
// control plane knows it; then the first copy arrives. The job must not run.
func TestDelayedJob(t *testing.T) {
	t.Parallel()
	body := lateJobText(t)
	eachDelayedOrder(t, 1, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndCancel(http.MethodPut, endpoint.JobPath(lateJob), body)
		s.checkCancelled(t, cluster, lateJob, late)
		return late
	})
}
