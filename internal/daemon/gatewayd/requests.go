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

// retryAfterRefusal is when a caller may come back whose request was not taken in.
const retryAfterRefusal clock.Millis = 1000

// Do has the gateway answer a request, within the request's budget. A caller whose context
// ends is forgotten, and gets a 504 in case it still looks. A request that cannot be taken
// in is refused at once.
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
			"this gateway has stopped; the outcome is not known", retryAfterRefusal)
	}
	d.forget(r.ID)
	return gateway.ErrorResponse(http.StatusGatewayTimeout, codeNoAnswer, "the caller left; the outcome is not known", 0)
}

// forget drops a request whose caller has gone.
func (d *Daemon) forget(id uint64) {
	d.loop.Post(func(g *gateway.Gateway) {
		g.Forget(id)
		delete(d.callers, id)
	})
}

// Inspect runs f on the gateway's own goroutine. When it returns false, f has not run and never
// will.
func (d *Daemon) Inspect(ctx context.Context, f func(g *gateway.Gateway)) bool {
	return d.loop.Do(ctx, f)
}

// overloaded answers a request that was not taken in. Unlike that of other errors its body
// does not repeat when to come back.
func overloaded() gateway.Response {
	body := jsondoc.ErrorBody{Code: codeBusy, Message: "this gateway is full"}
	return gateway.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRefusal, Body: body.JSON()}
}
