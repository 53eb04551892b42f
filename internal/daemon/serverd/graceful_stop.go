package serverd

import (
	"context"

	"go.uber.org/fx"

	"orchidward/internal/controlplane"
)

// LeaveOnStop has this server leave its group in order when the process is told to stop:
// leadership goes to another server while this one still serves, so that nothing waits for
// an election. Hooks run in reverse at the stop: it is to be called after the faces that
// bring requests, so that they still serve meanwhile.
func (d *Daemon) LeaveOnStop(hooks fx.Lifecycle) {
	hooks.Append(fx.Hook{OnStop: d.leave})
}

// leave waits until the server has left or the context ends; what could not be done in time
// is left to an election.
func (d *Daemon) leave(ctx context.Context) error {
	if !d.loop.Post(func(s *controlplane.Server) { s.Leave() }) {
		return nil
	}
	select {
	case <-d.left:
		d.log.Event("left")
	case <-d.loop.Done():
	case <-ctx.Done():
	}
	return nil
}
