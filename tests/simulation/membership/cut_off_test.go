package membership

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"

	"orchidward/internal/state"
	"orchidward/tests/simulation"
)

// cutOffDuration is how long a server of the control plane is cut off, in ms.
const cutOffDuration = 20000

// operatorTool sends orders as the operators' tool does: to one server after another,
// each given a second, with a pause that grows after each that had no answer.
type operatorTool struct {
	cluster *simulation.Cluster
	// spans are the times from an order's first send to its acknowledgement.
	spans []int64
	// refused are answers that say no to a valid order.
	refused []int
}

const (
	operatorTimeout    = 1000
	operatorBackoff    = 100
	operatorMaxBackoff = 800
)

// order sends one until it is acknowledged; done hears of it.
func (o *operatorTool) send(addrs []string, verb, path string, body []byte, done func()) {
	o.attempt(addrs, 0, o.cluster.Now, verb, path, body, done)
}

func (o *operatorTool) attempt(addrs []string, n int, since int64, verb, path string, body []byte, done func()) {
	cluster := o.cluster
	cluster.Request(cluster.Clients.Process, addrs[n%len(addrs)], verb, path, body, operatorTimeout, func(status int, _ []byte) {
		switch {
		case status == 200:
			o.spans = append(o.spans, cluster.Now-since)
			done()
			return
		case status >= 400 && status < 500 && status != 429:
			o.refused = append(o.refused, status)
			done()
			return
		}
		gap := min(operatorBackoff<<min(n, 6), operatorMaxBackoff)
		cluster.After(int64(gap), func() { o.attempt(addrs, n+1, since, verb, path, body, done) })
	})
}

// serverAddrs lists the keepers, one of them first.
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

// percentile of a list of times.
func percentile(list []int64, percent int) int64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]int64(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// isolations are the ways in which one server loses the others.
var isolations = map[string]func(w *simulation.Cluster, k *simulation.Server) (undo func()){
	"both ways":        func(w *simulation.Cluster, k *simulation.Server) func() { return isolateFromServers(w, k, true, true) },
	"it is not heard":  func(w *simulation.Cluster, k *simulation.Server) func() { return isolateFromServers(w, k, true, false) },
	"it does not hear": func(w *simulation.Cluster, k *simulation.Server) func() { return isolateFromServers(w, k, false, true) },
	"frozen":           func(w *simulation.Cluster, k *simulation.Server) func() { return w.Freeze(k.Process) },
	"twice, a second between": func(w *simulation.Cluster, k *simulation.Server) func() {
		return isolateRepeatedly(w, k, 9000, 1000)
	},
	"healed while an election runs": func(w *simulation.Cluster, k *simulation.Server) func() {
		return isolateRepeatedly(w, k, 600, 250)
	},
}

// isolateRepeatedly cuts a keeper from the others for a while and heals it for another, by
// turns until undone.
func isolateRepeatedly(cluster *simulation.Cluster, server *simulation.Server, cut, whole int64) func() {
	over := false
	var turn func()
	turn = func() {
		if over {
			return
		}
		heal := isolateFromServers(cluster, server, true, true)
		cluster.After(cut, func() {
			heal()
			cluster.After(whole, turn)
		})
	}
	turn()
	return func() { over = true }
}

// isolateFromServers cuts a keeper from the other keepers; callers and gates reach it.
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

// TestServerCutOff cuts one server of the control plane off for 20 s, the leader or a
// follower, and keeps sending it orders first, and reads. It confirms none that
// the others do not have, refuses none, and reads nothing old; the orders are
// acknowledged by the others within a few tries.
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
				t.Logf("%d orders: p50 %d, p99 %d, worst %d ms; %d answers of 503 within 50 ms", len(spans), percentile(spans, 50), percentile(spans, 99), percentile(spans, 100), fast)
				if worst := percentile(spans, 100); worst > 2000 {
					t.Errorf("an order took %d ms", worst)
				}
				if name != "frozen" && fast == 0 {
					t.Error("the server that was cut off never said so at once")
				}
			})
		}
	}
}

// cutOffServer plays one cut and returns the spans of all orders sent meanwhile, and
// how many answers the server gave at once that it can't take them.
func cutOffServer(t *testing.T, seed int64, cut func(cluster *simulation.Cluster, server *simulation.Server) (undo func()), leads bool) (spans []int64, fast int) {
	site := simulation.FastNetwork()
	site.ElectionTimeout = 250
	cluster := simulation.NewCluster(seed, site)
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
			verb := []string{"PUT", "DELETE"}[n%2]
			last.underWay, last.count = true, n+1
			o.send(addrs, verb, "/v1/closings/east", nil, func() {
				last.underWay, last.closed = false, verb == "PUT"
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
	if len(o.refused) > 0 {
		t.Errorf("seed %d: valid orders were refused: %v", seed, o.refused)
	}
	return o.spans, fast
}

// ackedOrder is the last order that was acknowledged, for a reader to go by:
// how many were sent, whether one is under way, and what the last one says.
type ackedOrder struct {
	count            int
	underWay, closed bool
}

// drainReported tells whether a list of closings says that a zone is closed.
func drainReported(t *testing.T, body []byte) bool {
	var yes bool
	var doc struct {
		Closings []struct {
			Stage state.Stage `json:"stage"`
		} `json:"closings"`
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		t.Errorf("closings read as %s", body)
	}
	for _, c := range doc.Closings {
		yes = yes || c.Stage.Cordons()
	}
	return yes
}

// readDrains reads the closings at a server again and again, and counts the answers
// that say at once that it can't serve. What it does serve must be no older than
// the last order that was acknowledged before the read was sent.
func readDrains(cluster *simulation.Cluster, t *testing.T, server *simulation.Server, last *ackedOrder, fast *int) {
	until := cluster.Now + cutOffDuration
	var next func()
	next = func() {
		sent, before := cluster.Now, *last
		cluster.Request(cluster.Clients.Process, server.Addr, "GET", "/v1/closings", nil, operatorTimeout, func(status int, body []byte) {
			if status == 503 && cluster.Now-sent < 50 {
				*fast++
			}
			if status == 200 && before == *last && !last.underWay && drainReported(t, body) != last.closed {
				t.Errorf("at %d: read %s, and after the last order that was acknowledged the zone is closed: %v", cluster.Now, body, last.closed)
			}
			if cluster.Now < until {
				cluster.After(170, next)
			}
		})
	}
	next()
}
