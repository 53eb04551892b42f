// A request made at this keeper itself goes through the desk's one duty, and
// its answer comes back to whoever waits for it.

package serverd

import (
	"context"

	"orchidward/internal/controlplane"
	"orchidward/internal/gateway"
	"orchidward/internal/inflight"
)

// Do has the leader settle a request, wherever it is, within the request's
// budget, by default 2 s. Where no leader has been known for a while it is a 503
// at once, with when to come back; a 504 means that the outcome is not known. A caller whose context ends is forgotten, and
// gets a 504 in case it still looks.
func (d *Daemon) Do(ctx context.Context, r gateway.Request) gateway.Response {
	var a gateway.Response
	r.ID = d.next.Add(1)
	back := make(chan gateway.Response, 1)
	admit := func(m *controlplane.Server) {
		d.pending.Admit(r, func(a gateway.Response) { back <- a }, d.clock.Now(), m.Connected())
	}
	if !d.errands.Offer(admit) {
		return inflight.Overloaded()
	}
	select {
	case a = <-back:
		return a
	case <-ctx.Done():
		d.errands.Offer(func(*controlplane.Server) { d.pending.Forget(r.ID) })
		return inflight.Refusal(504, "no-answer", "the caller left; the outcome is not known", 0)
	case <-d.errands.Over():
	}
	select {
	case a = <-back:
		return a
	default:
		return inflight.Refusal(504, "stopping", "this keeper has stopped; the outcome is not known", 1000)
	}
}

// Inspect runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Daemon) Inspect(ctx context.Context, f func(m *controlplane.Server)) (ok bool) {
	return d.errands.Do(ctx, f)
}
