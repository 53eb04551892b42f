// The orderly stop: leadership goes to another server while this one still
// serves, so that nothing waits for an election.

package serverd

import (
	"context"

	"go.uber.org/fx"

	"orchidward/internal/controlplane"
)

// LeaveOnStop has this server leave its group in order when the process is told to
// stop. Hooks run in reverse at the stop: it is to be called after the faces
// that bring requests, so that they still serve meanwhile.
func (d *Daemon) LeaveOnStop(life fx.Lifecycle) {
	life.Append(fx.Hook{OnStop: d.depart})
}

// depart waits until the machine has left or the context ends; what could not be
// done in time is left to an election.
func (d *Daemon) depart(ctx context.Context) error {
	if !d.errands.Offer(func(m *controlplane.Server) { m.Leave() }) {
		return nil
	}
	select {
	case <-d.left:
		d.log.Event("left")
	case <-d.errands.Over():
	case <-ctx.Done():
	}
	return nil
}
