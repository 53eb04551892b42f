package simulation

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/gateway"
)

// Gateway is a process that handles the requests of clients and runners.
type Gateway struct {
	*Process
	Machine *gateway.Gateway

	cluster *Cluster
	// responders are the callbacks of pending requests by request ID.
	responders  map[uint64]func(status int, body []byte)
	lastRequest uint64
}

// AddGateway adds a gateway without starting it.
func (c *Cluster) AddGateway(name, domain string) *Gateway {
	g := &Gateway{Process: c.addProcess(name, domain), cluster: c}
	c.Gateways = append(c.Gateways, g)
	return g
}

// Start starts the process.
func (g *Gateway) Start() {
	g.begin(g.cluster.Now)
	g.responders = map[uint64]func(int, []byte){}
	g.Machine = gateway.New(gateway.Config{
		Addr:   g.Addr,
		HTTP:   g.Addr,
		Domain: identifier.Domain(g.Domain),
		Seeds:  g.cluster.Seeds,
		Seed:   g.cluster.Random.Int63(),
	}, 0)
	g.cluster.tickWhileUp(g.Process, gateway.TickInterval, g.tick)
}

func (g *Gateway) tick() {
	g.Machine.Tick(g.cluster.Monotonic(g.Process))
	g.flush()
}

// flush sends the messages and responses that the state machine put out.
func (g *Gateway) flush() {
	output := g.Machine.TakeOutput()
	g.cluster.sendFrames(g.Process, output.Messages)
	for _, response := range output.Responses {
		if respond := g.responders[response.ID]; respond != nil {
			delete(g.responders, response.ID)
			respond(response.Status, response.Body)
		}
	}
}

// handleRequest handles a request sent to this gateway; respond is called once, unless
// the process ends before that or the caller hangs up.
func (g *Gateway) handleRequest(request gateway.Request, respond func(status int, body []byte)) (hangUp func()) {
	g.lastRequest++
	request.ID = g.lastRequest
	request.Waited = g.cluster.waited(g.Process)
	g.responders[request.ID] = respond
	g.Machine.HandleRequest(request, g.cluster.Monotonic(g.Process))
	g.flush()
	incarnation := g.Incarnation
	return func() {
		if g.Incarnation != incarnation {
			return
		}
		delete(g.responders, request.ID)
		g.Machine.Forget(request.ID)
		g.flush()
	}
}
