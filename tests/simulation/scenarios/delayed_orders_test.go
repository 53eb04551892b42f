package scenarios

import (
	"encoding/json"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

// retryingClient sends one order at a time and gives each try up after a second.
type retryingClient struct {
	cluster *simulation.Cluster
	timeout int64
}

// send tries an order at one address, once.
func (o retryingClient) send(addr, verb, path string, body []byte, done func(status int)) {
	o.cluster.Request(o.cluster.Clients.Process, addr, verb, path, body, o.timeout, func(status int, _ []byte) { done(status) })
}

// sendUntilAnswered sends an order again, at one address after another, until it has a
// clear answer.
func (o retryingClient) sendUntilAnswered(addrs []string, verb, path string, body []byte, done func(status int)) {
	o.send(addrs[0], verb, path, body, func(status int) {
		if status == 0 || status >= 500 || status == 429 {
			o.cluster.After(50, func() { o.sendUntilAnswered(append(addrs[1:], addrs[0]), verb, path, body, done) })
			return
		}
		done(status)
	})
}

// delayedOrder is a scene in which an order is sent, given up, sent again, taken
// and withdrawn, while its first copy is still on its way.
type delayedOrder struct {
	// delay holds the first copy up from the moment it is called until undone.
	delay func(w *simulation.Cluster) (undo func())
	// offset is when the order is sent after that, in ms; it may be negative.
	offset int64
	seed   int64
	// at lists the addresses in the order they are tried; the first one gets the
	// first copy, the others all that follows.
	addresses func(w *simulation.Cluster) (addrs []string)
}

// gatewayAddrs are the addresses of the gates.
func gatewayAddrs(cluster *simulation.Cluster) []string {
	var addrs []string
	for _, g := range cluster.Gateways {
		addrs = append(addrs, g.Addr)
	}
	return addrs
}

// followerFirst are the addresses of the keepers, one that follows first.
func followerFirst(cluster *simulation.Cluster) []string {
	var addrs []string
	for _, server := range cluster.Servers {
		if server != cluster.Leader() {
			addrs = append(addrs, server.Addr)
		}
	}
	return append(addrs, cluster.Leader().Addr)
}

// leaderFirst are the addresses of the keepers, the leader's first.
func leaderFirst(cluster *simulation.Cluster) []string {
	list := followerFirst(cluster)
	return append(list[len(list)-1:], list[:len(list)-1]...)
}

const (
	delayStart      = 7000
	delayDuration   = 6000
	observationTime = 3000
)

// run plays the scene and returns the world a few seconds after the first copy
// came free. Script sends the orders and calls settled once the last one is
// acknowledged; late says that this was before the first copy came free.
func (s delayedOrder) run(script func(o retryingClient, addrs []string, settled func())) (cluster *simulation.Cluster, late bool) {
	cluster = simulation.NewCluster(s.seed, simulation.FastNetwork())
	addrs, settledAt, freedAt := []string{}, int64(0), int64(0)
	cluster.At(delayStart-10, func() { addrs = s.addresses(cluster) })
	cluster.At(delayStart+s.offset, func() {
		script(retryingClient{cluster, 1000}, addrs, func() { settledAt = cluster.Now })
	})
	cluster.At(delayStart, func() {
		undo := s.delay(cluster)
		cluster.After(delayDuration, func() {
			freedAt = cluster.Now
			undo()
		})
	})
	cluster.Run(delayStart + delayDuration + observationTime)
	return cluster, settledAt > 0 && settledAt < freedAt
}

// play has an order given up, sent again elsewhere and withdrawn.
func (s delayedOrder) sendAndWithdraw(verb, path string, body []byte, undoVerb string) (cluster *simulation.Cluster, late bool) {
	return s.run(func(o retryingClient, addrs []string, settled func()) {
		o.send(addrs[0], verb, path, body, func(int) {
			o.sendUntilAnswered(addrs[1:], verb, path, body, func(int) {
				o.sendUntilAnswered(addrs[1:], undoVerb, path, nil, func(int) { settled() })
			})
		})
	})
}

// sendAndCancel has an order given up and cancelled, and never sent again.
func (s delayedOrder) sendAndCancel(verb, path string, body []byte) (cluster *simulation.Cluster, late bool) {
	return s.run(func(o retryingClient, addrs []string, settled func()) {
		o.send(addrs[0], verb, path, body, func(status int) {
			if status != 200 && status != 201 {
				o.sendUntilAnswered(addrs[1:], "DELETE", path, nil, func(int) { settled() })
			}
		})
	})
}

// stallGatewayLinks stalls the gates' links into a keeper.
func stallGatewayLinks(cluster *simulation.Cluster, server *simulation.Server) func() {
	undos := []func(){}
	for _, g := range cluster.Gateways {
		undos = append(undos, cluster.StallLink(g.Process, server.Process))
	}
	return simulation.UndoAll(undos)
}

// orderDelays are the ways in which an order's first copy is held up.
var orderDelays = []struct {
	name  string
	at    func(w *simulation.Cluster) (addrs []string)
	delay func(w *simulation.Cluster) (undo func())
}{
	{"asked at the leader, which is frozen", leaderFirst, func(w *simulation.Cluster) func() { return w.Freeze(w.Leader().Process) }},
	{"asked at a follower, which is frozen", followerFirst, func(w *simulation.Cluster) func() { return w.Freeze(w.Process(followerFirst(w)[0])) }},
	{"asked at a follower, its link to the leader stalled", followerFirst, func(w *simulation.Cluster) func() {
		return w.StallLink(w.Process(followerFirst(w)[0]), w.Leader().Process)
	}},
	{"leader frozen", gatewayAddrs, func(w *simulation.Cluster) func() { return w.Freeze(w.Leader().Process) }},
	{"leader cut off, links to it stalled", gatewayAddrs, func(w *simulation.Cluster) func() {
		lead := w.Leader()
		return simulation.UndoAll([]func(){stallGatewayLinks(w, lead), w.Isolate(lead.Process, true, false)})
	}},
	{"links to the leader stalled", gatewayAddrs, func(w *simulation.Cluster) func() { return stallGatewayLinks(w, w.Leader()) }},
	{"gate frozen", gatewayAddrs, func(w *simulation.Cluster) func() { return w.Freeze(w.Gateways[0].Process) }},
	{"links from one gate stalled", gatewayAddrs, func(w *simulation.Cluster) func() {
		undos := []func(){}
		for _, k := range w.Servers {
			undos = append(undos, w.StallLink(w.Gateways[0].Process, k.Process))
		}
		return simulation.UndoAll(undos)
	}},
	{"followers' links to the leader stalled, gates cut from it", gatewayAddrs, func(w *simulation.Cluster) func() {
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

// eachDelayedOrder plays every delay with the order sent at offsets round it.
func eachDelayedOrder(t *testing.T, seeds int64, play func(t *testing.T, s delayedOrder) (late bool)) {
	for _, how := range orderDelays {
		t.Run(how.name, func(t *testing.T) {
			t.Parallel()
			late := 0
			for i, offset := range []int64{-4, -2, 1, 20, 90, 200, 400, 700} {
				for seed := int64(1); seed <= seeds; seed++ {
					if play(t, delayedOrder{how.delay, offset, seed*100 + int64(i), how.at}) {
						late++
					}
				}
			}
			if late == 0 {
				t.Error("no order was withdrawn while its first copy was on its way: the scene shows nothing")
			}
			t.Logf("%d orders were withdrawn before their first copy came free", late)
		})
	}
}

// TestDelayedDrainOrder: an order to close a zone is sent, given up after a second,
// sent again, taken and withdrawn; then its first copy, held up in a frozen
// process or on a stalled link, comes free. The zone stays open.
func TestDelayedDrainOrder(t *testing.T) {
	t.Parallel()
	eachDelayedOrder(t, 2, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw("PUT", "/v1/closings/east", nil, "DELETE")
		for _, c := range cluster.Leader().Machine.State().Drains {
			if late && c.Stage.Cordons() {
				t.Errorf("seed %d, offset %d: the zone that was taken back is %s again", s.seed, s.offset, c.Stage)
			}
		}
		return late
	})
}

// TestDelayedReopenOrder is the same for a withdrawal that is overtaken by a later
// order to close: the zone stays closed.
func TestDelayedReopenOrder(t *testing.T) {
	t.Parallel()
	eachDelayedOrder(t, 1, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw("DELETE", "/v1/closings/east", nil, "PUT")
		down := 0
		for _, c := range cluster.Leader().Machine.State().Drains {
			if c.Stage.Cordons() {
				down++
			}
		}
		if late && down != 1 {
			t.Errorf("seed %d, offset %d: the zone that was closed is open again", s.seed, s.offset)
		}
		return late
	})
}

// TestDelayedJob: a job is handed in, given up, and cancelled while nobody knows
// of it; then its first copy comes free. It does not run.
func TestDelayedJob(t *testing.T) {
	t.Parallel()
	body, err := json.Marshal(map[string]any{"pending": "default", "steps": []map[string]any{{"name": "s", "tasks": 1, "spanMs": 60000}}})
	if err != nil {
		t.Fatal(err)
	}
	eachDelayedOrder(t, 1, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndCancel("PUT", "/v1/jobs/gilde/late", body)
		j := cluster.Leader().Machine.State().Jobs[identifier.NewJobKey("gilde", "late")]
		if late && j != nil && j.EndState != state.Cancelled {
			t.Errorf("seed %d, offset %d: the job that was cancelled is %s", s.seed, s.offset, fmt.Sprint(j.State()))
		}
		return late
	})
}
