// A request made at this keeper itself goes through the desk's one duty, and
// its answer comes back to whoever waits for it.

package serverd

import (
	"context"

	"orchidward/internal/controlplane"
	"orchidward/internal/gateway"
	"orchidward/internal/inflight"
)

// Ask has the leader settle a request, wherever it is, within the request's
// budget, by default 2 s. Where no leader has been known for a while it is a 503
// at once, with when to come back; a 504 means that the outcome is not known. A caller whose context ends is forgotten, and
// gets a 504 in case it still looks.
func (d *Desk) Ask(ctx context.Context, r gateway.Request) gateway.Answer {
	var a gateway.Answer
	r.ID = d.next.Add(1)
	back := make(chan gateway.Answer, 1)
	admit := func(m *controlplane.Machine) {
		d.pending.Admit(r, func(a gateway.Answer) { back <- a }, d.clock.Now(), m.Connected())
	}
	if !d.errands.Offer(admit) {
		return inflight.Full()
	}
	select {
	case a = <-back:
		return a
	case <-ctx.Done():
		d.errands.Offer(func(*controlplane.Machine) { d.pending.Forget(r.ID) })
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

// Look runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Desk) Look(ctx context.Context, f func(m *controlplane.Machine)) (ok bool) {
	return d.errands.Do(ctx, f)
}
