// A request made here goes to the desk and its answer comes back to whoever
// waits for it. One that cannot be taken in is told so at once.

package gatewayd

import (
	"context"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/gateway"
)

// Ask has the gate settle a request. A caller whose context ends is forgotten,
// and gets a 504 in case it still looks.
func (d *Desk) Ask(ctx context.Context, r gateway.Request) gateway.Answer {
	var a gateway.Answer
	r.ID = d.next.Add(1)
	back := make(chan gateway.Answer, 1)
	if !d.errands.Offer(func(m *gateway.Machine) {
		d.back[r.ID] = back
		m.Request(r, d.clock.Now())
	}) {
		return full()
	}
	select {
	case a = <-back:
		return a
	case <-ctx.Done():
		d.errands.Offer(func(m *gateway.Machine) {
			m.Drop(r.ID)
			delete(d.back, r.ID)
		})
		return gateway.Answer{Status: 504, Body: jsondoc.Trouble{Code: "no-answer", Why: "the caller left; the outcome is not known"}.JSON()}
	case <-d.errands.Over():
	}
	select {
	case a = <-back:
		return a
	default:
		return gateway.Answer{Status: 504, Retry: 1000, Body: jsondoc.Trouble{Code: "stopping", Why: "this gate has stopped; the outcome is not known", Retry: 1000}.JSON()}
	}
}

// Look runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Desk) Look(ctx context.Context, f func(m *gateway.Machine)) (ok bool) {
	return d.errands.Do(ctx, f)
}

func full() gateway.Answer {
	return gateway.Answer{Status: 503, Retry: 1000, Body: jsondoc.Trouble{Code: "busy", Why: "this gate is full"}.JSON()}
}
