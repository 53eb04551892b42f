package simulation

import (
	"net/http"

	"orchidward/internal/clock"
	"orchidward/internal/gateway"
)

// NoResponse is the status that Request reports when no response arrived in time.
const NoResponse = 0

// Request sends an HTTP request from one process to the gateway or server at an
// address. done is called once, with NoResponse if no response arrives within the
// timeout in ms.
func (c *Cluster) Request(from *Process, addr, method, path string, body []byte, timeout int64, done func(status int, body []byte)) {
	c.Call(HTTPCall{from, addr, method, path, body, timeout, timeout}, done)
}

// HTTPCall is an HTTP request from one process to the gateway or server at an address. Its
// caller announces that it waits for Timeout ms, but hangs up after HangUpAfter if that is
// less.
type HTTPCall struct {
	From         *Process
	Addr         string
	Method, Path string
	Body         []byte
	Timeout      int64
	HangUpAfter  int64
}

// Call sends an HTTP request. done is called once, with NoResponse if no response arrives
// before the caller hangs up or its timeout expires.
func (c *Cluster) Call(call HTTPCall, done func(status int, body []byte)) {
	from := call.From
	over := false
	finish := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	to := c.processes[call.Addr]
	var hangUp func()
	c.post(from, call.HangUpAfter, func() {
		if to != nil && call.HangUpAfter < call.Timeout && !over {
			c.transmit(from, to, func() {
				if hangUp != nil {
					hangUp()
				}
			})
		}
		finish(NoResponse, nil)
	})
	if to == nil {
		return
	}
	request := gateway.Request{Method: call.Method, Path: call.Path, Body: call.Body, Budget: clock.Millis(call.Timeout)}
	respond := func(status int, body []byte) {
		c.transmit(to, from, func() { finish(status, body) })
	}
	for _, receiver := range c.Gateways {
		if receiver.Process == to {
			c.transmit(from, to, func() { hangUp = receiver.handleRequest(request, respond) })
		}
	}
	for _, receiver := range c.Servers {
		if receiver.Process == to {
			c.transmit(from, to, func() { hangUp = receiver.handleRequest(request, respond) })
		}
	}
}

// QueueRequest translates an external request into the request that a gateway sends to
// the control plane, once it has found the request's queue.
type QueueRequest func(queue string) (method, path string, body []byte)

// RequestQueue sends a request to a gateway, which looks up its queue by host and path.
// done is called once with the status, NoResponse if no response arrives within the
// timeout in ms: 404 if the gateway knows that there is no such queue, 503 if it cannot
// know.
func (c *Cluster) RequestQueue(from *Process, to *Gateway, host, path string, timeout int64, translate QueueRequest, done func(status int)) {
	over := false
	finish := func(status int) {
		if !over {
			over = true
			done(status)
		}
	}
	c.post(from, timeout, func() { finish(NoResponse) })
	respond := func(status int, _ []byte) {
		c.transmit(to.Process, from, func() { finish(status) })
	}
	c.transmit(from, to.Process, func() {
		queue, _, found := to.Machine.Queue(host, path)
		ready := to.Machine.Ready(c.Monotonic(to.Process)) && to.Machine.CatalogVersion() > 0
		switch {
		case !ready || !found && to.Machine.Behind():
			respond(http.StatusServiceUnavailable, nil)
		case !found:
			respond(http.StatusNotFound, nil)
		default:
			method, target, body := translate(queue)
			to.handleRequest(gateway.Request{Method: method, Path: target, Body: body, Budget: clock.Millis(timeout)}, respond)
		}
	})
}
