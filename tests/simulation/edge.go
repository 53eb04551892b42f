// A gate in the world, and the HTTP exchanges that go through it.

package simulation

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
)

type edge struct {
	*node
	w    *World
	mach *gateway.Gateway
	back map[uint64]func(status int, body []byte)
	next uint64
}

func (w *World) addGate(name, zone string) *edge {
	g := &edge{node: w.add(name, zone), w: w}
	w.gates = append(w.gates, g)
	return g
}

func (g *edge) begin() {
	g.life++
	g.up, g.begun = true, g.w.Now
	g.back = map[uint64]func(int, []byte){}
	g.mach = gateway.New(gateway.Config{Addr: g.addr, HTTP: g.addr, Domain: identifier.Domain(g.zone), Seeds: g.w.seeds, Seed: g.w.rnd.Int63()}, 0)
	g.tick(g.life)
}

func (g *edge) tick(life int) {
	if g.life != life || !g.up {
		return
	}
	if !g.frozen {
		g.mach.Tick(g.w.mono(g.node))
		g.out()
	}
	g.w.after(int64(gateway.TickInterval), func() { g.tick(life) })
}

func (g *edge) out() {
	o := g.mach.TakeOutput()
	g.w.frames(g.node, o.Messages)
	for _, a := range o.Responses {
		if back := g.back[a.ID]; back != nil {
			delete(g.back, a.ID)
			back(a.Status, a.Body)
		}
	}
}

// http sends a request from one process to a gate, or to a keeper. done is
// called once, with status 0 when nothing came within the wait.
func (w *World) http(from *node, to, verb, path string, body []byte, wait int64, done func(status int, body []byte)) {
	over := false
	settle := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	w.post(from, wait, func() { settle(0, nil) })
	n := w.nodes[to]
	if n == nil {
		return
	}
	r := gateway.Request{Method: verb, Path: path, Body: body, Budget: clock.Millis(wait)}
	answer := func(status int, body []byte) {
		w.fly(n, from, func() { settle(status, body) })
	}
	for _, g := range w.gates {
		if g.node == n {
			w.fly(from, n, func() { g.serve(r, answer) })
		}
	}
	for _, k := range w.keepers {
		if k.node == n {
			w.fly(from, n, func() { k.serve(r, answer) })
		}
	}
}

// serve takes a request made at this gate.
func (g *edge) serve(r gateway.Request, answer func(status int, body []byte)) {
	g.next++
	r.ID = g.next
	g.back[r.ID] = answer
	g.mach.HandleRequest(r, g.w.mono(g.node))
	g.out()
}
