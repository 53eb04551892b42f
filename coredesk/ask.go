// A request made at this keeper itself goes through the desk's one duty, and
// its answer comes back to whoever waits for it.
package coredesk

import (
	"context"

	"orchidward/gate"
	"orchidward/keeper"
)

// Ask has the leader settle a request, wherever it is. Without a leader it is
// a 503 to come back to once the budget, by default 2 s, is up; a 504 means
// that the outcome is not known. A caller whose context ends is forgotten, and
// gets a 504 in case it still looks.
func (d *Desk) Ask(ctx context.Context, r gate.Request) (a gate.Answer) {
	r.ID = d.next.Add(1)
	back := make(chan gate.Answer, 1)
	if !d.errands.Offer(func(*keeper.Machine) { d.hall.enter(r, back, d.clock.Now()) }) {
		return full()
	}
	select {
	case a = <-back:
		return a
	case <-ctx.Done():
		d.errands.Offer(func(*keeper.Machine) { d.hall.leave(r.ID) })
		return refusal(504, "no-answer", "the caller left; the outcome is not known", 0)
	case <-d.errands.Over():
	}
	select {
	case a = <-back:
		return a
	default:
		return refusal(504, "stopping", "this keeper has stopped; the outcome is not known", 1000)
	}
}

// Look runs f on the desk's own duty. If not ok, f has not run and won't.
func (d *Desk) Look(ctx context.Context, f func(m *keeper.Machine)) (ok bool) {
	return d.errands.Do(ctx, f)
}
