package simulation

import (
	"encoding/json"
	"fmt"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/state"
)

// operator sends one order at a time and gives each try up after a second.
type operator struct {
	world    *World
	patience int64
}

// send tries an order at one address, once.
func (o operator) send(addr, verb, path string, body []byte, done func(status int)) {
	o.world.http(o.world.callers.node, addr, verb, path, body, o.patience, func(status int, _ []byte) { done(status) })
}

// insist sends an order again, at one address after another, until it has a
// clear answer.
func (o operator) insist(addrs []string, verb, path string, body []byte, done func(status int)) {
	o.send(addrs[0], verb, path, body, func(status int) {
		if status == 0 || status >= 500 || status == 429 {
			o.world.after(50, func() { o.insist(append(addrs[1:], addrs[0]), verb, path, body, done) })
			return
		}
		done(status)
	})
}

// staleOrder is a scene in which an order is sent, given up, sent again, taken
// and withdrawn, while its first copy is still on its way.
type staleOrder struct {
	// delay holds the first copy up from the moment it is called until undone.
	delay func(w *World) (undo func())
	// offset is when the order is sent after that, in ms; it may be negative.
	offset int64
	seed   int64
	// at lists the addresses in the order they are tried; the first one gets the
	// first copy, the others all that follows.
	at func(w *World) (addrs []string)
}

// gatesOf are the addresses of the gates.
func gatesOf(w *World) []string {
	var addrs []string
	for _, g := range w.gates {
		addrs = append(addrs, g.addr)
	}
	return addrs
}

// followerFirst are the addresses of the keepers, one that follows first.
func followerFirst(w *World) []string {
	var addrs []string
	for _, k := range w.keepers {
		if k != w.leader() {
			addrs = append(addrs, k.addr)
		}
	}
	return append(addrs, w.leader().addr)
}

// leaderFirst are the addresses of the keepers, the leader's first.
func leaderFirst(w *World) []string {
	list := followerFirst(w)
	return append(list[len(list)-1:], list[:len(list)-1]...)
}

const (
	staleOrderAt    = 7000
	staleOrderAway  = 6000
	staleOrderJudge = 3000
)

// run plays the scene and returns the world a few seconds after the first copy
// came free. Script sends the orders and calls settled once the last one is
// acknowledged; late says that this was before the first copy came free.
func (s staleOrder) run(script func(o operator, addrs []string, settled func())) (w *World, late bool) {
	w = NewWorld(s.seed, Gilde())
	addrs, settledAt, freedAt := []string{}, int64(0), int64(0)
	w.at(staleOrderAt-10, func() { addrs = s.at(w) })
	w.at(staleOrderAt+s.offset, func() {
		script(operator{w, 1000}, addrs, func() { settledAt = w.Now })
	})
	w.at(staleOrderAt, func() {
		undo := s.delay(w)
		w.after(staleOrderAway, func() {
			freedAt = w.Now
			undo()
		})
	})
	w.Run(staleOrderAt + staleOrderAway + staleOrderJudge)
	return w, settledAt > 0 && settledAt < freedAt
}

// play has an order given up, sent again elsewhere and withdrawn.
func (s staleOrder) play(verb, path string, body []byte, undoVerb string) (w *World, late bool) {
	return s.run(func(o operator, addrs []string, settled func()) {
		o.send(addrs[0], verb, path, body, func(int) {
			o.insist(addrs[1:], verb, path, body, func(int) {
				o.insist(addrs[1:], undoVerb, path, nil, func(int) { settled() })
			})
		})
	})
}

// playUnknown has an order given up and cancelled, and never sent again.
func (s staleOrder) playUnknown(verb, path string, body []byte) (w *World, late bool) {
	return s.run(func(o operator, addrs []string, settled func()) {
		o.send(addrs[0], verb, path, body, func(status int) {
			if status != 200 && status != 201 {
				o.insist(addrs[1:], "DELETE", path, nil, func(int) { settled() })
			}
		})
	})
}

// linksInto stalls the gates' links into a keeper.
func linksInto(w *World, k *keep) func() {
	undos := []func(){}
	for _, g := range w.gates {
		undos = append(undos, w.stall(g.node, k.node))
	}
	return all(undos)
}

// staleOrderDelays are the ways in which an order's first copy is held up.
var staleOrderDelays = []struct {
	name  string
	at    func(w *World) (addrs []string)
	delay func(w *World) (undo func())
}{
	{"asked at the leader, which is frozen", leaderFirst, func(w *World) func() { return w.hold(w.leader().node) }},
	{"asked at a follower, which is frozen", followerFirst, func(w *World) func() { return w.hold(w.nodes[followerFirst(w)[0]]) }},
	{"asked at a follower, its link to the leader stalled", followerFirst, func(w *World) func() {
		return w.stall(w.nodes[followerFirst(w)[0]], w.leader().node)
	}},
	{"leader frozen", gatesOf, func(w *World) func() { return w.hold(w.leader().node) }},
	{"leader cut off, links to it stalled", gatesOf, func(w *World) func() {
		lead := w.leader()
		return all([]func(){linksInto(w, lead), w.apart(lead.node, true, false)})
	}},
	{"links to the leader stalled", gatesOf, func(w *World) func() { return linksInto(w, w.leader()) }},
	{"gate frozen", gatesOf, func(w *World) func() { return w.hold(w.gates[0].node) }},
	{"links from one gate stalled", gatesOf, func(w *World) func() {
		undos := []func(){}
		for _, k := range w.keepers {
			undos = append(undos, w.stall(w.gates[0].node, k.node))
		}
		return all(undos)
	}},
	{"followers' links to the leader stalled, gates cut from it", gatesOf, func(w *World) func() {
		lead, undos := w.leader(), []func(){}
		for _, k := range w.keepers {
			if k != lead {
				undos = append(undos, w.stall(k.node, lead.node))
			}
		}
		for _, g := range w.gates {
			undos = append(undos, w.sever(g.node, lead.node, true))
		}
		return all(undos)
	}},
}

// eachStaleOrder plays every delay with the order sent at offsets round it.
func eachStaleOrder(t *testing.T, seeds int64, play func(t *testing.T, s staleOrder) (late bool)) {
	for _, how := range staleOrderDelays {
		t.Run(how.name, func(t *testing.T) {
			t.Parallel()
			late := 0
			for i, offset := range []int64{-4, -2, 1, 20, 90, 200, 400, 700} {
				for seed := int64(1); seed <= seeds; seed++ {
					if play(t, staleOrder{how.delay, offset, seed*100 + int64(i), how.at}) {
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

// TestStaleClosing: an order to close a zone is sent, given up after a second,
// sent again, taken and withdrawn; then its first copy, held up in a frozen
// process or on a stalled link, comes free. The zone stays open.
func TestStaleClosing(t *testing.T) {
	t.Parallel()
	eachStaleOrder(t, 2, func(t *testing.T, s staleOrder) bool {
		w, late := s.play("PUT", "/v1/closings/east", nil, "DELETE")
		for _, c := range w.leader().mach.State().Drains {
			if late && c.Stage.Cordons() {
				t.Errorf("seed %d, offset %d: the zone that was taken back is %s again", s.seed, s.offset, c.Stage)
			}
		}
		return late
	})
}

// TestStaleReopening is the same for a withdrawal that is overtaken by a later
// order to close: the zone stays closed.
func TestStaleReopening(t *testing.T) {
	t.Parallel()
	eachStaleOrder(t, 1, func(t *testing.T, s staleOrder) bool {
		w, late := s.play("DELETE", "/v1/closings/east", nil, "PUT")
		down := 0
		for _, c := range w.leader().mach.State().Drains {
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

// TestStaleJob: a job is handed in, given up, and cancelled while nobody knows
// of it; then its first copy comes free. It does not run.
func TestStaleJob(t *testing.T) {
	t.Parallel()
	body, err := json.Marshal(map[string]any{"pending": "default", "steps": []map[string]any{{"name": "s", "tasks": 1, "spanMs": 60000}}})
	if err != nil {
		t.Fatal(err)
	}
	eachStaleOrder(t, 1, func(t *testing.T, s staleOrder) bool {
		w, late := s.playUnknown("PUT", "/v1/jobs/gilde/late", body)
		j := w.leader().mach.State().Jobs[identifier.NewJobKey("gilde", "late")]
		if late && j != nil && j.EndState != state.Cancelled {
			t.Errorf("seed %d, offset %d: the job that was cancelled is %s", s.seed, s.offset, fmt.Sprint(j.State()))
		}
		return late
	})
}
