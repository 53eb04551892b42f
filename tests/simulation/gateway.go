// A gate in the world, and the HTTP exchanges that go through it.

package simulation

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
)

type Gateway struct {
	*Process
	cluster    *Cluster
	Machine *gateway.Gateway
	waiting map[uint64]func(status int, body []byte)
	nextRequest uint64
}

func (cluster *Cluster) AddGateway(name, zone string) *Gateway {
	g := &Gateway{Process: cluster.addProcess(name, zone), cluster: cluster}
	cluster.Gateways = append(cluster.Gateways, g)
	return g
}

func (g *Gateway) Start() {
	g.incarnation++
	g.Up, g.startedAt = true, g.cluster.Now
	g.waiting = map[uint64]func(int, []byte){}
	g.Machine = gateway.New(gateway.Config{Addr: g.Addr, HTTP: g.Addr, Domain: identifier.Domain(g.Domain), Seeds: g.cluster.Seeds, Seed: g.cluster.Random.Int63()}, 0)
	g.tick(g.incarnation)
}

func (g *Gateway) tick(life int) {
	if g.incarnation != life || !g.Up {
		return
	}
	if !g.Frozen {
		g.Machine.Tick(g.cluster.Monotonic(g.Process))
		g.flush()
	}
	g.cluster.After(int64(gateway.TickInterval), func() { g.tick(life) })
}

func (g *Gateway) flush() {
	o := g.Machine.TakeOutput()
	g.cluster.sendFrames(g.Process, o.Messages)
	for _, a := range o.Responses {
		if back := g.waiting[a.ID]; back != nil {
			delete(g.waiting, a.ID)
			back(a.Status, a.Body)
		}
	}
}

// Request sends a request from one process to a gate, or to a keeper. done is
// called once, with status 0 when nothing came within the wait.
func (cluster *Cluster) Request(from *Process, to, verb, path string, body []byte, wait int64, done func(status int, body []byte)) {
	over := false
	settle := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	cluster.post(from, wait, func() { settle(0, nil) })
	n := cluster.processes[to]
	if n == nil {
		return
	}
	r := gateway.Request{Method: verb, Path: path, Body: body, Budget: clock.Millis(wait)}
	answer := func(status int, body []byte) {
		cluster.transmit(n, from, func() { settle(status, body) })
	}
	for _, g := range cluster.Gateways {
		if g.Process == n {
			cluster.transmit(from, n, func() { g.handleRequest(r, answer) })
		}
	}
	for _, server := range cluster.Servers {
		if server.Process == n {
			cluster.transmit(from, n, func() { server.handleRequest(r, answer) })
		}
	}
}

// handleRequest takes a request made at this gate.
func (g *Gateway) handleRequest(r gateway.Request, answer func(status int, body []byte)) {
	g.nextRequest++
	r.ID = g.nextRequest
	g.waiting[r.ID] = answer
	g.Machine.HandleRequest(r, g.cluster.Monotonic(g.Process))
	g.flush()
}
