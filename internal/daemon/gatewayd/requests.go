package gatewayd

import (
	"context"
	"net/http"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/clock"
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
	answered := make(chan gateway.Response, 1)
	taken := d.loop.Post(func(g *gateway.Gateway) {
		d.callers[r.ID] = answered
		g.HandleRequest(r, d.clock.Now())
	})
	if !taken {
		return overloaded()
	}
	select {
	case response := <-answered:
		return response
	case <-ctx.Done():
		d.forget(r.ID)
		return unknownOutcome(codeNoAnswer, "the caller left; the outcome is not known", 0)
	case <-d.loop.Done():
	}
	select {
	case response := <-answered:
		return response
	default:
		return unknownOutcome(codeStopping, "this gateway has stopped; the outcome is not known", retryAfterRefusal)
	}
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

// unknownOutcome answers a request of which it is not known whether it was carried out.
func unknownOutcome(code, message string, retryAfter clock.Millis) gateway.Response {
	body := jsondoc.ErrorBody{Code: code, Message: message, RetryAfter: retryAfter}
	return gateway.Response{Status: http.StatusGatewayTimeout, RetryAfter: retryAfter, Body: body.JSON()}
}

// overloaded answers a request that was not taken in.
func overloaded() gateway.Response {
	body := jsondoc.ErrorBody{Code: codeBusy, Message: "this gateway is full"}
	return gateway.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterRefusal, Body: body.JSON()}
}
