package membership

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/state"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// cutOffDuration is how long a server of the control plane is isolated, in ms.
const cutOffDuration = 20000

// operatorTool sends orders as orchidctl does: to one server after another, each with a
// timeout of a second, with a backoff after each failed attempt.
type operatorTool struct {
	cluster *simulation.Cluster
	// spans are the times in ms from an order's first attempt to its acknowledgement.
	spans []int64
	// rejected are the statuses with which valid orders were rejected.
	rejected []int
}

const (
	operatorTimeout    = 1000
	operatorBackoff    = 100
	operatorMaxBackoff = 800
)

// send sends an order until it is acknowledged or rejected, and then calls done.
func (o *operatorTool) send(addrs []string, method, path string, body []byte, done func()) {
	o.attempt(addrs, 0, o.cluster.Now, method, path, body, done)
}

func (o *operatorTool) attempt(addrs []string, n int, since int64, method, path string, body []byte, done func()) {
	cluster := o.cluster
	cluster.Request(cluster.Clients.Process, addrs[n%len(addrs)], method, path, body, operatorTimeout, func(status int, _ []byte) {
		switch {
		case status == http.StatusOK:
			o.spans = append(o.spans, cluster.Now-since)
			done()
			return
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			o.rejected = append(o.rejected, status)
			done()
			return
		}
		gap := min(operatorBackoff<<min(n, 6), operatorMaxBackoff)
		cluster.After(int64(gap), func() { o.attempt(addrs, n+1, since, method, path, body, done) })
	})
}

// serverAddrs lists the servers' addresses, the given one first.
func serverAddrs(cluster *simulation.Cluster, first string) []string {
	var addrs []string
	addrs = append(addrs, first)
	for _, server := range cluster.Servers {
		if server.Addr != first {
			addrs = append(addrs, server.Addr)
		}
	}
	return addrs
}

// isolations are the ways in which one server is isolated from the others.
var isolations = map[string]func(c *simulation.Cluster, s *simulation.Server) (undo func()){
	"both ways": func(c *simulation.Cluster, s *simulation.Server) func() { return isolateFromServers(c, s, true, true) },
	"outgoing":  func(c *simulation.Cluster, s *simulation.Server) func() { return isolateFromServers(c, s, true, false) },
	"incoming":  func(c *simulation.Cluster, s *simulation.Server) func() { return isolateFromServers(c, s, false, true) },
	"frozen":    func(c *simulation.Cluster, s *simulation.Server) func() { return c.Freeze(s.Process) },
	"twice, a second between": func(c *simulation.Cluster, s *simulation.Server) func() {
		return isolateRepeatedly(c, s, 9000, 1000)
	},
	"healed during an election": func(c *simulation.Cluster, s *simulation.Server) func() {
		return isolateRepeatedly(c, s, 600, 250)
	},
}

// isolateRepeatedly alternately isolates a server for blocked ms and reconnects it for
// connected ms, until undone.
func isolateRepeatedly(cluster *simulation.Cluster, server *simulation.Server, blocked, connected int64) func() {
	over := false
	var turn func()
	turn = func() {
		if over {
			return
		}
		heal := isolateFromServers(cluster, server, true, true)
		cluster.After(blocked, func() {
			heal()
			cluster.After(connected, turn)
		})
	}
	turn()
	return func() { over = true }
}

// isolateFromServers blocks the links between a server and the others; clients and
// gateways still reach it.
func isolateFromServers(cluster *simulation.Cluster, server *simulation.Server, out, in bool) func() {
	undos := []func(){}
	for _, other := range cluster.Servers {
		if other != server && out {
			undos = append(undos, cluster.BlockLink(server.Process, other.Process, false))
		}
		if other != server && in {
			undos = append(undos, cluster.BlockLink(other.Process, server.Process, false))
		}
	}
	return simulation.UndoAll(undos)
}

// TestServerCutOff isolates one server, the leader or a follower, for 20 s, and sends all
// orders and reads to it first. The server must not acknowledge an order that the others do
// not have, reject an order, or return a stale read; the others must acknowledge each order
// within a few attempts.
func TestServerCutOff(t *testing.T) {
	t.Parallel()
	for name, cut := range isolations {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", name, leads), func(t *testing.T) {
				t.Parallel()
				spans, fast := []int64{}, 0
				for seed := int64(1); seed <= 4; seed++ {
					s, early := cutOffServer(t, seed, cut, leads)
					spans, fast = append(spans, s...), fast+early
				}
				if len(spans) < 60 {
					t.Errorf("too little evidence: %d orders", len(spans))
				}
				median := simulationtest.Percentile(spans, 50)
				p99 := simulationtest.Percentile(spans, 99)
				worst := simulationtest.Percentile(spans, 100)
				t.Logf("%d orders: p50 %d, p99 %d, worst %d ms; %d responses with 503 within 50 ms",
					len(spans), median, p99, worst, fast)
				if worst > 2000 {
					t.Errorf("an order took %d ms", worst)
				}
				if name != "frozen" && fast == 0 {
					t.Error("the isolated server never responded with 503 at once")
				}
			})
		}
	}
}

// cutOffServer isolates a server once. It returns the spans of all orders sent meanwhile,
// and how often the server responded at once that it cannot serve.
func cutOffServer(t *testing.T, seed int64, cut func(cluster *simulation.Cluster, server *simulation.Server) (undo func()), leads bool) (spans []int64, fast int) {
	spec := simulation.FastNetwork()
	spec.ElectionTimeout = 250
	cluster := simulation.NewCluster(seed, spec)
	o := &operatorTool{cluster: cluster}
	last := &ackedOrder{}
	cluster.At(7000, func() {
		victim := cluster.Leader()
		for _, server := range cluster.Servers {
			if !leads && server != cluster.Leader() {
				victim = server
			}
		}
		undo := cut(cluster, victim)
		cluster.After(cutOffDuration, undo)
		addrs := serverAddrs(cluster, victim.Addr)
		var next func(n int)
		next = func(n int) {
			method := []string{http.MethodPut, http.MethodDelete}[n%2]
			last.inFlight, last.count = true, n+1
			o.send(addrs, method, endpoint.DrainPath("east"), nil, func() {
				last.inFlight, last.closed = false, method == http.MethodPut
				cluster.After(300, func() {
					if cluster.Now < 7000+cutOffDuration+2000 {
						next(n + 1)
					}
				})
			})
		}
		cluster.After(seed*37, func() { next(0) })
		readDrains(cluster, t, victim, last, &fast)
	})
	cluster.Run(7000 + cutOffDuration + 6000)
	if len(o.rejected) > 0 {
		t.Errorf("seed %d: valid orders were rejected: %v", seed, o.rejected)
	}
	return o.spans, fast
}

// ackedOrder is the last acknowledged order: how many orders were sent, whether one is in
// flight, and whether the last acknowledged one drains the domain.
type ackedOrder struct {
	count            int
	inFlight, closed bool
}

// drainReported reports whether a response lists a domain as drained.
func drainReported(t *testing.T, body []byte) bool {
	var yes bool
	var doc struct {
		Closings []struct {
			Stage state.Stage `json:"stage"`
		} `json:"closings"`
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		t.Errorf("invalid list of drains: %s", body)
	}
	for _, c := range doc.Closings {
		yes = yes || c.Stage.Cordons()
	}
	return yes
}

// readDrains reads the drains at a server repeatedly, and counts in fast how often the
// server responds at once that it cannot serve. A successful read must not be older than
// the last order that was acknowledged before the read was sent.
func readDrains(cluster *simulation.Cluster, t *testing.T, server *simulation.Server, last *ackedOrder, fast *int) {
	until := cluster.Now + cutOffDuration
	var next func()
	next = func() {
		sent, before := cluster.Now, *last
		cluster.Request(cluster.Clients.Process, server.Addr, http.MethodGet, endpoint.DrainsPath, nil, operatorTimeout, func(status int, body []byte) {
			if status == http.StatusServiceUnavailable && cluster.Now-sent < 50 {
				*fast++
			}
			if status == http.StatusOK && before == *last && !last.inFlight && drainReported(t, body) != last.closed {
				t.Errorf("at %d: read %s, but after the last acknowledged order the domain is drained: %v", cluster.Now, body, last.closed)
			}
			if cluster.Now < until {
				cluster.After(170, next)
			}
		})
	}
	next()
}
