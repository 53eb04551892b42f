package gatewayd

import (
	"context"
	"errors"
	"net/http"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/eventloop"
	"orchidward/internal/gateway"
)

// Codes of the daemon's own error responses; docs/api.md lists them.
const (
	codeNoAnswer   = "no-answer"
	codeStopping   = "stopping"
	codeBusy       = "busy"
	codeTooLarge   = "too-large"
	codeBadRequest = "bad-request"
)

// retryAfterRejection is the Retry-After of a request that the daemon could not process.
const retryAfterRejection clock.Millis = 1000

// Do passes a request to the gateway and returns its response, within the request's budget. If
// ctx ends first, the request is abandoned and Do returns a 504. If the call queue is full, the
// request is rejected immediately.
func (d *Daemon) Do(ctx context.Context, r gateway.Request) gateway.Response {
	r.ID = d.lastRequestID.Add(1)
	arrivedAt := d.clock.Now()
	response, err := eventloop.Await(ctx, d.loop, func(g *gateway.Gateway, answer func(gateway.Response)) {
		r.Waited = d.clock.Now().Since(arrivedAt)
		d.callers[r.ID] = answer
		g.HandleRequest(r, d.clock.Now())
	})
	switch {
	case err == nil:
		return response
	case errors.Is(err, eventloop.ErrQueueFull):
		return overloaded()
	case errors.Is(err, eventloop.ErrStopped):
		return gateway.ErrorResponse(http.StatusGatewayTimeout, codeStopping,
			"this gateway has stopped; the outcome is not known", retryAfterRejection)
	}
	d.forget(r.ID)
	return gateway.ErrorResponse(http.StatusGatewayTimeout, codeNoAnswer, "the caller left; the outcome is not known", 0)
}

// forget drops an abandoned request.
func (d *Daemon) forget(id uint64) {
	d.loop.Post(func(g *gateway.Gateway) {
		g.Forget(id)
		delete(d.callers, id)
	})
}

// Inspect runs f on the gateway's event loop. If it returns false, f has not run and never
// will.
func (d *Daemon) Inspect(ctx context.Context, f func(g *gateway.Gateway)) bool {
	return d.loop.Do(ctx, f)
}

// overloaded returns the response to a request that was rejected because the call queue is
// full. Unlike the body of other error responses, its body does not repeat the retry delay.
func overloaded() gateway.Response {
	body := jsondoc.ErrorBody{Code: codeBusy, Message: "this gateway is full"}
	return gateway.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRejection, Body: body.JSON()}
}
