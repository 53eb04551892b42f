package serverd

import (
	"context"

	"go.uber.org/fx"

	"orchidward/internal/controlplane"
)

// LeaveOnStop makes this server leave its group gracefully when the process stops: leadership
// is transferred to another server while this one still serves, so that no request waits for
// an election. Stop hooks run in reverse order, so LeaveOnStop must be called after the
// frontends that accept requests have registered theirs; they then keep serving meanwhile.
func (d *Daemon) LeaveOnStop(hooks fx.Lifecycle) {
	hooks.Append(fx.Hook{OnStop: d.leave})
}

// leave waits until the server has left or the context ends. If leadership was not transferred
// in time, the remaining servers elect a leader.
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
