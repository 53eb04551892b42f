// A request made here goes to the desk and its answer comes back to whoever
// waits for it. One that cannot be taken in is told so at once.

package gatewayd

import (
	"context"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/gateway"
)

// Do has the gate settle a request. A caller whose context ends is forgotten,
// and gets a 504 in case it still looks.
func (d *Daemon) Do(ctx context.Context, r gateway.Request) gateway.Response {
	var a gateway.Response
	r.ID = d.next.Add(1)
	back := make(chan gateway.Response, 1)
	if !d.errands.Offer(func(m *gateway.Gateway) {
		d.back[r.ID] = back
		m.HandleRequest(r, d.clock.Now())
	}) {
		return full()
	}
	select {
	case a = <-back:
		return a
	case <-ctx.Done():
		d.errands.Offer(func(m *gateway.Gateway) {
			m.Forget(r.ID)
			delete(d.back, r.ID)
		})
		return gateway.Response{Status: 504, Body: jsondoc.ErrorBody{Code: "no-answer", Message: "the caller left; the outcome is not known"}.JSON()}
	case <-d.errands.Over():
	}
	select {
	case a = <-back:
		return a
	default:
		return gateway.Response{Status: 504, RetryAfter: 1000, Body: jsondoc.ErrorBody{Code: "stopping", Message: "this gate has stopped; the outcome is not known", RetryAfter: 1000}.JSON()}
	}
}

// Inspect runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Daemon) Inspect(ctx context.Context, f func(m *gateway.Gateway)) (ok bool) {
	return d.errands.Do(ctx, f)
}

func full() gateway.Response {
	return gateway.Response{Status: 503, RetryAfter: 1000, Body: jsondoc.ErrorBody{Code: "busy", Message: "this gate is full"}.JSON()}
}
