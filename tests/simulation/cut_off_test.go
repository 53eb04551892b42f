package simulation

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"

	"orchidward/internal/state"
)

// cutOffAway is how long a server of the control plane is cut off, in ms.
const cutOffAway = 20000

// walker sends orders as the operators' tool does: to one server after another,
// each given a second, with a pause that grows after each that had no answer.
type walker struct {
	world *World
	// spans are the times from an order's first send to its acknowledgement.
	spans []int64
	// refused are answers that say no to a valid order.
	refused []int
}

const (
	walkerPatience = 1000
	walkerGap      = 100
	walkerMostGap  = 800
)

// order sends one until it is acknowledged; done hears of it.
func (o *walker) order(addrs []string, verb, path string, body []byte, done func()) {
	o.try(addrs, 0, o.world.Now, verb, path, body, done)
}

func (o *walker) try(addrs []string, n int, since int64, verb, path string, body []byte, done func()) {
	w := o.world
	w.http(w.callers.node, addrs[n%len(addrs)], verb, path, body, walkerPatience, func(status int, _ []byte) {
		switch {
		case status == 200:
			o.spans = append(o.spans, w.Now-since)
			done()
			return
		case status >= 400 && status < 500 && status != 429:
			o.refused = append(o.refused, status)
			done()
			return
		}
		gap := min(walkerGap<<min(n, 6), walkerMostGap)
		w.after(int64(gap), func() { o.try(addrs, n+1, since, verb, path, body, done) })
	})
}

// keeperAddrs lists the keepers, one of them first.
func keeperAddrs(w *World, first string) []string {
	var addrs []string
	addrs = append(addrs, first)
	for _, k := range w.keepers {
		if k.addr != first {
			addrs = append(addrs, k.addr)
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

// cutOffWays are the ways in which one server loses the others.
var cutOffWays = map[string]func(w *World, k *keep) (undo func()){
	"both ways":        func(w *World, k *keep) func() { return w.coreCut(k, true, true) },
	"it is not heard":  func(w *World, k *keep) func() { return w.coreCut(k, true, false) },
	"it does not hear": func(w *World, k *keep) func() { return w.coreCut(k, false, true) },
	"frozen":           func(w *World, k *keep) func() { return w.hold(k.node) },
	"twice, a second between": func(w *World, k *keep) func() {
		return w.again(k, 9000, 1000)
	},
	"healed while an election runs": func(w *World, k *keep) func() {
		return w.again(k, 600, 250)
	},
}

// again cuts a keeper from the others for a while and heals it for another, by
// turns until undone.
func (w *World) again(k *keep, cut, whole int64) func() {
	over := false
	var turn func()
	turn = func() {
		if over {
			return
		}
		heal := w.coreCut(k, true, true)
		w.after(cut, func() {
			heal()
			w.after(whole, turn)
		})
	}
	turn()
	return func() { over = true }
}

// coreCut cuts a keeper from the other keepers; callers and gates reach it.
func (w *World) coreCut(k *keep, out, in bool) func() {
	undos := []func(){}
	for _, other := range w.keepers {
		if other != k && out {
			undos = append(undos, w.sever(k.node, other.node, false))
		}
		if other != k && in {
			undos = append(undos, w.sever(other.node, k.node, false))
		}
	}
	return all(undos)
}

// TestServerCutOff cuts one server of the control plane off for 20 s, the leader or a
// follower, and keeps sending it orders first, and reads. It confirms none that
// the others do not have, refuses none, and reads nothing old; the orders are
// acknowledged by the others within a few tries.
func TestServerCutOff(t *testing.T) {
	t.Parallel()
	for name, cut := range cutOffWays {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", name, leads), func(t *testing.T) {
				t.Parallel()
				spans, fast := []int64{}, 0
				for seed := int64(1); seed <= 4; seed++ {
					s, early := cutOff(t, seed, cut, leads)
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

// cutOff plays one cut and returns the spans of all orders sent meanwhile, and
// how many answers the server gave at once that it can't take them.
func cutOff(t *testing.T, seed int64, cut func(w *World, k *keep) (undo func()), leads bool) (spans []int64, fast int) {
	site := Gilde()
	site.Elect = 250
	w := NewWorld(seed, site)
	o := &walker{world: w}
	last := &settledOrder{}
	w.at(7000, func() {
		victim := w.leader()
		for _, k := range w.keepers {
			if !leads && k != w.leader() {
				victim = k
			}
		}
		undo := cut(w, victim)
		w.after(cutOffAway, undo)
		addrs := keeperAddrs(w, victim.addr)
		var next func(n int)
		next = func(n int) {
			verb := []string{"PUT", "DELETE"}[n%2]
			last.underWay, last.count = true, n+1
			o.order(addrs, verb, "/v1/closings/east", nil, func() {
				last.underWay, last.closed = false, verb == "PUT"
				w.after(300, func() {
					if w.Now < 7000+cutOffAway+2000 {
						next(n + 1)
					}
				})
			})
		}
		w.after(seed*37, func() { next(0) })
		w.readAt(t, victim, last, &fast)
	})
	w.Run(7000 + cutOffAway + 6000)
	if len(o.refused) > 0 {
		t.Errorf("seed %d: valid orders were refused: %v", seed, o.refused)
	}
	return o.spans, fast
}

// settledOrder is the last order that was acknowledged, for a reader to go by:
// how many were sent, whether one is under way, and what the last one says.
type settledOrder struct {
	count            int
	underWay, closed bool
}

// closedZone tells whether a list of closings says that a zone is closed.
func closedZone(t *testing.T, body []byte) bool {
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

// readAt reads the closings at a server again and again, and counts the answers
// that say at once that it can't serve. What it does serve must be no older than
// the last order that was acknowledged before the read was sent.
func (w *World) readAt(t *testing.T, k *keep, last *settledOrder, fast *int) {
	until := w.Now + cutOffAway
	var next func()
	next = func() {
		sent, before := w.Now, *last
		w.http(w.callers.node, k.addr, "GET", "/v1/closings", nil, walkerPatience, func(status int, body []byte) {
			if status == 503 && w.Now-sent < 50 {
				*fast++
			}
			if status == 200 && before == *last && !last.underWay && closedZone(t, body) != last.closed {
				t.Errorf("at %d: read %s, and after the last order that was acknowledged the zone is closed: %v", w.Now, body, last.closed)
			}
			if w.Now < until {
				w.after(170, next)
			}
		})
	}
	next()
}
