package simulation

import (
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
)

// NoResponse is the status that Request reports when no response came in time.
const NoResponse = 0

// Request sends an HTTP request from one process to the gateway or server at an
// address. done is called once, with NoResponse when nothing came within the
// timeout in ms.
func (c *Cluster) Request(from *Process, addr, method, path string, body []byte, timeout int64, done func(status int, body []byte)) {
	over := false
	finish := func(status int, body []byte) {
		if !over {
			over = true
			done(status, body)
		}
	}
	c.post(from, timeout, func() { finish(NoResponse, nil) })
	to := c.processes[addr]
	if to == nil {
		return
	}
	request := gateway.Request{Method: method, Path: path, Body: body, Budget: clock.Millis(timeout)}
	respond := func(status int, body []byte) {
		c.transmit(to, from, func() { finish(status, body) })
	}
	for _, receiver := range c.Gateways {
		if receiver.Process == to {
			c.transmit(from, to, func() { receiver.handleRequest(request, respond) })
		}
	}
	for _, receiver := range c.Servers {
		if receiver.Process == to {
			c.transmit(from, to, func() { receiver.handleRequest(request, respond) })
		}
	}
}
