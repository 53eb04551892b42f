package serverd

import (
	"context"
	"errors"
	"net/http"

	"orchidward/internal/clock"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/eventloop"
	"orchidward/internal/gateway"
	"orchidward/internal/inflight"
)

// Codes of the daemon's own error responses; docs/api.md lists them.
const (
	codeNoAnswer = "no-answer"
	codeStopping = "stopping"
)

// retryAfterStop is the Retry-After of requests to a server that has stopped.
const retryAfterStop clock.Millis = 1000

// Do passes a request to the leader, on whichever server it is, and returns the response within
// the request's budget. If no leader has been known for a while, the response is an immediate
// 503 with a Retry-After. A 504 means that the outcome is unknown. If ctx ends first, the
// request is abandoned and Do returns a 504.
func (d *Daemon) Do(ctx context.Context, r gateway.Request) gateway.Response {
	r.ID = d.lastRequestID.Add(1)
	arrivedAt := d.clock.Now()
	response, err := eventloop.Await(ctx, d.loop, func(s *controlplane.Server, answer func(gateway.Response)) {
		r.Waited = d.clock.Now().Since(arrivedAt)
		d.requests.Admit(r, answer, d.clock.Now(), s.Connected())
	})
	switch {
	case err == nil:
		return response
	case errors.Is(err, eventloop.ErrQueueFull):
		return inflight.Overloaded()
	case errors.Is(err, eventloop.ErrStopped):
		return gateway.ErrorResponse(http.StatusGatewayTimeout, codeStopping,
			"this server has stopped; the outcome is not known", retryAfterStop)
	}
	d.loop.Post(func(*controlplane.Server) { d.requests.Forget(r.ID) })
	return gateway.ErrorResponse(http.StatusGatewayTimeout, codeNoAnswer, "the caller left; the outcome is not known", 0)
}

// Inspect runs f on the server's event loop. If it returns false, f has not run and never will.
func (d *Daemon) Inspect(ctx context.Context, f func(s *controlplane.Server)) bool {
	return d.loop.Do(ctx, f)
}
