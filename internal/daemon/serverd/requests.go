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

// retryAfterStop is when a caller may come back to a server that has stopped.
const retryAfterStop clock.Millis = 1000

// Do has the leader answer a request, wherever it is, within the request's budget. Where no
// leader has been known for a while the answer is a 503 at once, with when to come back; a
// 504 means that the outcome is not known. A caller whose context ends is forgotten, and
// gets a 504 in case it still looks.
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

// Inspect runs f on the server's own goroutine. When it returns false, f has not run and never
// will.
func (d *Daemon) Inspect(ctx context.Context, f func(s *controlplane.Server)) bool {
	return d.loop.Do(ctx, f)
}
